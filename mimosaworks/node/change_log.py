"""Rows with versions, so that readers are sent only what has changed."""

from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar

import attrs

from mimosaworks.bounded import forget_oldest

Row = TypeVar('Row')

MAX_REMOVED_NAMES = 500


@attrs.frozen
class Changes(Generic[Row]):
    """The rows changed and the names removed since a version.

    In a full snapshot, rows are all rows, and removed_names is empty.
    """

    rows: tuple[Row, ...]
    removed_names: tuple[str, ...]
    is_full_snapshot: bool


@attrs.define(eq=False)
class ChangeLog(Generic[Row]):
    """The newest rows by name; version grows with each change.

    _change_versions and _removal_versions give the version of each row's last
    change, or of its removal, by name. Removals up to the version
    _forgotten_removal_version are no longer known.
    """

    version: int = 0
    rows: dict[str, Row] = attrs.field(factory=dict)
    _change_versions: dict[str, int] = attrs.field(factory=dict)
    _removal_versions: dict[str, int] = attrs.field(factory=dict)
    _forgotten_removal_version: int = 0

    def set_row(self, name: str, row: Row) -> bool:
        """Set one row; return whether it has changed."""
        if self.rows.get(name) == row:
            return False
        self.version += 1
        self.rows[name] = row
        self._change_versions[name] = self.version
        self._removal_versions.pop(name, None)
        return True

    def remove_row(self, name: str) -> None:
        """Remove one row, if it is there."""
        if self.rows.pop(name, None) is None:
            return
        self.version += 1
        self._change_versions.pop(name)
        self._removal_versions[name] = self.version
        self._forgotten_removal_version = (
            forget_oldest(self._removal_versions, MAX_REMOVED_NAMES)
            or self._forgotten_removal_version
        )

    def replace_rows(self, rows: Mapping[str, Row]) -> None:
        """Set all rows; those that are missing are removed."""
        for name in self.rows.keys() - rows.keys():
            self.remove_row(name)
        for name, row in rows.items():
            self.set_row(name, row)

    def changes_since(self, version: int) -> Changes[Row]:
        """Return what a reader of an earlier version lacks; 0 returns all."""
        if version <= self._forgotten_removal_version or version > self.version:
            return Changes(tuple(self.rows.values()), (), is_full_snapshot=True)
        return Changes(
            rows=tuple(
                row
                for name, row in self.rows.items()
                if self._change_versions[name] > version
            ),
            removed_names=tuple(
                name
                for name, removal_version in self._removal_versions.items()
                if removal_version > version
            ),
            is_full_snapshot=False,
        )


def apply_changes(
    known_rows: Mapping[str, Row],
    changed_rows: Mapping[str, Row],
    removed_names: Iterable[str],
) -> dict[str, Row]:
    """Return the rows that a reader has after changes."""
    merged_rows = {**known_rows, **changed_rows}
    for name in removed_names:
        merged_rows.pop(name, None)
    return merged_rows
