"""Drains models in use so that one with higher demand can be loaded."""

import functools
import itertools
import math
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, LoadedModel
from mimosaworks.dispatch.load_time import needs_store_load

# About the duration of a long answer.
DRAIN_TIMEOUT_S = 3.0
# A model must have at least this many times as many requests a second as the
# models that are drained for it.
MIN_DEMAND_RATIO = 2.0


@attrs.frozen
class _EvictionSet:
    """Models that would be evicted, and the requests a second for them."""

    models: tuple[LoadedModel, ...]
    requests_per_s: float


def drain_models_for(
    pool: EnginePool,
    usable_targets: Iterable[EngineTarget],
    model_name: str,
    now: float,
) -> None:
    """Drain the models with least demand on one target that has the weights.

    Requests that run there end as usual; new ones go to other replicas.
    """
    model = pool.engine_cfg.models.get(model_name)
    if model is None or _is_drain_in_progress(pool, model_name, now):
        return
    eviction_sets = [
        _find_eviction_set(pool, target, model, now)
        for target in usable_targets
        if not needs_store_load(target, model)
    ]
    cheapest_set = min(eviction_sets, key=_get_requests_per_s, default=None)
    max_requests_per_s = (
        pool.request_rates.rate_per_s(model_name, now) / MIN_DEMAND_RATIO
    )
    if cheapest_set is None or cheapest_set.requests_per_s > max_requests_per_s:
        return
    for loaded in cheapest_set.models:
        loaded.drain_for_model = model_name
        loaded.drain_until_s = now + DRAIN_TIMEOUT_S


def _is_drain_in_progress(
    pool: EnginePool, model_name: str, now: float
) -> bool:
    models = itertools.chain.from_iterable(
        target.models.values() for target in pool.targets.values()
    )
    return any(
        loaded.drain_for_model == model_name
        and not loaded.accepts_requests(now)
        for loaded in models
    )


def _find_eviction_set(
    pool: EnginePool, target: EngineTarget, model: EngineModel, now: float
) -> _EvictionSet:
    """Return the least requested models whose eviction frees enough memory."""
    evictable_models = [
        one for one in target.models.values() if _may_drain(one, now)
    ]
    free_mb = target.engine_cfg.weights_mb - target.retained_mb
    missing_mb = model.size_mb - free_mb
    chosen_models: list[LoadedModel] = []
    replica_rates: list[float] = []
    for loaded in sorted(
        evictable_models,
        key=functools.partial(_requests_per_replica, pool, now),
    ):
        if missing_mb > 0:
            missing_mb -= loaded.size_mb
            chosen_models.append(loaded)
            replica_rates.append(_requests_per_replica(pool, now, loaded))
    if missing_mb > 0:
        return _EvictionSet((), math.inf)
    return _EvictionSet(tuple(chosen_models), math.fsum(replica_rates))


def _requests_per_replica(
    pool: EnginePool, now: float, loaded: LoadedModel
) -> float:
    """Return the requests a second that one replica of a model serves."""
    name = loaded.model.name
    replicas = max(pool.replica_counts.get(name, 1), 1)
    return pool.request_rates.rate_per_s(name, now) / replicas


def _may_drain(loaded: LoadedModel, now: float) -> bool:
    return loaded.is_ready and loaded.accepts_requests(now)


def _get_requests_per_s(eviction_set: _EvictionSet) -> float:
    return eviction_set.requests_per_s
