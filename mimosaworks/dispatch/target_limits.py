"""Keeps to the rate limits that targets announce."""

import math
from collections.abc import Collection

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.limits import Bucket

# A target that takes nothing is asked this often whether it does again.
LEAST_PER_S = 0.1
BURST_S = 0.2  # of a limit, for which places add up; some ticks of a holder
MAX_LIMITS = 1000  # more than targets that a deployment has
LOOK_S = 0.1  # until a place that is there is found, and a call is sent
UNSEEN_S = 60.0  # after which the limit of a target without entry is forgotten


def until_used_s(wait_s: float) -> float:
    """Return the time until a place that is there in wait_s is used."""
    return wait_s + LOOK_S if wait_s else 0


@attrs.define
class _Limited:
    """A target's limit, when it was noted, and what may be sent now.

    The next caller that is refused for it may return at return_s.
    """

    per_s: float
    noted_s: float
    bucket: Bucket
    return_s: float = 0


@attrs.define(eq=False)
class TargetLimits:
    """Rate limits of targets, in calls a second over all nodes.

    Buckets start empty, so that no change of holder gives a burst twice.
    Orders and reports count as well. version grows with each change.
    """

    version: int = 0
    _limited: dict[str, _Limited] = attrs.field(factory=dict)

    def note(
        self, target: str, per_s: float, granted_s: float, now: float
    ) -> bool:
        """Take over a limit, inf for none; return whether it is in force.

        Answers overtake each other: a higher limit counts if the request
        was granted after the known one was noted. granted_s is -inf for a
        request that was not granted here.
        """
        known = self._limited.get(target)
        if known is None:
            if per_s < math.inf:
                self._add(target, per_s, now)
            return True
        if per_s > known.per_s and granted_s <= known.noted_s:
            return False
        if per_s == math.inf:
            self._limited.pop(target)
            self.version += 1
            return True
        known.noted_s = now
        if per_s != known.per_s:
            known.per_s = per_s
            known.bucket.advance(now)
            known.bucket.set_terms(_rate(per_s), _cap(per_s))
            self.version += 1
        return True

    def all_per_s(self) -> dict[str, float]:
        """Return the limits by target."""
        return {name: one.per_s for name, one in self._limited.items()}

    def is_limited(self, target: str) -> bool:
        """Tell whether a target has a rate limit."""
        return target in self._limited

    def rate(self, target: str) -> float:
        """Return what is sent to a target in a second, inf without a limit."""
        known = self._limited.get(target)
        return math.inf if known is None else known.bucket.rate

    def wait_s(self, target: str, sends: int, now: float) -> float:
        """Return the seconds until so many calls more may be sent."""
        known = self._limited.get(target)
        if known is None:
            return 0
        known.bucket.advance(now)
        missing = sends - known.bucket.level
        return max(missing, 0) / known.bucket.rate

    def shared_wait_s(
        self, targets: Collection[str], sends: int, now: float
    ) -> float:
        """Return the seconds until targets together take so many calls."""
        per_s = math.fsum(map(self.rate, targets))
        if not 0 < per_s < math.inf:
            return 0
        here = math.fsum(self._level(target, now) for target in targets)
        return max(sends - here, 0) / per_s

    def take(self, target: str, now: float) -> bool:
        """Take a call's place if it may be sent now."""
        known = self._limited.get(target)
        if known is None:
            return True
        known.bucket.advance(now)
        return known.bucket.take(1)

    def book(self, target: str, now: float) -> float:
        """Take a call's place in advance; return the seconds until then."""
        wait_s = self.wait_s(target, 1, now)
        known = self._limited.get(target)
        if known is not None:
            known.bucket.level -= 1
        return wait_s

    def book_return(self, target: str, wait_s: float, now: float) -> float:
        """Return when a caller that is refused for a limit may come back.

        Later ones are told later times, so that they do not return together.
        """
        known = self._limited.get(target)
        if known is None:
            return wait_s
        known.return_s = max(
            now + wait_s, known.return_s + 1 / known.bucket.rate
        )
        return known.return_s - now

    def describe(self, target: str, wait_s: float) -> str:
        """Return a rate limit and the wait for a place, for a reason."""
        known = self._limited.get(target)
        if known is None:
            return ''
        per_s = known.per_s
        limit = f'rate limit of {target} is {per_s}/s'
        return f'{limit}, next place in {wait_s:.2f} s'

    def forget_gone(self, targets: Collection[str], now: float) -> None:
        """Forget the limits of targets that have been gone for a while."""
        gone = [
            name
            for name, one in self._limited.items()
            if name not in targets and now - one.noted_s > UNSEEN_S
        ]
        for name in gone:
            self._limited.pop(name)
        self.version += bool(gone)

    def _level(self, target: str, now: float) -> float:
        known = self._limited[target]
        known.bucket.advance(now)
        return known.bucket.level

    def _add(self, target: str, per_s: float, now: float) -> None:
        bucket = Bucket(_rate(per_s), _cap(per_s), now)
        self._limited[target] = _Limited(per_s, now, bucket)
        forget_oldest(self._limited, MAX_LIMITS)
        self.version += 1


def _rate(per_s: float) -> float:
    return max(per_s, LEAST_PER_S)


def _cap(per_s: float) -> float:
    # What comes between two looks for waiting requests is not lost.
    return 1 + per_s * BURST_S
