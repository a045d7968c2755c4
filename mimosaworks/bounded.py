"""Bounds what is remembered by name."""

from typing import TypeVar

Known = TypeVar('Known')


def forget_oldest(known: dict[str, Known], most: int) -> Known | None:
    """Remove the entry that was added first, if there are more than most.

    Returns what was removed, None if nothing was.
    """
    if len(known) <= most:
        return None
    return known.pop(next(iter(known)))
