"""Calls that nodes without a holder may send to targets with limits."""

import math
import random
from collections.abc import Callable

import attrs

from mimosaworks.bounded import forget_oldest

# Of a limit, for all nodes that are alone: others may hear a holder.
ALONE_SHARE = 0.25
OPEN_S = 1.0  # for which a place may be used: unused ones must not add up
MAX_TARGETS = 1000  # more than a deployment has


@attrs.define
class _Places:
    """Where in each period a target's place lies, and the last one used."""

    phase: float
    period_s: float
    used: int


@attrs.define(eq=False)
class AlonePlaces:
    """One place in each period and target, at a moment drawn at random.

    With members nodes the period is that of ALONE_SHARE of the limit, so
    that all of them keep to it without hearing of each other.
    """

    draw: Callable[[], float] = random.random
    _targets: dict[str, _Places] = attrs.field(factory=dict)

    def is_open(
        self, target: str, per_s: float, members: int, now: float
    ) -> bool:
        """Tell whether a call may be sent to a target with a limit."""
        if per_s <= 0:
            return False
        period_s = max(members, 1) / (per_s * ALONE_SHARE)
        places = self._targets.get(target)
        if places is None or places.period_s != period_s:
            places = _Places(self.draw(), period_s, 0)
            places.used = _number(places, now)
            self._targets.pop(target, None)
            self._targets[target] = places
            forget_oldest(self._targets, MAX_TARGETS)
        number = _number(places, now)
        age_s = now - (number + places.phase) * period_s
        return number > places.used and age_s < OPEN_S

    def use(self, target: str, now: float) -> None:
        """Use up a target's present place."""
        places = self._targets.get(target)
        if places is not None:
            places.used = _number(places, now)


def _number(places: _Places, now: float) -> int:
    """Return the number of the period that began last."""
    return math.floor(now / places.period_s - places.phase)
