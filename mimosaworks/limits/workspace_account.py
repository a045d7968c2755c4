"""One member's token share of a workspace and the requests that wait for it."""

from collections import deque

import attrs

from mimosaworks.limits.decisions import (
    Decisions,
    RefusedRequest,
    ServedRequest,
    TokenCharge,
)
from mimosaworks.limits.escrow import TokenShare
from mimosaworks.limits.planner import (
    GrantTerms,
    PeerBalances,
    split_among_peers,
)

# Shortest time between two plans of transfers for one workspace.
MIN_PLAN_INTERVAL_S = 0.002
# A transfer request that is unanswered for this long no longer blocks the
# next plan.
REPLAN_TIMEOUT_S = 0.3


@attrs.frozen
class TokenRequest:
    """A request that waits for tokens until its deadline.

    request_number is unique within the process; deadline is in seconds of
    the member's clock.
    """

    request_number: int
    tokens: float
    deadline: float


@attrs.define
class WorkspaceAccount:
    """A workspace's token share and queue at one member.

    Requests are served first in, first out. open_transfers maps requested
    transfers to the time from which they no longer block a new plan;
    next_plan_at is the earliest time of the next plan. reported_balance is
    the balance that was last sent to the peers, at reported_at.
    """

    workspace: str
    terms: GrantTerms
    share: TokenShare
    queue: deque[TokenRequest] = attrs.field(factory=deque)
    open_transfers: dict[str, float] = attrs.field(factory=dict)
    next_plan_at: float = 0
    reported_balance: float | None = None
    reported_at: float = 0

    @property
    def waiting_tokens(self) -> float:
        """The sum of the tokens that the waiting requests need."""
        return sum(request.tokens for request in self.queue)

    def balance(self, now: float) -> float:
        """Return the spare tokens; negative if waiting requests need more."""
        self.share.refill(now)
        return self.share.bucket.level - self.waiting_tokens

    def predict_wait_s(
        self, tokens: float, balances: PeerBalances, now: float
    ) -> float:
        """Return how many seconds a request that arrives now would wait.

        Infinite if it costs more than the burst or the share never refills.
        """
        if tokens > self.terms.burst:
            return float('inf')
        missing_tokens = (
            tokens + self.waiting_tokens - self.share.usable_tokens(now)
        )
        if missing_tokens <= 0:
            return 0
        peer_tokens = balances.estimate_balances(
            self.workspace, self.terms, now
        )
        missing_tokens -= sum(peer_tokens.values())
        # Peers with a negative balance need their refill themselves.
        refill_rate = self.share.bucket.rate
        refill_rate += self.terms.rate * self.terms.fraction * len(peer_tokens)
        return (
            max(0, missing_tokens) / refill_rate
            if refill_rate
            else float('inf')
        )

    def refuse_expired(
        self, balances: PeerBalances, now: float, decisions: Decisions
    ) -> None:
        """Refuse requests past their deadline or above the present burst."""
        expired_requests = [
            request
            for request in self.queue
            if request.deadline <= now or request.tokens > self.terms.burst
        ]
        for request in expired_requests:
            self.queue.remove(request)
        for expired in expired_requests:
            wait_s = self.predict_wait_s(expired.tokens, balances, now)
            decisions.refused.append(
                RefusedRequest(expired.request_number, wait_s)
            )

    def serve_waiting(self, now: float, decisions: Decisions) -> None:
        """Charge waiting requests in their order while there are tokens."""
        while self.queue:
            first_request = self.queue[0]
            headroom_period = self.share.try_acquire(first_request.tokens, now)
            if headroom_period is None:
                return
            self.queue.popleft()
            charge = TokenCharge(
                self.workspace, first_request.tokens, headroom_period
            )
            decisions.served.append(
                ServedRequest(first_request.request_number, charge)
            )

    def plan_transfers(
        self, balances: PeerBalances, now: float, decisions: Decisions
    ) -> dict[str, float]:
        """Return the tokens to request from each peer for the waiting requests.

        Empty while earlier transfers are open or the next plan is not due.
        """
        if not self.queue:
            return {}
        self._schedule_decisions(now, decisions)
        if self.open_transfers or now < self.next_plan_at:
            return {}
        missing_tokens = self.queue[0].tokens - self.share.usable_tokens(now)
        peer_tokens = balances.estimate_balances(
            self.workspace, self.terms, now
        )
        total_missing = (
            missing_tokens - self.queue[0].tokens + self.waiting_tokens
        )
        transfers = split_among_peers(
            missing_tokens, total_missing, peer_tokens
        )
        # After this time the refill of all members covers the missing tokens.
        wait_s = (missing_tokens - sum(peer_tokens.values())) / self.terms.rate
        self.next_plan_at = now + max(MIN_PLAN_INTERVAL_S, wait_s)
        decisions.schedule_decision(self.next_plan_at)
        return transfers

    def _schedule_decisions(self, now: float, decisions: Decisions) -> None:
        self.open_transfers = {
            transfer: until
            for transfer, until in self.open_transfers.items()
            if until > now
        }
        for blocked_until in self.open_transfers.values():
            decisions.schedule_decision(blocked_until)
        for request in self.queue:
            decisions.schedule_decision(request.deadline)
        if self.next_plan_at > now:
            decisions.schedule_decision(self.next_plan_at)
        bucket = self.share.bucket
        missing_tokens = self.queue[0].tokens - self.share.usable_tokens(now)
        if bucket.rate:
            wait_s = max(MIN_PLAN_INTERVAL_S, missing_tokens / bucket.rate)
            decisions.schedule_decision(now + wait_s)
