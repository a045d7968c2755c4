"""Bounds sends beyond the first, over all VMs together."""

from collections import deque

import attrs

SAFETY = 0.6  # share of the promised budget that is used
# The share while the sends of earlier holders are in the window as well: of
# two holders before and nodes alone between them.
TAKEN_OVER = 0.2


@attrs.frozen
class ResendTerms:
    """The promised bound on resends of a service; see ResendBudget."""

    ratio: float
    slack: float
    window_s: float


@attrs.define
class ResendBudget:
    """Requests and resends of one service in a sliding window.

    terms.ratio is resends for each request, terms.slack what is allowed on
    top, both over terms.window_s seconds.
    """

    terms: ResendTerms
    _requests: deque[float] = attrs.field(factory=deque)
    _resends: deque[float] = attrs.field(factory=deque)

    def note_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._forget(now)

    def try_spend(self, now: float, share: float = SAFETY) -> bool:
        """Take one resend if this share of the window has room for it."""
        self._forget(now)
        allowed = self.terms.ratio * len(self._requests) + self.terms.slack
        if len(self._resends) + 1 > allowed * share:
            return False
        self._resends.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._resends):
            while times and times[0] < now - self.terms.window_s:
                times.popleft()


@attrs.define
class ResendBudgets:
    """The budget of each service.

    taken_over_s is when this process began to count, None if no other one
    has counted before, inf for one beside which others always count.
    """

    terms: ResendTerms
    taken_over_s: float | None = None
    _budgets: dict[str, ResendBudget] = attrs.field(factory=dict)

    def admit(self, service: str, now: float, *, is_resend: bool) -> bool:
        """Count a send; return whether it is within the budget."""
        budget = self._budgets.setdefault(service, ResendBudget(self.terms))
        budget.terms = self.terms
        if is_resend:
            return budget.try_spend(now, self._share(now))
        budget.note_request(now)
        return True

    def _share(self, now: float) -> float:
        since_s = self.taken_over_s
        if since_s is None or now - since_s > self.terms.window_s:
            return SAFETY
        return TAKEN_OVER
