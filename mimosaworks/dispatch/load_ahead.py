"""Loads models for later requests, where the weight store has room."""

from collections.abc import Iterable

from mimosaworks.deployment import EngineModel, TargetState
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.make_way import make_way
from mimosaworks.dispatch.plain_pool import PlainPool
from mimosaworks.dispatch.swap import Swap
from mimosaworks.dispatch.wanted import WantedModels

MAX_TRIES = 3  # models that are tried at one moment


def load_ahead(pools: Iterable[EnginePool | PlainPool], now: float) -> None:
    """Queue loads for later requests at all engines."""
    for pool in pools:
        if isinstance(pool, EnginePool):
            swap_refused(pool, now)
            load_wanted(pool, now)
            load_absent(pool, now)


def load_wanted(pool: EnginePool, now: float) -> None:
    """Load models that lie nowhere and that requests were refused for.

    Callers that come too early for a load from the weight store would else
    be refused for ever.
    """
    wanted = pool.loads.wanted
    for job in wanted.by_need(now)[:MAX_TRIES]:
        model = job.ask.facts.model
        if pool.loads.is_absent(model, now):
            _load_one(pool, wanted, job, now)
        else:
            wanted.drop(model)


def swap_refused(pool: EnginePool, now: float) -> None:
    """Load models at hand that requests were refused for.

    Demand may move to a model that is loaded nowhere and whose targets are
    in use. Each caller by itself is refused, as its patience ends before the
    load would.
    """
    for job in pool.refused.by_need(now)[:MAX_TRIES]:
        model = job.ask.facts.model
        if model in pool.copies:
            pool.refused.drop(model)
        elif not _load_one(pool, pool.refused, job, now):
            make_way(pool, pool.choice.usable(job, now), model, now)


def _load_one(
    pool: EnginePool, wanted: WantedModels, job: Job, now: float
) -> bool:
    """Queue the load of a wanted model; return whether a target can load it."""
    best = pool.choice.cheapest(pool.choice.usable(job, now), job, now)
    if best is None:
        return False
    if not best.is_early:
        wanted.drop(job.ask.facts.model)
        pool.enqueue(best.target, best.steps, now)
    return True


def load_absent(pool: EnginePool, now: float) -> None:
    """Load models that lie nowhere, while no requests come.

    Their first requests then find them on a target's disk.
    """
    if not pool.loads.is_quiet(now) or not pool.loads.is_settled(now):
        return
    for model in pool.loads.absent(now)[:MAX_TRIES]:
        found = _cheapest(pool, model, now)
        if found is None:
            return
        target, swap = found
        pool.enqueue(target, swap.steps, now)


def _cheapest(
    pool: EnginePool, model: EngineModel, now: float
) -> tuple[EngineTarget, Swap] | None:
    """Return where a model costs other requests least, or None."""
    planner = pool.estimator.swaps
    found: list[tuple[EngineTarget, Swap]] = []
    for target in filter(_is_resting, pool.targets.values()):
        swap = planner.plan_model(target, model, now)
        if swap is None or swap.last_copies:
            continue
        if pool.loads.allows(target, swap.steps, now):
            found.append((target, swap))

    def cost(one: tuple[EngineTarget, Swap]) -> tuple[float, int, str]:
        target, swap = one
        victims = (step.model for step in swap.steps if not step.is_load)
        copies = min(map(pool.copies.__getitem__, victims), default=0)
        return (swap.loss_s, -copies, target.entry.name)

    return min(found, key=cost, default=None)


def _is_resting(target: EngineTarget) -> bool:
    is_free = not target.jobs and not target.steps
    is_ready = target.entry.state is TargetState.READY
    return is_ready and target.is_synced and is_free
