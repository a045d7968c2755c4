"""Turns the bytes of a CSV file into rows of cells."""

import codecs
import csv
import io
import re
from collections.abc import Iterator

import attrs

from mimosaworks.sheets.fault import SheetFault

_UTF16_MARKS = (codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)
_FIRST_SEPARATOR = re.compile(
    r'^\s*"?kind"?[ \t]*([;,\t])', re.IGNORECASE | re.MULTILINE
)
DEFAULT_SEPARATOR = ','
SEMICOLON = ';'


@attrs.define
class TableText:
    """The rows of a file as lists of cells, and what could not be read."""

    rows: list[list[str]] = attrs.field(factory=list)
    faults: list[SheetFault] = attrs.field(factory=list)
    separator: str = DEFAULT_SEPARATOR

    @property
    def has_decimal_comma(self) -> bool:
        """Whether the file comes from where commas mark decimals."""
        return self.separator == SEMICOLON


def read_table_text(content: bytes) -> TableText:
    """Return the rows of a CSV file as spreadsheets export it.

    The file is UTF-8 or UTF-16, with or without a byte order mark; cells are
    separated by commas, semicolons or tabs. Cells are stripped.
    """
    table = TableText()
    encoding = 'utf-8-sig'
    if content.startswith(_UTF16_MARKS):
        encoding = 'utf-16'
    try:
        text = content.decode(encoding)
    except UnicodeDecodeError as exc:
        row = content.count(b'\n', 0, exc.start) + 1
        reason = 'is not UTF-8: export the sheet as CSV UTF-8'
        table.faults.append(SheetFault(row, '', reason))
        return table
    found = _FIRST_SEPARATOR.search(text)
    if found is not None:
        table.separator = found.group(1)
    for cells in _records(text, table):
        table.rows.append([cell.strip() for cell in cells])
    return table


def _records(text: str, table: TableText) -> Iterator[list[str]]:
    source = io.StringIO(text, newline='')
    reader = csv.reader(source, delimiter=table.separator, strict=True)
    try:
        yield from reader
    except csv.Error as exc:
        row = len(table.rows) + 1
        table.faults.append(SheetFault(row, '', f'can not be read: {exc}'))
