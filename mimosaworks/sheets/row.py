"""One row of a sheet."""

import types
from collections.abc import Mapping

import attrs


@attrs.frozen
class SheetRow:
    """A row below a heading row; cells holds every headed cell's text.

    has_decimal_comma tells how its numbers are written.
    """

    number: int
    kind: str
    name: str
    cells: Mapping[str, str] = types.MappingProxyType({})
    has_decimal_comma: bool = False
