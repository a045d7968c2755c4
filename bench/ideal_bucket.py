"""Tells which requests were inside their workspace's rate."""

from collections.abc import Iterable

import attrs

from bench.planned_request import PlannedRequest
from bench.profile import Profile


@attrs.define
class IdealBucket:
    """One token bucket for a workspace over all VMs, without any delay."""

    rate: float
    burst: float
    level: float
    at_s: float = 0

    def admits(self, at_s: float, tokens: float) -> bool:
        """Take the tokens if they are there; return whether they were."""
        gained = (at_s - self.at_s) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.at_s = at_s
        if tokens > self.level:
            return False
        self.level -= tokens
        return True


def inside_rate(profile: Profile, plan: Iterable[PlannedRequest]) -> list[bool]:
    """Return for each request whether an ideal bucket would admit it.

    The buckets begin full. Requests outside the rate take nothing.
    """
    buckets = {
        tenant.name: IdealBucket(
            tenant.rate_tokens_per_s, tenant.burst_tokens, tenant.burst_tokens
        )
        for tenant in profile.tenants
    }
    return [
        buckets[ask.workspace].admits(ask.at_s, ask.cost_tokens) for ask in plan
    ]
