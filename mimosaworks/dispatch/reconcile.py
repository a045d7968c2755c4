"""Reconciles the holder's record of a target with what it reports."""

from collections.abc import Iterable

from mimosaworks.deployment import Residence, TargetEntry
from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
)
from mimosaworks.dispatch.weight_copies import disk_after, memory_after

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
        for model_name, loaded_s in target.loads_s.items()
        if now - loaded_s < RECENT_LOAD_S
    ]
    target.in_memory = list(entry.in_memory)
    target.on_disk = list(entry.on_disk)
    for model in map(target.terms.models.get, recent_loads):
        if model is None:
            continue
        target.in_memory = memory_after(target.in_memory, model, target.terms)
        if model.name not in target.on_disk:
            target.on_disk = disk_after(target.on_disk, model, target.terms)
    if not target.is_synced and not target.steps:
        adopt_models(target, entry.residences, target.orders)


def adopt_models(
    target: EngineTarget,
    residences: Iterable[Residence],
    order_count: int,
) -> None:
    """Replace the models by those that the target reports.

    Changes by queued orders are still expected and stay recorded.
    """
    target.orders = order_count
    reported_residences = {
        residence.model: residence for residence in residences
    }
    for name, loaded_model in list(target.models.items()):
        if loaded_model.is_ready and name not in reported_residences:
            forget_model(target, name)
    unloading_models = {
        step.model
        for step in target.steps
        if not step.is_load and not step.adapter
    }
    for residence in reported_residences.values():
        model = target.terms.models.get(residence.model)
        if model is None:
            continue
        loaded = target.models.setdefault(
            residence.model, LoadedModel(model, used_s=0)
        )
        loaded.is_ready = True
        loaded.is_leaving = residence.model in unloading_models
        _apply_reported_adapters(loaded, residence)
    target.recount_jobs()


def forget_model(target: EngineTarget, model: str) -> None:
    """Remove a model that the target no longer holds, with its prefixes."""
    target.models.pop(model, None)
    target.cache.drop_model(model)


def _apply_reported_adapters(loaded: LoadedModel, residence: Residence) -> None:
    known_adapters = loaded.adapters
    pending_adapters = {
        name: adapter
        for name, adapter in known_adapters.items()
        if not adapter.is_ready and name not in residence.adapters
    }
    reported_adapters = {
        name: known_adapters.get(name) or LoadedAdapter(name, used_s=0)
        for name in residence.adapters
    }
    for adapter in reported_adapters.values():
        adapter.is_ready = True
    loaded.adapters = reported_adapters | pending_adapters
