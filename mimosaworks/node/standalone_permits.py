"""Calls that nodes without a holder may send to targets with limits."""

import math
import random
from collections.abc import Callable

import attrs

from mimosaworks.bounded import forget_oldest

# Of a limit, for all nodes that are alone: others may hear a holder.
STANDALONE_RATE_SHARE = 0.25
PERMIT_WINDOW_S = (
    1.0  # for which a place may be used: unused ones must not add up
)
MAX_TRACKED_TARGETS = 1000  # more than a deployment has


@attrs.define
class _PermitSchedule:
    """Where in each period a target's place lies, and the last one used."""

    phase: float
    period_s: float
    last_used_period: int


@attrs.define(eq=False)
class StandalonePermits:
    """One place in each period and target, at a moment drawn at random.

    With members nodes the period is that of ALONE_SHARE of the limit, so
    that all of them keep to it without hearing of each other.
    """

    draw_phase: Callable[[], float] = random.random
    _schedules: dict[str, _PermitSchedule] = attrs.field(factory=dict)

    def has_permit(
        self, target: str, per_s: float, member_count: int, now: float
    ) -> bool:
        """Tell whether a call may be sent to a target with a limit."""
        if per_s <= 0:
            return False
        period_s = max(member_count, 1) / (per_s * STANDALONE_RATE_SHARE)
        schedule = self._schedules.get(target)
        if schedule is None or schedule.period_s != period_s:
            schedule = _PermitSchedule(self.draw_phase(), period_s, 0)
            schedule.last_used_period = _latest_period(schedule, now)
            self._schedules.pop(target, None)
            self._schedules[target] = schedule
            forget_oldest(self._schedules, MAX_TRACKED_TARGETS)
        period = _latest_period(schedule, now)
        age_s = now - (period + schedule.phase) * period_s
        return period > schedule.last_used_period and age_s < PERMIT_WINDOW_S

    def consume_permit(self, target: str, now: float) -> None:
        """Use up a target's present place."""
        schedule = self._schedules.get(target)
        if schedule is not None:
            schedule.last_used_period = _latest_period(schedule, now)


def _latest_period(schedule: _PermitSchedule, now: float) -> int:
    """Return the number of the period that began last."""
    return math.floor(now / schedule.period_s - schedule.phase)
