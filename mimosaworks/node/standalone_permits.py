"""Permits of standalone nodes for calls to targets with a rate limit."""

import math
import random
from collections.abc import Callable

import attrs

from mimosaworks.bounded import forget_oldest

# Share of a rate limit that all standalone nodes use together: other nodes may
# still have contact with a lease holder, which uses the rest.
STANDALONE_RATE_SHARE = 0.25
# A permit expires after this time, so that unused permits do not accumulate.
PERMIT_WINDOW_S = 1.0
# More targets than a deployment has.
MAX_TRACKED_TARGETS = 1000


@attrs.define
class _PermitSchedule:
    """When the permits of a target fall due.

    phase is the permit's offset in each period, as a share of it from 0 to
    1. Permits are numbered by their periods.
    """

    phase: float
    period_s: float
    last_used_period: int


@attrs.define(eq=False)
class StandalonePermits:
    """One permit in each period and target, at a random offset.

    The period is that of this node's part, one of member_count, of
    STANDALONE_RATE_SHARE of the rate limit, so that all nodes together keep
    to the limit without communicating.
    """

    draw_phase: Callable[[], float] = random.random
    _schedules: dict[str, _PermitSchedule] = attrs.field(factory=dict)

    def has_permit(
        self, target: str, limit_per_s: float, member_count: int, now: float
    ) -> bool:
        """Return whether a call may be sent now.

        limit_per_s is the target's rate limit in calls a second.
        """
        if limit_per_s <= 0:
            return False
        period_s = max(member_count, 1) / (limit_per_s * STANDALONE_RATE_SHARE)
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
        """Mark a target's current permit as used."""
        schedule = self._schedules.get(target)
        if schedule is not None:
            schedule.last_used_period = _latest_period(schedule, now)


def _latest_period(schedule: _PermitSchedule, now: float) -> int:
    """Return the number of the latest permit that fell due."""
    return math.floor(now / schedule.period_s - schedule.phase)
