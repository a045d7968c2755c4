"""What a holder of token shares decided."""

import attrs

from mimosaworks.wire import TokenAsk


@attrs.frozen
class Receipt:
    """Proof that a request's tokens were taken; needed to give some back."""

    workspace: str
    tokens: float
    serial: int


@attrs.frozen
class Dispatch:
    """A waiting request, by its ticket, now has its tokens."""

    ticket: int
    receipt: Receipt


@attrs.frozen
class Refusal:
    """A waiting request won't have its tokens in time.

    wait_s is the predicted time until it would, in seconds.
    """

    ticket: int
    wait_s: float


@attrs.frozen
class PeerAsk:
    """A message to be sent to a peer."""

    peer: str
    ask: TokenAsk


@attrs.define
class Decisions:
    """All that is to be done now; next_at is when to decide again.

    next_at is in seconds of the owner's clock, infinite for never.
    """

    dispatched: list[Dispatch] = attrs.field(factory=list)
    refused: list[Refusal] = attrs.field(factory=list)
    asks: list[PeerAsk] = attrs.field(factory=list)
    next_at: float = float('inf')

    def decide_again(self, at: float) -> None:
        """Have the next decision no later than at."""
        self.next_at = min(self.next_at, at)
