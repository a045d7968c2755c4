"""What routers last said of their work, and each model's arrivals."""

import math

import attrs

from mimosaworks.placement.keep_alive import ArrivalHistogram
from mimosaworks.wire import Demand, ModelDemand

DEMAND_TTL_S = 2.0

WorkKey = tuple[str, str]


@attrs.frozen
class HeardDemand:
    """A router's last message and when it came (seconds, own clock)."""

    demand: Demand
    heard_s: float


@attrs.define
class DemandBook:
    """Work by model and adapter over all routers; the caller gives the time.

    A router's message counts for DEMAND_TTL_S. waiting_since maps a model
    and adapter (empty for none) to when it began to have requests waiting.
    """

    heard: dict[str, HeardDemand] = attrs.field(factory=dict)
    waiting_since: dict[WorkKey, float] = attrs.field(factory=dict)
    last_use_s: dict[WorkKey, float] = attrs.field(factory=dict)
    arrivals: dict[str, ArrivalHistogram] = attrs.field(factory=dict)

    def on_demand(self, demand: Demand, now: float) -> None:
        """Take in a router's message."""
        self.heard[demand.router] = HeardDemand(demand, now)
        for work in demand.models:
            self._count(work, now)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Drop old messages and bring waiting_since up to date."""
        self.heard = {
            router: heard
            for router, heard in self.heard.items()
            if now - heard.heard_s <= DEMAND_TTL_S
        }
        waiting = {
            (work.model, work.adapter) for work in self._works() if work.waiting
        }
        self.waiting_since = {
            key: self.waiting_since.get(key, now) for key in waiting
        }

    def waiting(self, model: str) -> int:
        """Return how many requests wait for a model, with any adapter."""
        works = self._works()
        return sum(work.waiting for work in works if work.model == model)

    def running(self, model: str) -> int:
        """Return how many requests routers have running on a model."""
        works = self._works()
        return sum(work.running for work in works if work.model == model)

    def wait_start_s(self, model: str) -> float:
        """Return when a model's requests began to wait; inf if none do."""
        starts = (
            start
            for key, start in self.waiting_since.items()
            if key[0] == model
        )
        return min(starts, default=math.inf)

    def use(self, model: str, adapter: str, now: float) -> None:
        """Note that a model, with an adapter or without, was in use."""
        self.last_use_s[model, ''] = now
        self.last_use_s[model, adapter] = now

    def gap_counts(self, model: str) -> list[int]:
        """Return the model's histogram of inter-arrival times."""
        found = self.arrivals.get(model)
        return [] if found is None else found.counts

    def _works(self) -> list[ModelDemand]:
        return [
            work
            for heard in self.heard.values()
            for work in heard.demand.models
        ]

    def _count(self, work: ModelDemand, now: float) -> None:
        if work.waiting or work.running or work.arrivals:
            self.use(work.model, work.adapter, now)
        if work.arrivals:
            history = self.arrivals.setdefault(work.model, ArrivalHistogram())
            history.add(now)
