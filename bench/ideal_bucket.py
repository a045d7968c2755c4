"""What one ideal bucket for each workspace would have admitted."""

from collections.abc import Iterable, Sequence

import attrs

from bench.outcome import Outcome
from bench.planned_request import PlannedRequest
from bench.profile import Profile, Tenant


@attrs.define
class IdealBucket:
    """One token bucket for a workspace over all VMs, without any delay.

    It begins full and admits on arrival whatever it has the tokens for.
    """

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


@attrs.frozen
class Served:
    """Requests and tokens of a workspace, by the system and by the ideal."""

    requests: int
    tokens: float
    ideal_requests: int
    ideal_tokens: float

    @property
    def share(self) -> float:
        """Tokens served of those that the ideal served, at most 1."""
        if not self.ideal_tokens:
            return 1
        return min(self.tokens / self.ideal_tokens, 1)

    @property
    def wrongful(self) -> int:
        """Requests that the ideal served beyond those that were answered.

        A queue serves other requests of an overloaded workspace than a bucket
        that admits on arrival, so numbers are compared and not requests.
        """
        return max(self.ideal_requests - self.requests, 0)


def count_served(
    profile: Profile, outcomes: Sequence[Outcome]
) -> dict[str, Served]:
    """Return what each workspace got, beside the ideal, by its name."""
    return {
        tenant.name: _count(
            tenant,
            [out for out in outcomes if out.ask.workspace == tenant.name],
        )
        for tenant in profile.tenants
    }


def ideally_admitted(
    tenant: Tenant, plan: Iterable[PlannedRequest]
) -> list[PlannedRequest]:
    """Return the requests of one workspace that an ideal bucket admits."""
    burst = tenant.burst_tokens
    bucket = IdealBucket(tenant.rate_tokens_per_s, burst, burst)
    return [ask for ask in plan if bucket.admits(ask.at_s, ask.cost_tokens)]


def _count(tenant: Tenant, outcomes: Sequence[Outcome]) -> Served:
    ideal = ideally_admitted(tenant, [out.ask for out in outcomes])
    answered = [out.ask for out in outcomes if out.is_answered]
    return Served(
        requests=len(answered),
        tokens=_tokens(answered),
        ideal_requests=len(ideal),
        ideal_tokens=_tokens(ideal),
    )


def _tokens(plan: Iterable[PlannedRequest]) -> float:
    return sum(ask.cost_tokens for ask in plan)
