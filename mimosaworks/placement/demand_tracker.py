"""The routers' last demand messages and each model's arrival times."""

import math

import attrs

from mimosaworks.placement.keep_alive import ArrivalHistogram
from mimosaworks.wire import Demand, ModelDemand

DEMAND_TTL_S = 2.0

ModelAdapterKey = tuple[str, str]


@attrs.frozen
class ReceivedDemand:
    """A router's last message and its arrival time (seconds, own clock)."""

    demand: Demand
    received_s: float


@attrs.define
class DemandTracker:
    """Waiting and running requests by model and adapter over all routers.

    The caller gives the time. A router's message counts for DEMAND_TTL_S.
    waiting_since maps a model and adapter (empty for none) to the time since
    which requests wait for it.
    """

    last_demands: dict[str, ReceivedDemand] = attrs.field(factory=dict)
    waiting_since: dict[ModelAdapterKey, float] = attrs.field(factory=dict)
    last_use_s: dict[ModelAdapterKey, float] = attrs.field(factory=dict)
    arrival_histograms: dict[str, ArrivalHistogram] = attrs.field(factory=dict)

    def record_demand(self, demand: Demand, now: float) -> None:
        """Record a router's message."""
        self.last_demands[demand.router] = ReceivedDemand(demand, now)
        for work in demand.models:
            self._record_work(work, now)
        self.expire_demands(now)

    def expire_demands(self, now: float) -> None:
        """Drop expired messages and update waiting_since."""
        self.last_demands = {
            router: heard
            for router, heard in self.last_demands.items()
            if now - heard.received_s <= DEMAND_TTL_S
        }
        waiting_keys = {
            (work.model, work.adapter)
            for work in self._reported_work()
            if work.waiting
        }
        self.waiting_since = {
            key: self.waiting_since.get(key, now) for key in waiting_keys
        }

    def count_waiting(self, model: str) -> int:
        """Return how many requests wait for a model, with any adapter."""
        reported_work = self._reported_work()
        return sum(
            work.waiting for work in reported_work if work.model == model
        )

    def count_running(self, model: str) -> int:
        """Return how many requests routers have running on a model."""
        reported_work = self._reported_work()
        return sum(
            work.running for work in reported_work if work.model == model
        )

    def oldest_wait_start_s(self, model: str) -> float:
        """Return since when requests wait for a model; inf if none do."""
        starts = (
            start
            for key, start in self.waiting_since.items()
            if key[0] == model
        )
        return min(starts, default=math.inf)

    def record_use(self, model: str, adapter: str, now: float) -> None:
        """Record that a model, with an adapter or without, was in use."""
        self.last_use_s[model, ''] = now
        self.last_use_s[model, adapter] = now

    def arrival_gap_counts(self, model: str) -> list[int]:
        """Return the model's histogram of inter-arrival times."""
        histogram = self.arrival_histograms.get(model)
        return [] if histogram is None else histogram.counts

    def _reported_work(self) -> list[ModelDemand]:
        return [
            work
            for heard in self.last_demands.values()
            for work in heard.demand.models
        ]

    def _record_work(self, work: ModelDemand, now: float) -> None:
        if work.waiting or work.running or work.arrivals:
            self.record_use(work.model, work.adapter, now)
        if work.arrivals:
            histogram = self.arrival_histograms.setdefault(
                work.model, ArrivalHistogram()
            )
            histogram.record_arrival(now)
