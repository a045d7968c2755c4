"""Bounds sends beyond the first, over all VMs together."""

from collections import deque

import attrs

SAFETY = 0.6  # share of the promised budget that is used


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

    def try_spend(self, now: float) -> bool:
        """Take one resend if the window has room for it."""
        self._forget(now)
        allowed = self.terms.ratio * len(self._requests) + self.terms.slack
        if len(self._resends) + 1 > allowed * SAFETY:
            return False
        self._resends.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._resends):
            while times and times[0] < now - self.terms.window_s:
                times.popleft()


@attrs.define
class ResendBudgets:
    """The budget of each service."""

    terms: ResendTerms
    _budgets: dict[str, ResendBudget] = attrs.field(factory=dict)

    def admit(self, service: str, now: float, *, is_resend: bool) -> bool:
        """Count a send; return whether it is within the budget."""
        budget = self._budgets.setdefault(service, ResendBudget(self.terms))
        if is_resend:
            return budget.try_spend(now)
        budget.note_request(now)
        return True
