"""Updates a target's record when orders are queued, succeed or fail."""

from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
    Step,
)
from mimosaworks.dispatch.job import Job
from mimosaworks.dispatch.reconcile import remove_model
from mimosaworks.dispatch.weight_copies import (
    disk_after_load,
    memory_after_load,
)


def find_waiting_jobs(target: EngineTarget) -> list[Job]:
    """Return a target's requests that wait for their model."""
    return [job for job in target.jobs.values() if not job.is_granted]


def clear_crashed_target(target: EngineTarget) -> list[Job]:
    """Clear a target that crashed; return the requests that waited there."""
    remaining_jobs = find_waiting_jobs(target)
    target.jobs.clear()
    target.steps.clear()
    return remaining_jobs


def find_stranded_jobs(target: EngineTarget) -> list[Job]:
    """Return waiting requests whose model or adapter will not be loaded."""
    return [
        job
        for job in find_waiting_jobs(target)
        if not _is_model_expected(target, job)
    ]


def apply_queued_step(
    target: EngineTarget, step: Step, end_s: float, now: float
) -> None:
    """Update a target's models to the expected result of a queued order."""
    if step.adapter:
        _apply_queued_adapter_step(target.models[step.model], step, now)
    elif step.is_load:
        target.models[step.model] = LoadedModel(
            target.engine_cfg.models[step.model],
            now,
            end_s,
            is_ready=False,
            is_from_store=step.is_from_store,
        )
    else:
        target.models[step.model].is_unloading = True


def apply_finished_step(target: EngineTarget, step: Step, now: float) -> None:
    """Update a target's models after an order succeeded."""
    loaded = target.models.get(step.model)
    if step.adapter:
        _apply_finished_adapter_step(loaded, step)
    elif not step.is_load:
        remove_model(target, step.model)
    elif loaded is not None:
        loaded.is_ready = True
        target.in_memory = memory_after_load(
            target.in_memory, loaded.model, target.engine_cfg
        )
        target.on_disk = disk_after_load(
            target.on_disk, loaded.model, target.engine_cfg
        )
        # The latest load goes last: copies are evicted in this order.
        target.load_completed_s.pop(step.model, None)
        target.load_completed_s[step.model] = now
    target.predict_steps_end(now)


def discard_failed_steps(
    target: EngineTarget, failed_step: Step, now: float
) -> None:
    """Discard a failed order and all orders that are queued behind it.

    The target's report has to be read before the next order is sent.
    """
    discarded_steps = (failed_step, *target.steps)
    target.steps.clear()
    target.steps_end_s = now
    target.is_synced = False
    for step in discarded_steps:
        _revert_queued_step(target, step)


def _is_model_expected(target: EngineTarget, job: Job) -> bool:
    profile = job.assignment_req.profile
    loaded = target.models.get(profile.model)
    if loaded is None or loaded.is_unloading:
        return False
    return not profile.adapter or profile.adapter in loaded.adapters


def _apply_queued_adapter_step(
    loaded: LoadedModel, step: Step, now: float
) -> None:
    if step.is_load:
        loaded.adapters[step.adapter] = LoadedAdapter(
            step.adapter, now, is_ready=False
        )
    else:
        # It is removed at once, as the queue keeps the order of its steps.
        loaded.adapters.pop(step.adapter, None)


def _apply_finished_adapter_step(
    loaded: LoadedModel | None, step: Step
) -> None:
    if loaded is None or not step.is_load:
        return
    adapter = loaded.adapters.get(step.adapter)
    if adapter is not None:
        adapter.is_ready = True


def _revert_queued_step(target: EngineTarget, step: Step) -> None:
    """Revert the expected result of an order that will not be sent."""
    loaded = target.models.get(step.model)
    if loaded is None:
        return
    if step.adapter:
        _revert_queued_adapter_step(loaded, step)
    elif not step.is_load:
        loaded.is_unloading = False
    elif not loaded.is_ready:
        remove_model(target, step.model)


def _revert_queued_adapter_step(loaded: LoadedModel, step: Step) -> None:
    adapter = loaded.adapters.get(step.adapter)
    if adapter is not None and not adapter.is_ready:
        loaded.adapters.pop(step.adapter)
