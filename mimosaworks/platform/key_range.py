"""Spans of keys that one call reads."""

from collections.abc import Iterable, Sequence
from typing import Self

import attrs

# Keys are compared as bytes; no text has a byte as high as this one's.
_LAST = '\U0010ffff'


@attrs.frozen
class KeyRange:
    """Keys from start up to, and without, end; an empty end is no bound."""

    start: str = ''
    end: str = ''

    @classmethod
    def covering(cls, keys: Sequence[str], prefixes: Sequence[str]) -> Self:
        """Return the shortest span of these keys and key prefixes."""
        ends = [f'{key}\0' for key in keys]
        ends += [f'{prefix}{_LAST}' for prefix in prefixes]
        return cls(min((*keys, *prefixes)), max(ends))

    def after(self, key: str) -> Self:
        """Return what is left of the span beyond a key."""
        return attrs.evolve(self, start=f'{key}\0')


ALL_KEYS = KeyRange()


def pick_keys(
    found: Iterable[str], keys: Sequence[str], prefixes: Sequence[str]
) -> list[str]:
    """Return those found keys that were asked for, alone or by prefix."""
    wanted = frozenset(keys)
    starts = tuple(prefixes)
    return [key for key in found if key in wanted or key.startswith(starts)]
