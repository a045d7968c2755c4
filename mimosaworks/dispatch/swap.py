"""Plans loads of models and adapters with the evictions that they need."""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
    Step,
)
from mimosaworks.dispatch.event_rates import EventRates
from mimosaworks.dispatch.load_time import (
    expected_disk_copies,
    expected_load_s,
    needs_store_load,
)
from mimosaworks.dispatch.weight_copies import disk_after_load

# An idle model is unloaded within some steps of the engine's batch.
UNLOAD_DURATION_S = 0.06
# Two to three times the published 5 to 10 ms.
ADAPTER_LOAD_DURATION_S = 0.02
# About how long a model stays loaded unless it is evicted.
REUSE_HORIZON_S = 10.0
MAX_VICTIMS = 3


@attrs.frozen
class Swap:
    """The orders that load a model, and the cost of their evictions.

    duration_s is the time of all orders, eviction_cost_s the expected seconds
    that later requests wait for the evicted models and for last_copies:
    models whose only copy is evicted from the target's disk.
    """

    steps: tuple[Step, ...]
    duration_s: float
    eviction_cost_s: float
    last_copies: tuple[str, ...] = ()


@attrs.define
class SwapPlanner:
    """Plans the orders to load a model on a target.

    replica_counts gives the number of replicas of each model.
    count_targets_with_model returns, for a model and a time, how many targets
    have its weights.
    """

    request_rates: EventRates
    replica_counts: dict[str, int]
    count_targets_with_model: Callable[[str, float], int]

    def plan_load(
        self, target: EngineTarget, model: EngineModel, now: float
    ) -> Swap | None:
        """Return the cheapest orders, None if not enough can be evicted."""
        victims = self._choose_victims(target, model, now)
        if victims is None:
            return None
        is_from_store = needs_store_load(target, model)
        unloads = [
            Step(
                is_load=False,
                model=victim.model.name,
                duration_s=UNLOAD_DURATION_S,
            )
            for victim in victims
        ]
        load = Step(
            is_load=True,
            model=model.name,
            is_from_store=is_from_store,
            duration_s=expected_load_s(target, model),
        )
        last_copies: tuple[str, ...] = ()
        if is_from_store:
            last_copies = self._evicted_last_copies(target, model, now)
        eviction_costs_s = [
            self.eviction_cost_s(victim, now) for victim in victims
        ]
        eviction_costs_s += [
            self._store_reload_cost_s(target, name, now) for name in last_copies
        ]
        return Swap(
            steps=(*unloads, load),
            duration_s=load.duration_s + UNLOAD_DURATION_S * len(victims),
            eviction_cost_s=math.fsum(eviction_costs_s),
            last_copies=last_copies,
        )

    def eviction_cost_s(self, victim: LoadedModel, now: float) -> float:
        """Return the seconds that later requests wait if it is evicted."""
        name = victim.model.name
        expected_requests = (
            self.request_rates.rate_per_s(name, now) * REUSE_HORIZON_S
        )
        replicas = max(self.replica_counts.get(name, 1), 1)
        reload_s = victim.model.disk_load_s
        idle_s = max(now - victim.last_used_s, 0)
        recency = math.exp(-idle_s / REUSE_HORIZON_S)
        expected_reloads = (
            expected_requests / replicas**2 + recency / REUSE_HORIZON_S
        )
        return reload_s * expected_reloads

    def _evicted_last_copies(
        self, target: EngineTarget, model: EngineModel, now: float
    ) -> tuple[str, ...]:
        """Return the models whose last copy a load evicts from the disk."""
        copies_before = expected_disk_copies(target)
        copies_after = disk_after_load(copies_before, model, target.engine_cfg)
        return tuple(
            name
            for name in copies_before
            if name not in copies_after
            and self.count_targets_with_model(name, now) < 2
        )

    def _store_reload_cost_s(
        self, target: EngineTarget, name: str, now: float
    ) -> float:
        """Return the expected later wait for a model that is on no target."""
        model = target.engine_cfg.models.get(name)
        if model is None:
            return 0
        expected_requests = (
            self.request_rates.rate_per_s(name, now) * REUSE_HORIZON_S
        )
        return model.store_load_s * (1 + expected_requests)

    def _choose_victims(
        self, target: EngineTarget, model: EngineModel, now: float
    ) -> list[LoadedModel] | None:
        idle_models = [
            loaded
            for loaded in target.models.values()
            if loaded.is_ready
            and not loaded.is_unloading
            and not loaded.job_count
        ]
        idle_models.sort(key=lambda loaded: self.eviction_cost_s(loaded, now))
        free_mb = target.engine_cfg.weights_mb - target.retained_mb
        return _choose_models_to_free(idle_models, model.size_mb - free_mb)


def count_replicas(targets: Iterable[EngineTarget]) -> dict[str, int]:
    """Return the number of replicas of each model, loading ones included."""
    return Counter(
        name
        for target in targets
        for name, loaded in target.models.items()
        if not loaded.is_unloading
    )


def plan_adapter_load(
    target: EngineTarget, loaded: LoadedModel, adapter: str
) -> tuple[Step, ...] | None:
    """Return the orders that load an adapter, None if none can be evicted."""
    steps: list[Step] = []
    if not _has_adapter_capacity(target, loaded):
        idle_adapter = _find_idle_adapter(target)
        if idle_adapter is None:
            return None
        model, idle_name = idle_adapter
        steps.append(Step(is_load=False, model=model, adapter=idle_name))
    load = Step(
        is_load=True,
        model=loaded.model.name,
        adapter=adapter,
        duration_s=ADAPTER_LOAD_DURATION_S,
    )
    return (*steps, load)


def _choose_models_to_free(
    candidates: list[LoadedModel], missing_mb: float
) -> list[LoadedModel] | None:
    if missing_mb <= 0:
        return []
    for victim in candidates:
        if victim.size_mb >= missing_mb:
            return [victim]
    chosen_models: list[LoadedModel] = []
    for victim in candidates[:MAX_VICTIMS]:
        chosen_models.append(victim)
        missing_mb -= victim.size_mb
        if missing_mb <= 0:
            return chosen_models
    return None


def _has_adapter_capacity(target: EngineTarget, loaded: LoadedModel) -> bool:
    needed_mb = target.retained_mb + loaded.model.adapter_mb
    return (
        target.adapter_count < target.engine_cfg.adapter_slots
        and needed_mb <= target.engine_cfg.weights_mb
    )


def _find_idle_adapter(target: EngineTarget) -> tuple[str, str] | None:
    idle_adapters = [
        (adapter.last_used_s, loaded.model.name, adapter.name)
        for loaded in target.models.values()
        for adapter in loaded.adapters.values()
        if _is_evictable(loaded, adapter)
    ]
    if not idle_adapters:
        return None
    _, model, name = min(idle_adapters)
    return (model, name)


def _is_evictable(loaded: LoadedModel, adapter: LoadedAdapter) -> bool:
    return (
        adapter.is_ready and not adapter.job_count and not loaded.is_unloading
    )
