"""Rows of the platform's store."""

import attrs


@attrs.frozen
class RowName:
    """The table, part and key of a row."""

    table: str
    key: str
    part: str = ''


@attrs.frozen
class StoredRow:
    """A row as of one version; content is None for one that was removed."""

    name: RowName
    version: int
    content: bytes | None


@attrs.frozen
class RowChange:
    """Sets a row's content, or removes the row when content is None."""

    name: RowName
    content: bytes | None


@attrs.frozen
class RowNeed:
    """Requires a row to be at a version; 0 requires that it is absent."""

    name: RowName
    version: int


@attrs.frozen
class RowsAnswer:
    """Rows, and the store's newest version when they were read.

    Those of several pages were read between version and newest_version.
    """

    rows: tuple[StoredRow, ...]
    version: int
    newest_version: int
