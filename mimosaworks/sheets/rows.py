"""Finds the headings and the entities' rows in a table of cells."""

import difflib
import string
from collections.abc import Iterator, Sequence

import attrs

from mimosaworks.entities import ENTITY_TYPES
from mimosaworks.sheets.columns import (
    KIND_HEADING,
    NAME_HEADING,
    all_headings,
    columns_of,
)
from mimosaworks.sheets.fault import SheetFault
from mimosaworks.sheets.row import SheetRow
from mimosaworks.sheets.table_text import TableText


@attrs.define
class RowReader:
    """Reads a table from top to bottom; a heading row may come again."""

    faults: list[SheetFault]
    has_decimal_comma: bool
    headings: Sequence[str] | None = None

    def read(self, number: int, cells: Sequence[str]) -> SheetRow | None:
        """Return the entity's row, or None for a heading or blank row."""
        if not any(cells):
            return None
        if _heading(cells[0]) == KIND_HEADING:
            self.headings = [_heading(cell) for cell in cells]
            self.faults.extend(_heading_faults(number, self.headings))
            return None
        if self.headings is None:
            self._report(number, '', 'there is no heading row above')
            self.headings = ()
        # A row without headings is only reported once.
        return self._entity_row(number, cells) if self.headings else None

    def _entity_row(self, number: int, cells: Sequence[str]) -> SheetRow | None:
        self._report_unheaded(number, cells)
        padded = [*cells, *('' for _ in self.headings or ())]
        by_heading = dict(zip(self.headings or (), padded, strict=False))
        kind = by_heading.pop(KIND_HEADING, '').lower()
        name = by_heading.pop(NAME_HEADING, '')
        by_heading.pop('', None)
        if kind not in ENTITY_TYPES:
            kinds = ', '.join(ENTITY_TYPES)
            reason = f'must be one of {kinds}, not {kind!r}'
            self._report(number, KIND_HEADING, reason)
            return None
        self._report_misplaced(number, kind, by_heading)
        return SheetRow(number, kind, name, by_heading, self.has_decimal_comma)

    def _report_unheaded(self, number: int, cells: Sequence[str]) -> None:
        headings = self.headings or ()
        for position, cell in enumerate(cells):
            has_heading = position < len(headings) and headings[position]
            if cell and not has_heading:
                letter = _letter(position)
                self._report(number, letter, 'there is no heading above')

    def _report_misplaced(
        self, number: int, kind: str, by_heading: dict[str, str]
    ) -> None:
        columns = columns_of(kind)
        for heading, cell in by_heading.items():
            is_known = heading in all_headings()
            if cell and is_known and heading not in columns:
                reason = f'must be empty: a {kind} has no such column'
                self._report(number, heading, reason)

    def _report(self, number: int, column: str, reason: str) -> None:
        self.faults.append(SheetFault(number, column, reason))


def read_rows(table: TableText) -> tuple[list[SheetRow], list[SheetFault]]:
    """Return the entities' rows of a table, and its faults so far."""
    reader = RowReader(list(table.faults), table.has_decimal_comma)
    found = (
        reader.read(number, cells)
        for number, cells in enumerate(table.rows, start=1)
    )
    rows = [row for row in found if row is not None]
    return rows, reader.faults


def _heading(cell: str) -> str:
    return cell.lower().replace(' ', '_').replace('-', '_')


def _heading_faults(
    number: int, headings: Sequence[str]
) -> Iterator[SheetFault]:
    if NAME_HEADING not in headings:
        yield SheetFault(number, NAME_HEADING, 'the column is missing')
    for position, heading in enumerate(headings):
        if heading and heading in headings[:position]:
            yield SheetFault(number, heading, 'the column comes twice')
        elif heading and heading not in all_headings():
            yield SheetFault(number, heading, _unknown_reason(heading))


def _unknown_reason(heading: str) -> str:
    near = difflib.get_close_matches(heading, sorted(all_headings()), n=1)
    hint = f': is {near[0]} meant?' if near else ''
    return f'unknown column{hint}'


def _letter(position: int) -> str:
    """Return a column's letter as a spreadsheet shows it; 0 is A."""
    letters = ''
    remaining = position + 1
    while remaining:
        remaining, index = divmod(remaining - 1, len(string.ascii_uppercase))
        letters = string.ascii_uppercase[index] + letters
    return letters
