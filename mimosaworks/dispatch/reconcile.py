"""Reconciles the holder's record of a target with what it reports."""

from collections.abc import Iterable, Mapping, Set

from mimosaworks.deployment import ResidentModel, TargetEntry
from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
)
from mimosaworks.dispatch.weight_copies import (
    disk_after_load,
    memory_after_load,
)

# An entry may lack loads that ended within two heartbeat intervals of the
# targets.
RECENT_LOAD_S = 2.5


def apply_entry(target: EngineTarget, entry: TargetEntry, now: float) -> None:
    """Apply a registry entry; its models only until the target is synced.

    An entry lacks adapters that were loaded or unloaded since the target's
    last order for a model, so the target's own report takes precedence.
    """
    target.entry = entry
    # An entry may be older than the last loads, which evict other copies.
    recent_loads = [
        model_name
        for model_name, loaded_s in target.load_completed_s.items()
        if now - loaded_s < RECENT_LOAD_S
    ]
    target.in_memory = list(entry.in_memory)
    target.on_disk = list(entry.on_disk)
    for model in map(target.engine_cfg.models.get, recent_loads):
        if model is None:
            continue
        target.in_memory = memory_after_load(
            target.in_memory, model, target.engine_cfg
        )
        if model.name not in target.on_disk:
            target.on_disk = disk_after_load(
                target.on_disk, model, target.engine_cfg
            )
    if not target.is_synced and not target.steps:
        apply_reported_models(target, entry.resident_models, target.order_count)


def apply_reported_models(
    target: EngineTarget,
    residences: Iterable[ResidentModel],
    order_count: int,
) -> None:
    """Replace the models by those that the target reports.

    Changes by queued orders are still expected and stay recorded. Queued
    unloads of adapters that are gone are dropped.
    """
    target.order_count = order_count
    reported_residences = {
        residence.model: residence for residence in residences
    }
    _drop_needless_unloads(target, reported_residences)
    for name, loaded_model in list(target.models.items()):
        if loaded_model.is_ready and name not in reported_residences:
            remove_model(target, name)
    unloading_models = {
        step.model
        for step in target.steps
        if not step.is_load and not step.adapter
    }
    for residence in reported_residences.values():
        model = target.engine_cfg.models.get(residence.model)
        if model is None:
            continue
        loaded = target.models.setdefault(
            residence.model, LoadedModel(model, last_used_s=0)
        )
        loaded.is_ready = True
        loaded.is_unloading = residence.model in unloading_models
        _apply_reported_adapters(
            loaded, residence, _find_unloading_adapters(target, residence.model)
        )
    target.recount_jobs()


def _drop_needless_unloads(
    target: EngineTarget, residences: Mapping[str, ResidentModel]
) -> None:
    """Drop queued unloads of adapters that the target does not hold.

    Their answer is that of an unload that was carried out at once, though the
    target does not count them.
    """
    needed_steps = [
        step
        for step in target.steps
        if step.is_load
        or not step.adapter
        or (
            step.model in residences
            and step.adapter in residences[step.model].adapters
        )
    ]
    target.steps.clear()
    target.steps.extend(needed_steps)


def remove_model(target: EngineTarget, model: str) -> None:
    """Remove a model that the target no longer holds, with its prefixes."""
    target.models.pop(model, None)
    target.cache.drop_model(model)


def _find_unloading_adapters(target: EngineTarget, model: str) -> set[str]:
    return {
        step.adapter
        for step in target.steps
        if step.model == model and step.adapter and not step.is_load
    }


def _apply_reported_adapters(
    loaded: LoadedModel, residence: ResidentModel, unloading: Set[str]
) -> None:
    known_adapters = loaded.adapters
    pending_adapters = {
        name: adapter
        for name, adapter in known_adapters.items()
        if not adapter.is_ready and name not in residence.adapters
    }
    reported_adapters = {
        name: known_adapters.get(name) or LoadedAdapter(name, last_used_s=0)
        for name in residence.adapters
        if name not in unloading
    }
    for adapter in reported_adapters.values():
        adapter.is_ready = True
    loaded.adapters = reported_adapters | pending_adapters
