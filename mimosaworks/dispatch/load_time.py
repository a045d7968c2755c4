"""Foresees where a target will find a model's weights, and its load's time."""

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.engine_target import EngineTarget, LoadedModel, Step
from mimosaworks.dispatch.weight_copies import disk_after, memory_after


def load_s(target: EngineTarget, model: EngineModel) -> float:
    """Return the time of a load behind the queued ones, in seconds."""
    if needs_store(target, model):
        return model.store_load_s
    if model.name in expected_memory(target):
        return model.memory_load_s
    return model.disk_load_s


def least_s(target: EngineTarget, model: EngineModel, now: float) -> float:
    """Return a time before which a target cannot have a model loaded.

    It takes little to work out, and orders targets before they are weighed.
    """
    if model.name in target.models:
        return 0
    queued_s = max(target.steps_end_s - now, 0)
    if model.name in target.in_memory:
        return queued_s + min(model.memory_load_s, model.disk_load_s)
    if model.name in target.on_disk:
        return queued_s + model.disk_load_s
    return queued_s + model.store_load_s


def needs_store(target: EngineTarget, model: EngineModel) -> bool:
    """Tell whether a load behind the queued ones uses the weight store."""
    if model.name in expected_disk(target):
        return False
    return bool(_coming(target)) or model.name not in target.in_memory


def timed(target: EngineTarget, step: Step) -> Step:
    """Return an order with the duration that it has if it is sent now.

    Copies may have come or gone since it was planned.
    """
    model = target.terms.models.get(step.model)
    is_copied = step.is_load and not step.adapter and not step.is_from_store
    if model is None or not is_copied:
        return step
    duration_s = model.disk_load_s
    if step.model in target.in_memory:
        duration_s = model.memory_load_s
    return attrs.evolve(step, duration_s=duration_s)


def expected_disk(target: EngineTarget) -> list[str]:
    """Return the copies on a disk once the queued loads have ended."""
    copies = target.on_disk
    for coming in _coming(target):
        copies = disk_after(copies, coming, target.terms)
    return copies


def expected_memory(target: EngineTarget) -> list[str]:
    """Return the copies in memory once the queued loads have ended."""
    copies = target.in_memory
    for coming in _coming(target):
        copies = memory_after(copies, coming, target.terms)
    return copies


def _coming(target: EngineTarget) -> list[EngineModel]:
    """Return the models that are being loaded, the first one first."""
    coming = [one for one in target.models.values() if not one.is_ready]
    return [one.terms for one in sorted(coming, key=_ready_s)]


def _ready_s(loaded: LoadedModel) -> float:
    return loaded.ready_s
