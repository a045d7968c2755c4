"""Reads a sheet into entities, on top of the present configuration."""

from collections.abc import Mapping
from typing import Any

import attrs

from mimosaworks.admin import build_entity
from mimosaworks.entities import Catalogue, Entity
from mimosaworks.sheets.cell_error import CellError
from mimosaworks.sheets.columns import NAME_HEADING, columns_of, heading_of
from mimosaworks.sheets.fault import SheetFault
from mimosaworks.sheets.row import SheetRow
from mimosaworks.sheets.rows import read_rows
from mimosaworks.sheets.sheet import Place, Sheet
from mimosaworks.sheets.table_text import read_table_text


def read_sheet(content: bytes, catalogue: Catalogue) -> Sheet:
    """Return the sheet with every fault that its cells have.

    An attribute whose column the sheet lacks keeps its present value; an
    empty cell stands for the attribute's default.
    """
    found, faults = read_rows(read_table_text(content))
    rows: dict[Place, SheetRow] = {}
    entities: dict[Place, Entity] = {}
    for row in found:
        place = row.kind, row.name
        earlier = rows.setdefault(place, row)
        if earlier is not row:
            reason = f'stands in row {earlier.number} already'
            faults.append(SheetFault(row.number, NAME_HEADING, reason))
            continue
        entity = entity_of_row(row, catalogue, faults)
        if entity is not None:
            entities[place] = entity
    faults.sort(key=_row_number)
    return Sheet(entities, rows, tuple(faults))


def entity_of_row(
    row: SheetRow, catalogue: Catalogue, faults: list[SheetFault]
) -> Entity | None:
    """Return the entity that a row asks for, or None if it has faults."""

    def report(attribute: str, reason: str) -> None:
        heading = heading_of(row.kind, attribute, row.cells)
        faults.append(SheetFault(row.number, heading, reason))

    present = getattr(catalogue, row.kind).get(row.name)
    raw = {} if present is None else attrs.asdict(present)
    fault_count = len(faults)
    parsed = _parsed_cells(row, faults)
    if len(faults) > fault_count:
        # Other faults of the row are found with the unread cells left out.
        _check_rest(row, raw, parsed, report)
        return None
    return build_entity(row.kind, row.name, _overlaid(row, raw, parsed), report)


def _parsed_cells(row: SheetRow, faults: list[SheetFault]) -> dict[str, object]:
    parsed: dict[str, object] = {}
    for heading, column in columns_of(row.kind).items():
        text = row.cells.get(heading)
        if not text:
            continue
        try:
            cell = column.parse(text, row.has_decimal_comma)
        except CellError as exc:
            faults.append(SheetFault(row.number, heading, str(exc)))
            continue
        if column.attribute in parsed:
            reason = 'must be empty: another column says the same'
            faults.append(SheetFault(row.number, heading, reason))
        parsed[column.attribute] = cell
    return parsed


def _overlaid(
    row: SheetRow, raw: Mapping[str, Any], parsed: Mapping[str, Any]
) -> dict[str, Any]:
    columns = columns_of(row.kind)
    given = {
        columns[heading].attribute
        for heading in row.cells
        if heading in columns
    }
    kept = {
        attribute: content
        for attribute, content in raw.items()
        if attribute not in given
    }
    return {**kept, **parsed}


def _check_rest(
    row: SheetRow,
    raw: Mapping[str, Any],
    parsed: Mapping[str, Any],
    report: Any,
) -> None:
    columns = columns_of(row.kind)
    unread = {
        columns[heading].attribute
        for heading, text in row.cells.items()
        if text and heading in columns
    } - set(parsed)

    def report_read(attribute: str, reason: str) -> None:
        if attribute not in unread:
            report(attribute, reason)

    build_entity(row.kind, row.name, _overlaid(row, raw, parsed), report_read)


def _row_number(fault: SheetFault) -> int:
    return fault.row
