"""Enforces the rate limits that targets announce."""

import math
from collections.abc import Collection, Mapping

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.limits import TokenBucket

# A target with a limit of 0 still gets requests at this rate, so that a
# lifted limit is noticed.
MIN_PERMITS_PER_S = 0.1
# Permits accumulate for this time, which spans some ticks of the holder.
PERMIT_BURST_S = 0.2
# More than the number of targets in a deployment.
MAX_LIMITED_TARGETS = 1000
# Time until an available permit is found by a check and the request is sent.
PERMIT_CHECK_INTERVAL_S = 0.1
# Time after which the limit of a target without an entry is removed.
REMOVED_TARGET_TTL_S = 60.0


def time_to_use_s(wait_s: float) -> float:
    """Return the seconds until a permit that is available in wait_s is used."""
    return wait_s + PERMIT_CHECK_INTERVAL_S if wait_s else 0


@attrs.define
class _LimitedTarget:
    """A target's rate limit, when it was recorded, and its permit bucket.

    It also holds the latest time at which a caller that was refused for this
    limit was told to retry.
    """

    per_s: float
    recorded_s: float
    bucket: TokenBucket
    last_scheduled_retry_s: float = 0


@attrs.define(eq=False)
class TargetRateLimits:
    """Rate limits of targets in requests per second, over all nodes.

    Used by the lease holder. Buckets start empty, so that a change of holder
    never grants a burst twice. Orders and reports use permits as well.
    version grows with each change.
    """

    version: int = 0
    _limited_targets: dict[str, _LimitedTarget] = attrs.field(factory=dict)

    def record_limit(
        self, target: str, per_s: float, granted_s: float, now: float
    ) -> bool:
        """Record an announced limit; return whether it is in force.

        per_s is inf for no limit. Answers may arrive out of order: a higher
        limit is applied only if its request was granted after the known
        limit was recorded. granted_s is -inf for a request that was not
        granted by this holder.
        """
        limited = self._limited_targets.get(target)
        if limited is None:
            if per_s < math.inf:
                self._add_limit(target, per_s, now)
            return True
        if per_s > limited.per_s and granted_s <= limited.recorded_s:
            return False
        if per_s == math.inf:
            self._limited_targets.pop(target)
            self.version += 1
            return True
        limited.recorded_s = now
        if per_s != limited.per_s:
            limited.per_s = per_s
            limited.bucket.refill(now)
            limited.bucket.set_limits(_bucket_rate(per_s), _bucket_cap(per_s))
            self.version += 1
        return True

    def import_limits(self, limits: Mapping[str, float], now: float) -> None:
        """Record what this process knew before its election."""
        for target, per_s in limits.items():
            self.record_limit(target, per_s, -math.inf, now)

    def limits_by_target(self) -> dict[str, float]:
        """Return the rate limits in requests per second, by target."""
        return {
            name: limited.per_s
            for name, limited in self._limited_targets.items()
        }

    def is_limited(self, target: str) -> bool:
        """Return whether a target has a rate limit."""
        return target in self._limited_targets

    def get_send_rate(self, target: str) -> float:
        """Return the requests per second for a target, inf without a limit."""
        limited = self._limited_targets.get(target)
        return math.inf if limited is None else limited.bucket.rate

    def permit_wait_s(self, target: str, permits: int, now: float) -> float:
        """Return the seconds until this many permits are available."""
        limited = self._limited_targets.get(target)
        if limited is None:
            return 0
        limited.bucket.refill(now)
        missing_permits = permits - limited.bucket.level
        return max(missing_permits, 0) / limited.bucket.rate

    def shared_permit_wait_s(
        self, targets: Collection[str], permits: int, now: float
    ) -> float:
        """Return the seconds until the targets have these permits in total."""
        per_s = math.fsum(map(self.get_send_rate, targets))
        if not 0 < per_s < math.inf:
            return 0
        available_permits = math.fsum(
            self._get_available_permits(target, now) for target in targets
        )
        return max(permits - available_permits, 0) / per_s

    def try_acquire(self, target: str, now: float) -> bool:
        """Acquire a permit; return whether one was available."""
        limited = self._limited_targets.get(target)
        if limited is None:
            return True
        limited.bucket.refill(now)
        return limited.bucket.try_acquire(1)

    def reserve_permit(self, target: str, now: float) -> float:
        """Acquire a permit in advance; return the seconds until it is valid."""
        wait_s = self.permit_wait_s(target, 1, now)
        limited = self._limited_targets.get(target)
        if limited is not None:
            limited.bucket.level -= 1
        return wait_s

    def schedule_retry(self, target: str, wait_s: float, now: float) -> float:
        """Return the seconds after which a refused caller may retry.

        Later callers get later times, so that they do not retry together.
        """
        limited = self._limited_targets.get(target)
        if limited is None:
            return wait_s
        limited.last_scheduled_retry_s = max(
            now + wait_s,
            limited.last_scheduled_retry_s + 1 / limited.bucket.rate,
        )
        return limited.last_scheduled_retry_s - now

    def describe_wait(self, target: str, wait_s: float) -> str:
        """Return a text with the rate limit and the wait for a permit."""
        limited = self._limited_targets.get(target)
        if limited is None:
            return ''
        per_s = limited.per_s
        limit_text = f'rate limit of {target} is {per_s}/s'
        return f'{limit_text}, next permit in {wait_s:.2f} s'

    def forget_removed_targets(
        self, targets: Collection[str], now: float
    ) -> None:
        """Remove the limits of targets that have had no entry for a while."""
        removed_names = [
            name
            for name, limited in self._limited_targets.items()
            if name not in targets
            and now - limited.recorded_s > REMOVED_TARGET_TTL_S
        ]
        for name in removed_names:
            self._limited_targets.pop(name)
        self.version += bool(removed_names)

    def _get_available_permits(self, target: str, now: float) -> float:
        limited = self._limited_targets[target]
        limited.bucket.refill(now)
        return limited.bucket.level

    def _add_limit(self, target: str, per_s: float, now: float) -> None:
        bucket = TokenBucket(_bucket_rate(per_s), _bucket_cap(per_s), now)
        self._limited_targets[target] = _LimitedTarget(per_s, now, bucket)
        forget_oldest(self._limited_targets, MAX_LIMITED_TARGETS)
        self.version += 1


def _bucket_rate(per_s: float) -> float:
    return max(per_s, MIN_PERMITS_PER_S)


def _bucket_cap(per_s: float) -> float:
    # Permits that accumulate between two checks of the waiting requests are
    # not lost.
    return 1 + per_s * PERMIT_BURST_S
