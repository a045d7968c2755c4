"""Keeps a target's books while orders are queued, end or fail."""

from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
    Step,
)
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.reconcile import forget_model
from mimosaworks.dispatch.weight_copies import disk_after, memory_after


def waiting_jobs(target: EngineTarget) -> list[Job]:
    """Return the requests that wait for their model on a target."""
    return [job for job in target.jobs.values() if not job.is_granted]


def clear_target(target: EngineTarget) -> list[Job]:
    """Empty a target that ended; return the requests that waited there."""
    waiting = waiting_jobs(target)
    target.jobs.clear()
    target.steps.clear()
    return waiting


def stranded_jobs(target: EngineTarget) -> list[Job]:
    """Return waiting requests whose model or adapter will not come."""
    return [job for job in waiting_jobs(target) if not _will_come(target, job)]


def expect_step(
    target: EngineTarget, step: Step, end_s: float, now: float
) -> None:
    """Change a target's models to what a queued order will bring."""
    if step.adapter:
        _expect_adapter(target.models[step.model], step, now)
    elif step.is_load:
        target.models[step.model] = LoadedModel(
            target.terms.models[step.model],
            now,
            end_s,
            is_ready=False,
            is_from_store=step.is_from_store,
        )
    else:
        target.models[step.model].is_leaving = True


def finish_step(target: EngineTarget, step: Step, now: float) -> None:
    """Note that an order was carried out."""
    loaded = target.models.get(step.model)
    if step.adapter:
        _finish_adapter(loaded, step)
    elif not step.is_load:
        forget_model(target, step.model)
    elif loaded is not None:
        loaded.is_ready = True
        target.in_memory = memory_after(
            target.in_memory, loaded.terms, target.terms
        )
        target.on_disk = disk_after(target.on_disk, loaded.terms, target.terms)
        # The latest last: copies are pushed out in this order.
        target.loads_s.pop(step.model, None)
        target.loads_s[step.model] = now
    target.expect_steps_from(now)


def drop_steps(target: EngineTarget, failed: Step, now: float) -> None:
    """Drop a failed order and all that wait behind it.

    The target has to be asked what it holds before the next order.
    """
    dropped = (failed, *target.steps)
    target.steps.clear()
    target.steps_end_s = now
    target.is_synced = False
    for step in dropped:
        _undo(target, step)


def _will_come(target: EngineTarget, job: Job) -> bool:
    facts = job.ask.facts
    loaded = target.models.get(facts.model)
    if loaded is None or loaded.is_leaving:
        return False
    return not facts.adapter or facts.adapter in loaded.adapters


def _expect_adapter(loaded: LoadedModel, step: Step, now: float) -> None:
    if step.is_load:
        loaded.adapters[step.adapter] = LoadedAdapter(
            step.adapter, now, is_ready=False
        )
    else:
        # It leaves at once, in the order of the queue.
        loaded.adapters.pop(step.adapter, None)


def _finish_adapter(loaded: LoadedModel | None, step: Step) -> None:
    if loaded is None or not step.is_load:
        return
    adapter = loaded.adapters.get(step.adapter)
    if adapter is not None:
        adapter.is_ready = True


def _undo(target: EngineTarget, step: Step) -> None:
    """Take back what was expected of an order that will not be sent."""
    loaded = target.models.get(step.model)
    if loaded is None:
        return
    if step.adapter:
        _undo_adapter(loaded, step)
    elif not step.is_load:
        loaded.is_leaving = False
    elif not loaded.is_ready:
        forget_model(target, step.model)


def _undo_adapter(loaded: LoadedModel, step: Step) -> None:
    adapter = loaded.adapters.get(step.adapter)
    if adapter is not None and not adapter.is_ready:
        loaded.adapters.pop(step.adapter)
