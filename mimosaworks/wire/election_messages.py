"""Messages of the election of a holder."""

import attrs


@attrs.frozen
class LeaseNotice:
    """Tells a node of an election; see the lease row for the fields."""

    holder: str
    address: str
    nonce: str
    fence: int
    version: int
