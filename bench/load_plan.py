"""Plans a seeded open-loop load."""

import math
import random
from collections.abc import Iterator

import attrs

from bench.planned_request import PlannedRequest
from bench.profile import Profile, Tenant

ZIPF_EXPONENT = 1.1
SWING = 0.6  # of the mean, over one squeezed day
CHAT_MEDIAN_TOKENS = 40
DRAFT_MEDIAN_TOKENS = 250
TOKENS_SIGMA = 0.5
MAX_TOKENS = 1000
CHAT_DEADLINE_S = 15.0
DRAFT_DEADLINE_S = 60.0
POST_DEADLINE_S = 5.0
ADAPTER_SHARE = 0.4
PROMPTS = 50


@attrs.define
class LoadPlanner:
    """Draws requests of a profile from one random generator."""

    profile: Profile
    duration_s: float
    rng: random.Random

    def plan(self) -> Iterator[PlannedRequest]:
        """Yield the requests in the order of their times."""
        peak = self.profile.requests_per_s * (1 + SWING)
        peak *= max(tenant.flood for tenant in self.profile.tenants)
        at_s = self.rng.expovariate(peak)
        while at_s < self.duration_s:
            tenant = self._draw_tenant()
            if self.rng.random() * peak < self._rate(tenant, at_s):
                yield self._draw_request(tenant, at_s)
            at_s += self.rng.expovariate(peak)

    def _rate(self, tenant: Tenant, at_s: float) -> float:
        phase = at_s / self.duration_s
        day = 1 - SWING * math.cos(phase * math.tau)
        usual = self.profile.requests_per_s * day
        is_flooding = 1 / 3 < phase < 2 / 3
        return usual * tenant.flood if is_flooding else usual

    def _draw_tenant(self) -> Tenant:
        tenants = self.profile.tenants
        weights = [tenant.load_share for tenant in tenants]
        return self.rng.choices(tenants, weights)[0]

    def _draw_request(self, tenant: Tenant, at_s: float) -> PlannedRequest:
        if self.rng.random() < self.profile.post_share:
            return PlannedRequest(at_s, tenant.name, '', '', 0, POST_DEADLINE_S)
        is_draft = self.rng.random() < self.profile.draft_share
        median = DRAFT_MEDIAN_TOKENS if is_draft else CHAT_MEDIAN_TOKENS
        drawn = self.rng.lognormvariate(math.log(median), TOKENS_SIGMA)
        return PlannedRequest(
            at_s=at_s,
            workspace=tenant.name,
            model=self._draw_model(),
            prompt=str(self.rng.randrange(PROMPTS)),
            max_tokens=min(max(int(drawn), 1), MAX_TOKENS),
            deadline_s=DRAFT_DEADLINE_S if is_draft else CHAT_DEADLINE_S,
        )

    def _draw_model(self) -> str:
        if self.rng.random() < ADAPTER_SHARE:
            rank = self._draw_rank(self.profile.adapters)
            return f'adapter-{rank}'
        rank = self._draw_rank(self.profile.models)
        return f'model-{rank}'

    def _draw_rank(self, count: int) -> int:
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(count)]
        return self.rng.choices(range(count), weights)[0]
