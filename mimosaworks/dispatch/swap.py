"""Makes room for a model or an adapter on a target."""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.demand import ModelDemand
from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
    Step,
)
from mimosaworks.dispatch.load_time import (
    expected_disk,
    load_s,
    needs_store,
)
from mimosaworks.dispatch.weight_copies import disk_after

UNLOAD_S = 0.06  # an idle model leaves within some steps of the engine
ADAPTER_LOAD_S = 0.02  # two to three times the published 5 to 10 ms
REUSE_HORIZON_S = 10.0  # about how long a model stays unless it makes way
MAX_VICTIMS = 3


@attrs.frozen
class Swap:
    """The orders that bring a model in, and what the victims' loss costs.

    duration_s is the time of all orders, loss_s the expected seconds that
    later requests wait for the victims and for last_copies: models whose only
    copy makes way on the target's disk.
    """

    steps: tuple[Step, ...]
    duration_s: float
    loss_s: float
    last_copies: tuple[str, ...] = ()


@attrs.define
class SwapPlanner:
    """Plans orders.

    copies gives the number of replicas of a model, count_at_hand the number
    of targets that have its weights at a time.
    """

    demand: ModelDemand
    copies: dict[str, int]
    count_at_hand: Callable[[str, float], int]

    def plan_model(
        self, target: EngineTarget, model: EngineModel, now: float
    ) -> Swap | None:
        """Return the cheapest swap, or None when nothing can make way."""
        victims = self._victims(target, model, now)
        if victims is None:
            return None
        is_from_store = needs_store(target, model)
        unloads = [
            Step(is_load=False, model=victim.terms.name, duration_s=UNLOAD_S)
            for victim in victims
        ]
        load = Step(
            is_load=True,
            model=model.name,
            is_from_store=is_from_store,
            duration_s=load_s(target, model),
        )
        last_copies: tuple[str, ...] = ()
        if is_from_store:
            last_copies = self._last_copies(target, model, now)
        losses = [self.loss_s(victim, now) for victim in victims]
        losses += [self._reload_s(target, name, now) for name in last_copies]
        return Swap(
            steps=(*unloads, load),
            duration_s=load.duration_s + UNLOAD_S * len(victims),
            loss_s=math.fsum(losses),
            last_copies=last_copies,
        )

    def loss_s(self, victim: LoadedModel, now: float) -> float:
        """Return the expected wait that a missing replica causes later."""
        name = victim.terms.name
        asked = self.demand.per_s(name, now) * REUSE_HORIZON_S
        copies = max(self.copies.get(name, 1), 1)
        reload_s = victim.terms.disk_load_s
        unused_s = max(now - victim.used_s, 0)
        recency = math.exp(-unused_s / REUSE_HORIZON_S)
        expected = asked / copies**2 + recency / REUSE_HORIZON_S
        return reload_s * expected

    def _last_copies(
        self, target: EngineTarget, model: EngineModel, now: float
    ) -> tuple[str, ...]:
        """Return the models that no target has at hand after a load."""
        before = expected_disk(target)
        after = disk_after(before, model, target.terms)
        return tuple(
            name
            for name in before
            if name not in after and self.count_at_hand(name, now) < 2
        )

    def _reload_s(self, target: EngineTarget, name: str, now: float) -> float:
        """Return the expected wait for a model that lies nowhere."""
        model = target.terms.models.get(name)
        if model is None:
            return 0
        asked = self.demand.per_s(name, now) * REUSE_HORIZON_S
        return model.store_load_s * (1 + asked)

    def _victims(
        self, target: EngineTarget, model: EngineModel, now: float
    ) -> list[LoadedModel] | None:
        idle = [
            loaded
            for loaded in target.models.values()
            if loaded.is_ready and not loaded.is_leaving and not loaded.jobs
        ]
        idle.sort(key=lambda loaded: self.loss_s(loaded, now))
        free_mb = target.terms.weights_mb - target.staying_mb
        return _cover(idle, model.size_mb - free_mb)


def count_copies(targets: Iterable[EngineTarget]) -> dict[str, int]:
    """Return the number of replicas of each model."""
    return Counter(
        name
        for target in targets
        for name, loaded in target.models.items()
        if not loaded.is_leaving
    )


def plan_adapter(
    target: EngineTarget, loaded: LoadedModel, adapter: str
) -> tuple[Step, ...] | None:
    """Return the orders that bring an adapter in, or None."""
    steps: list[Step] = []
    if not _has_adapter_room(target, loaded):
        found = _idle_adapter(target)
        if found is None:
            return None
        model, idle = found
        steps.append(Step(is_load=False, model=model, adapter=idle))
    load = Step(
        is_load=True,
        model=loaded.terms.name,
        adapter=adapter,
        duration_s=ADAPTER_LOAD_S,
    )
    return (*steps, load)


def _cover(
    idle: list[LoadedModel], missing_mb: float
) -> list[LoadedModel] | None:
    if missing_mb <= 0:
        return []
    for victim in idle:
        if victim.size_mb >= missing_mb:
            return [victim]
    chosen: list[LoadedModel] = []
    for victim in idle[:MAX_VICTIMS]:
        chosen.append(victim)
        missing_mb -= victim.size_mb
        if missing_mb <= 0:
            return chosen
    return None


def _has_adapter_room(target: EngineTarget, loaded: LoadedModel) -> bool:
    needed_mb = target.staying_mb + loaded.terms.adapter_mb
    return (
        target.adapter_count < target.terms.adapter_slots
        and needed_mb <= target.terms.weights_mb
    )


def _idle_adapter(target: EngineTarget) -> tuple[str, str] | None:
    idle = [
        (adapter.used_s, loaded.terms.name, adapter.name)
        for loaded in target.models.values()
        for adapter in loaded.adapters.values()
        if _may_leave(loaded, adapter)
    ]
    if not idle:
        return None
    _, model, name = min(idle)
    return (model, name)


def _may_leave(loaded: LoadedModel, adapter: LoadedAdapter) -> bool:
    return adapter.is_ready and not adapter.jobs and not loaded.is_leaving
