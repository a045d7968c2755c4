"""The columns that each kind of entity has; docs/sheets.md lists them."""

import functools
import types
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from mimosaworks.entities import ENTITY_TYPES
from mimosaworks.sheets.cells import (
    parse_boolean,
    parse_list,
    parse_text,
    parse_time,
)
from mimosaworks.sheets.column import CellParser, Column
from mimosaworks.sheets.numbers import (
    parse_decimal,
    parse_gigabytes,
    parse_whole,
)

KIND_HEADING = 'kind'
NAME_HEADING = 'name'


def parse_float(text: str, has_decimal_comma: bool) -> float:
    """Return the number in a cell as the entities hold it."""
    return float(parse_decimal(text, has_decimal_comma))


_PARSERS: Mapping[Any, CellParser] = types.MappingProxyType({
    str: parse_text,
    int: parse_whole,
    float: parse_float,
    bool: parse_boolean,
})
# Attributes whose cells are written for people. The first column of an
# attribute is the one that faults name when the sheet has none of them.
_SPECIAL_COLUMNS = types.MappingProxyType({
    'size_bytes': (
        Column('size_gb', 'size_bytes', parse_gigabytes),
        Column('size_bytes', 'size_bytes', parse_whole),
    ),
    'memory_bytes': (
        Column('memory_gb', 'memory_bytes', parse_gigabytes),
        Column('memory_bytes', 'memory_bytes', parse_whole),
    ),
    'ready_from_min': (Column('ready_from_utc', 'ready_from_min', parse_time),),
    'ready_until_min': (
        Column('ready_until_utc', 'ready_until_min', parse_time),
    ),
    # The heading kind names the entity's own kind.
    'kind': (Column('type', 'kind', parse_text),),
    'workspaces': (Column('workspaces', 'workspaces', parse_list),),
})


@functools.cache
def columns_of(kind: str) -> Mapping[str, Column]:
    """Return the columns of a kind by heading, kind and name left out."""
    return types.MappingProxyType({
        column.heading: column for column in _columns(kind)
    })


@functools.cache
def all_headings() -> frozenset[str]:
    """Return the headings of all kinds."""
    found = {KIND_HEADING, NAME_HEADING}
    for kind in ENTITY_TYPES:
        found.update(columns_of(kind))
    return frozenset(found)


def heading_of(kind: str, attribute: str, present: Mapping[str, str]) -> str:
    """Return the heading under which a fault of an attribute is reported.

    present holds the filled cells of the row by heading.
    """
    headings = [
        column.heading
        for column in columns_of(kind).values()
        if column.attribute == attribute
    ]
    filled = [heading for heading in headings if present.get(heading)]
    return next(iter(filled + headings), attribute)


def _columns(kind: str) -> Iterator[Column]:
    for field in attrs.fields(ENTITY_TYPES[kind]):
        special = _SPECIAL_COLUMNS.get(field.name)
        if special is not None:
            yield from special
        elif field.name != NAME_HEADING:
            yield Column(field.name, field.name, _PARSERS[field.type])
