"""Rows with their versions, so that readers are sent only what has changed."""

from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar

import attrs

from mimosaworks.bounded import forget_oldest

Row = TypeVar('Row')

MAX_GONE = 500  # removed names that are remembered


@attrs.frozen
class Changes(Generic[Row]):
    """What differs from a version.

    Where is_whole, rows are all there are, and gone is empty.
    """

    rows: tuple[Row, ...]
    gone: tuple[str, ...]
    is_whole: bool


@attrs.define(eq=False)
class ChangeLog(Generic[Row]):
    """The newest rows by name; version grows with each change.

    _changed and _gone give the version of each row's last change, or of its
    removal. Removals up to _forgotten are not known any more.
    """

    version: int = 0
    rows: dict[str, Row] = attrs.field(factory=dict)
    _changed: dict[str, int] = attrs.field(factory=dict)
    _gone: dict[str, int] = attrs.field(factory=dict)
    _forgotten: int = 0

    def set(self, name: str, row: Row) -> bool:
        """Take over one row; return whether it has changed."""
        if self.rows.get(name) == row:
            return False
        self.version += 1
        self.rows[name] = row
        self._changed[name] = self.version
        self._gone.pop(name, None)
        return True

    def drop(self, name: str) -> None:
        """Remove one row."""
        if self.rows.pop(name, None) is None:
            return
        self.version += 1
        self._changed.pop(name)
        self._gone[name] = self.version
        self._forgotten = forget_oldest(self._gone, MAX_GONE) or self._forgotten

    def replace(self, rows: Mapping[str, Row]) -> None:
        """Take over all rows there are."""
        for name in self.rows.keys() - rows.keys():
            self.drop(name)
        for name, row in rows.items():
            self.set(name, row)

    def since(self, version: int) -> Changes[Row]:
        """Return what a reader of an earlier version lacks; 0 reads all."""
        if version <= self._forgotten or version > self.version:
            return Changes(tuple(self.rows.values()), (), is_whole=True)
        return Changes(
            rows=tuple(
                row
                for name, row in self.rows.items()
                if self._changed[name] > version
            ),
            gone=tuple(
                name for name, gone in self._gone.items() if gone > version
            ),
            is_whole=False,
        )


def apply_changes(
    known: Mapping[str, Row],
    changed: Mapping[str, Row],
    gone: Iterable[str],
) -> dict[str, Row]:
    """Return the rows that a reader knows after changes."""
    merged = {**known, **changed}
    for name in gone:
        merged.pop(name, None)
    return merged
