"""What one read of the table says."""

import attrs

from mimosaworks.configs import LogEntry
from mimosaworks.entities import Catalogue
from mimosaworks.members.view import View


@attrs.frozen
class TableState:
    """The configuration and the members as of one consistent read.

    asked_s is the time by the own clock before the read was sent. view is
    older than the table's when the read found the members unchanged.
    """

    asked_s: float
    catalogue: Catalogue
    view: View
    entries: tuple[LogEntry, ...] = ()
