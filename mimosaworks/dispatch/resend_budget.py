"""Limits sends of a request beyond the first, over all VMs together."""

from collections import deque

import attrs

# Share of the promised budget that is used.
BUDGET_SHARE = 0.6
# The share while the window also holds sends that this process did not count:
# those of two earlier lease holders and of standalone nodes between them.
BUDGET_SHARE_AFTER_HOLDER_CHANGE = 0.2


@attrs.frozen
class ResendBudgetConfig:
    """The promised limit on resends of a service; see ResendBudget."""

    ratio: float
    slack: float
    window_s: float


@attrs.define
class ResendBudget:
    """Requests and resends of one service in a sliding window.

    The ratio is the number of resends for each request, the slack the number
    that is allowed in addition, both over window_s seconds.
    """

    budget_cfg: ResendBudgetConfig
    _request_times: deque[float] = attrs.field(factory=deque)
    _resend_times: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._request_times.append(now)
        self._forget_old_sends(now)

    def try_acquire_resend(
        self, now: float, share: float = BUDGET_SHARE
    ) -> bool:
        """Count one resend if it is within this share of the budget."""
        self._forget_old_sends(now)
        allowed = (
            self.budget_cfg.ratio * len(self._request_times)
            + self.budget_cfg.slack
        )
        if len(self._resend_times) + 1 > allowed * share:
            return False
        self._resend_times.append(now)
        return True

    def _forget_old_sends(self, now: float) -> None:
        for send_times in (self._request_times, self._resend_times):
            while send_times and send_times[0] < now - self.budget_cfg.window_s:
                send_times.popleft()


@attrs.define
class ResendBudgets:
    """The resend budget of each service.

    counting_since_s is the time at which this process began to count, None if
    no other process counted before, inf if others always count beside it.
    """

    budget_cfg: ResendBudgetConfig
    counting_since_s: float | None = None
    _budgets: dict[str, ResendBudget] = attrs.field(factory=dict)

    def count_send(self, service: str, now: float, *, is_resend: bool) -> bool:
        """Count a send; return False for a resend over the budget."""
        budget = self._budgets.setdefault(
            service, ResendBudget(self.budget_cfg)
        )
        budget.budget_cfg = self.budget_cfg
        if is_resend:
            return budget.try_acquire_resend(now, self._get_budget_share(now))
        budget.record_request(now)
        return True

    def _get_budget_share(self, now: float) -> float:
        since_s = self.counting_since_s
        if since_s is None or now - since_s > self.budget_cfg.window_s:
            return BUDGET_SHARE
        return BUDGET_SHARE_AFTER_HOLDER_CHANGE
