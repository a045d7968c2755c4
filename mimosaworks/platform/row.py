"""Rows of the platform's transactional table."""

import attrs


@attrs.frozen
class Row:
    """One row: its key, its JSON text and the version of its last write."""

    key: str
    content: str
    version: int


@attrs.frozen
class RowAssert:
    """Requires that a row is at this version; 0 requires that it is absent."""

    key: str
    version: int


@attrs.frozen
class RowWrite:
    """Sets a row's JSON text; None deletes the row."""

    key: str
    content: str | None
