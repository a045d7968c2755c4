"""Predicts where a target will find a model's weights and how long it loads."""

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.engine_target import EngineTarget, LoadedModel, Step
from mimosaworks.dispatch.weight_copies import (
    disk_after_load,
    memory_after_load,
)


def expected_load_s(target: EngineTarget, model: EngineModel) -> float:
    """Return the seconds that a load takes after the queued ones."""
    if needs_store_load(target, model):
        return model.store_load_s
    if model.name in expected_memory_copies(target):
        return model.memory_load_s
    return model.disk_load_s


def min_ready_s(target: EngineTarget, model: EngineModel, now: float) -> float:
    """Return a lower bound of the seconds until a target has a model loaded.

    It is cheap to compute and sorts the targets before they are estimated.
    """
    if model.name in target.models:
        return 0
    queue_s = max(target.steps_end_s - now, 0)
    if model.name in target.in_memory:
        return queue_s + min(model.memory_load_s, model.disk_load_s)
    if model.name in target.on_disk:
        return queue_s + model.disk_load_s
    return queue_s + model.store_load_s


def needs_store_load(target: EngineTarget, model: EngineModel) -> bool:
    """Return whether a load after the queued ones uses the weight store."""
    if model.name in expected_disk_copies(target):
        return False
    return bool(_loading_models(target)) or model.name not in target.in_memory


def with_current_duration(target: EngineTarget, step: Step) -> Step:
    """Return an order with the duration that it has if it is sent now.

    Copies of weights may have been added or evicted since it was planned.
    """
    model = target.engine_cfg.models.get(step.model)
    loads_local_copy = (
        step.is_load and not step.adapter and not step.is_from_store
    )
    if model is None or not loads_local_copy:
        return step
    duration_s = model.disk_load_s
    if step.model in target.in_memory:
        duration_s = model.memory_load_s
    return attrs.evolve(step, duration_s=duration_s)


def expected_disk_copies(target: EngineTarget) -> list[str]:
    """Return the copies on the disk after the queued loads."""
    copies = target.on_disk
    for loading_model in _loading_models(target):
        copies = disk_after_load(copies, loading_model, target.engine_cfg)
    return copies


def expected_memory_copies(target: EngineTarget) -> list[str]:
    """Return the copies in memory after the queued loads."""
    copies = target.in_memory
    for loading_model in _loading_models(target):
        copies = memory_after_load(copies, loading_model, target.engine_cfg)
    return copies


def _loading_models(target: EngineTarget) -> list[EngineModel]:
    """Return the models that are being loaded, ordered by predicted end."""
    loading = [one for one in target.models.values() if not one.is_ready]
    return [one.model for one in sorted(loading, key=_get_ready_s)]


def _get_ready_s(loaded: LoadedModel) -> float:
    return loaded.ready_s
