"""Tells which refused requests were inside their workspace's rate."""

from collections.abc import Iterable, Sequence

import attrs

from bench.outcome import Outcome
from bench.profile import Profile, Tenant


@attrs.define
class IdealBucket:
    """One token bucket for a workspace over all VMs, without any delay.

    It begins full; its level may go below zero, since tokens are counted at
    the first byte, a little after they were taken.
    """

    rate: float
    burst: float
    level: float
    at_s: float = 0

    def advance(self, at_s: float) -> None:
        """Refill until a time in seconds."""
        gained = max(at_s - self.at_s, 0) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.at_s = max(at_s, self.at_s)


def refused_inside_rate(
    profile: Profile, outcomes: Iterable[Outcome]
) -> list[Outcome]:
    """Return the requests that were refused although their tokens were there.

    The answered requests are replayed against one ideal bucket for each
    workspace; a refused one was inside the rate if the bucket had its tokens
    when it was refused.
    """
    buckets = {tenant.name: _bucket(tenant) for tenant in profile.tenants}
    found = []
    for outcome in sorted(outcomes, key=lambda out: out.decided_s):
        bucket = buckets[outcome.ask.workspace]
        bucket.advance(outcome.decided_s)
        if outcome.is_answered:
            bucket.level -= outcome.ask.cost_tokens
        elif outcome.ask.cost_tokens <= bucket.level:
            found.append(outcome)
    return found


def served_share(
    tenant: Tenant, outcomes: Sequence[Outcome], duration_s: float
) -> float:
    """Return the tokens served of those offered within the grant."""
    own = [out for out in outcomes if out.ask.workspace == tenant.name]
    offered = sum(out.ask.cost_tokens for out in own)
    granted = tenant.burst_tokens + tenant.rate_tokens_per_s * duration_s
    got = sum(out.ask.cost_tokens for out in own if out.is_answered)
    return got / min(offered, granted) if offered else 1


def _bucket(tenant: Tenant) -> IdealBucket:
    burst = tenant.burst_tokens
    return IdealBucket(tenant.rate_tokens_per_s, burst, burst)
