"""Loads models ahead of requests, while the weight store has capacity."""

from collections.abc import Iterable

from mimosaworks.deployment import EngineModel, TargetState
from mimosaworks.dispatch.drain_models import drain_models_for
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.plain_pool import PlainPool
from mimosaworks.dispatch.requested_models import RequestedModels
from mimosaworks.dispatch.swap import Swap

# At most this many models are tried in one tick.
MAX_MODELS_PER_TICK = 3


def preload_models(pools: Iterable[EnginePool | PlainPool], now: float) -> None:
    """Queue loads for later requests at the targets of all engine pools."""
    for pool in pools:
        if isinstance(pool, EnginePool):
            load_refused_models(pool, now)
            load_requested_models(pool, now)
            load_absent_models(pool, now)


def load_requested_models(pool: EnginePool, now: float) -> None:
    """Load models that are on no target and that requests were refused for.

    Without it, callers that cannot wait for a load from the weight store would
    be refused for ever.
    """
    requested_models = pool.store_loads.requested_models
    for job in requested_models.jobs_by_demand(now)[:MAX_MODELS_PER_TICK]:
        model = job.assignment_req.profile.model
        if pool.store_loads.is_absent(model, now):
            _load_model_for_job(pool, requested_models, job, now)
        else:
            requested_models.remove_model(model)


def load_refused_models(pool: EnginePool, now: float) -> None:
    """Load models with copies on a target that requests were refused for.

    Demand may move to a model that is loaded nowhere and whose targets are
    in use. Each request by itself is refused, as its deadline is before the
    end of the load.
    """
    for job in pool.refused_models.jobs_by_demand(now)[:MAX_MODELS_PER_TICK]:
        model = job.assignment_req.profile.model
        if model in pool.replica_counts:
            pool.refused_models.remove_model(model)
        elif not _load_model_for_job(pool, pool.refused_models, job, now):
            drain_models_for(
                pool, pool.selector.usable_targets(job, now), model, now
            )


def _load_model_for_job(
    pool: EnginePool, requested_models: RequestedModels, job: Job, now: float
) -> bool:
    """Queue the load for a refused job; return whether a target can load it."""
    option = pool.selector.cheapest_option(
        pool.selector.usable_targets(job, now), job, now
    )
    if option is None:
        return False
    if not option.exceeds_queue_limit:
        requested_models.remove_model(job.assignment_req.profile.model)
        pool.enqueue_steps(option.target, option.steps, now)
    return True


def load_absent_models(pool: EnginePool, now: float) -> None:
    """Load models that are on no target while no requests come.

    Their first requests then find the weights on a target's disk.
    """
    if not pool.store_loads.is_idle(
        now
    ) or not pool.store_loads.has_all_targets(now):
        return
    for model in pool.store_loads.absent_models(now)[:MAX_MODELS_PER_TICK]:
        placement = _cheapest_placement(pool, model, now)
        if placement is None:
            return
        target, swap = placement
        pool.enqueue_steps(target, swap.steps, now)


def _cheapest_placement(
    pool: EnginePool, model: EngineModel, now: float
) -> tuple[EngineTarget, Swap] | None:
    """Return the target and orders that cost other requests least, or None."""
    planner = pool.estimator.swap_planner
    placements: list[tuple[EngineTarget, Swap]] = []
    for target in filter(_is_idle, pool.targets.values()):
        swap = planner.plan_load(target, model, now)
        if swap is None or swap.last_copies:
            continue
        if pool.store_loads.can_start_load(target, swap.steps, now):
            placements.append((target, swap))

    def placement_cost(
        placement: tuple[EngineTarget, Swap],
    ) -> tuple[float, int, str]:
        target, swap = placement
        victims = (step.model for step in swap.steps if not step.is_load)
        min_replicas = min(
            map(pool.replica_counts.__getitem__, victims), default=0
        )
        return (swap.eviction_cost_s, -min_replicas, target.entry.name)

    return min(placements, key=placement_cost, default=None)


def _is_idle(target: EngineTarget) -> bool:
    is_free = not target.jobs and not target.steps
    is_ready = target.entry.state is TargetState.READY
    return is_ready and target.is_synced and is_free
