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


@attrs.frozen
class LeaseAsk:
    """Asks a node for the lease as it knows it; answered with LeaseNotice."""


@attrs.frozen
class StoreProbe:
    """Asks a node to read the changes of targets after a store's version."""

    after: int


@attrs.frozen
class StoreProbeReply:
    """Tells whether the store answered the node in time."""

    is_reached: bool


@attrs.frozen
class LeaseOffer:
    """Offers the lease to a node; answered with the lease as LeaseNotice.

    nonce is that of the process that holds it and does not reach the store.
    """

    nonce: str
