"""Decisions of a member's token allocator, for its service to carry out."""

import attrs

from mimosaworks.wire import TokenAsk


@attrs.frozen
class TokenCharge:
    """The tokens that a request was charged, as needed for a refund.

    headroom_period is the period of the share's HeadroomLog that began with
    the charge.
    """

    workspace: str
    tokens: float
    headroom_period: int


@attrs.frozen
class ServedRequest:
    """A waiting request that has been charged its tokens."""

    request_number: int
    charge: TokenCharge


@attrs.frozen
class RefusedRequest:
    """A waiting request that can't have its tokens by its deadline.

    wait_s is the predicted time until the tokens are there, in seconds.
    """

    request_number: int
    wait_s: float


@attrs.frozen
class TransferRequest:
    """A request for tokens, to be sent to a peer."""

    peer: str
    token_ask: TokenAsk


@attrs.define
class Decisions:
    """All that a service has to carry out for one workspace now.

    next_decision_at is the time of the next decision, in seconds of the
    owner's clock; infinite for never.
    """

    served: list[ServedRequest] = attrs.field(factory=list)
    refused: list[RefusedRequest] = attrs.field(factory=list)
    transfer_requests: list[TransferRequest] = attrs.field(factory=list)
    next_decision_at: float = float('inf')

    def schedule_decision(self, decision_at: float) -> None:
        """Set the next decision to no later than decision_at."""
        self.next_decision_at = min(self.next_decision_at, decision_at)
