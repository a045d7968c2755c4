"""One column of a kind of entity."""

from collections.abc import Callable

import attrs

CellParser = Callable[[str, bool], object]


@attrs.frozen
class Column:
    """A heading, the attribute that its cells set, and how they are read.

    parse takes the cell's text and whether a comma is the decimal mark.
    """

    heading: str
    attribute: str
    parse: CellParser
