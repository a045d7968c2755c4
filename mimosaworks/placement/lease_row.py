"""The row of a shard's lease in the table."""

import json

import attrs


@attrs.frozen
class LeaseRow:
    """Who holds a shard.

    holder is a peer address and nonce tells its boots apart; both are empty
    once a holder has given the lease up. fence grows by
    one with each new holder; beat grows with each write of one holder, so
    that a writer whose reply was lost recognises its own write.
    """

    holder: str
    nonce: str
    fence: int
    beat: int

    def to_json(self) -> str:
        """Return the row's JSON text."""
        return json.dumps(attrs.asdict(self))


def lease_row_from_json(text: str) -> LeaseRow:
    """Return the row that to_json wrote; raises KeyError or ValueError."""
    return LeaseRow(**json.loads(text))
