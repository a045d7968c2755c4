"""A sheet that was read against the present configuration."""

from collections.abc import Mapping

import attrs

from mimosaworks.entities import Entity
from mimosaworks.sheets.fault import SheetFault
from mimosaworks.sheets.row import SheetRow

Place = tuple[str, str]


@attrs.frozen
class Sheet:
    """What the sheet asks for, by kind and name, and all that is wrong.

    entities lacks the rows that have faults; rows holds them too.
    """

    entities: Mapping[Place, Entity]
    rows: Mapping[Place, SheetRow]
    faults: tuple[SheetFault, ...]
