"""One member's account of a workspace: its share and who waits for tokens."""

from collections import deque

import attrs

from mimosaworks.limits.decisions import Decisions, Dispatch, Receipt, Refusal
from mimosaworks.limits.escrow import Share
from mimosaworks.limits.planner import PeerBalances, Terms, plan_asks

MIN_WAIT_S = 0.002  # shortest time between two plans for one workspace
ASK_PATIENCE_S = 0.3  # an ask without an answer no longer holds up a new plan


@attrs.frozen
class Waiter:
    """A request that waits for tokens until its deadline (seconds)."""

    ticket: int
    tokens: float
    deadline: float


@attrs.define
class Account:
    """Serves requests of a workspace first in, first out.

    open_asks maps transfers to when they no longer hold up a new plan;
    plan_at is the earliest time of the next plan.
    """

    workspace: str
    terms: Terms
    share: Share
    queue: deque[Waiter] = attrs.field(factory=deque)
    open_asks: dict[str, float] = attrs.field(factory=dict)
    plan_at: float = 0
    reported: float | None = None
    reported_at: float = 0

    @property
    def waiting_tokens(self) -> float:
        """Tokens that all waiting requests need."""
        return sum(waiter.tokens for waiter in self.queue)

    def balance(self, now: float) -> float:
        """Return the tokens to spare; below zero if requests wait."""
        self.share.advance(now)
        return self.share.bucket.level - self.waiting_tokens

    def predict_wait_s(
        self, tokens: float, balances: PeerBalances, now: float
    ) -> float:
        """Return how long a request that arrived now would wait."""
        if tokens > self.terms.burst:
            return float('inf')
        missing = tokens + self.waiting_tokens - self.share.usable(now)
        if missing <= 0:
            return 0
        estimates = balances.estimates(self.workspace, self.terms, now)
        missing -= sum(estimates.values())
        # Peers in debt need their refill themselves.
        refill = self.share.bucket.rate
        refill += self.terms.rate * self.terms.part * len(estimates)
        return max(0, missing) / refill if refill else float('inf')

    def drop_late(
        self, balances: PeerBalances, now: float, decisions: Decisions
    ) -> None:
        """Refuse who waited too long or now needs more than the burst."""
        late = [
            waiter
            for waiter in self.queue
            if waiter.deadline <= now or waiter.tokens > self.terms.burst
        ]
        for waiter in late:
            self.queue.remove(waiter)
        for gone in late:
            wait_s = self.predict_wait_s(gone.tokens, balances, now)
            decisions.refused.append(Refusal(gone.ticket, wait_s))

    def dispatch(self, now: float, decisions: Decisions) -> None:
        """Serve waiting requests in their order while there are tokens."""
        while self.queue:
            first = self.queue[0]
            serial = self.share.take(first.tokens, now)
            if serial is None:
                return
            self.queue.popleft()
            receipt = Receipt(self.workspace, first.tokens, serial)
            decisions.dispatched.append(Dispatch(first.ticket, receipt))

    def plan(
        self, balances: PeerBalances, now: float, decisions: Decisions
    ) -> dict[str, float]:
        """Return how much to ask of which peers for those that wait."""
        if not self.queue:
            return {}
        self._plan_wake(now, decisions)
        if self.open_asks or now < self.plan_at:
            return {}
        missing = self.queue[0].tokens - self.share.usable(now)
        estimates = balances.estimates(self.workspace, self.terms, now)
        wanted = missing - self.queue[0].tokens + self.waiting_tokens
        asks = plan_asks(missing, wanted, estimates)
        # The fleet's refill covers what is missing after this time.
        wait_s = (missing - sum(estimates.values())) / self.terms.rate
        self.plan_at = now + max(MIN_WAIT_S, wait_s)
        decisions.decide_again(self.plan_at)
        return asks

    def _plan_wake(self, now: float, decisions: Decisions) -> None:
        self.open_asks = {
            transfer: until
            for transfer, until in self.open_asks.items()
            if until > now
        }
        for wake in self.open_asks.values():
            decisions.decide_again(wake)
        for waiter in self.queue:
            decisions.decide_again(waiter.deadline)
        if self.plan_at > now:
            decisions.decide_again(self.plan_at)
        bucket = self.share.bucket
        missing = self.queue[0].tokens - self.share.usable(now)
        if bucket.rate:
            wait_s = max(MIN_WAIT_S, missing / bucket.rate)
            decisions.decide_again(now + wait_s)
