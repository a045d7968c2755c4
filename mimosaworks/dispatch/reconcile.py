"""Brings the holder's view of a target in line with its own account."""

from collections.abc import Iterable

from mimosaworks.deployment import Residence, TargetEntry
from mimosaworks.dispatch.engine_target import (
    EngineTarget,
    LoadedAdapter,
    LoadedModel,
)
from mimosaworks.dispatch.weight_copies import disk_after, memory_after

SETTLE_S = 2.5  # two heartbeat intervals of the targets


def adopt_entry(target: EngineTarget, entry: TargetEntry, now: float) -> None:
    """Take over an entry; its models only until the target was asked.

    An entry says nothing of adapters that came or went since the target's
    last order for a model, so a report is the better source.
    """
    target.entry = entry
    # An entry may be older than the last loads, which push other copies out.
    recent = [
        model
        for model, loaded_s in target.loads_s.items()
        if now - loaded_s < SETTLE_S
    ]
    target.in_memory = list(entry.in_memory)
    target.on_disk = list(entry.on_disk)
    for terms in map(target.terms.models.get, recent):
        if terms is None:
            continue
        target.in_memory = memory_after(target.in_memory, terms, target.terms)
        if terms.name not in target.on_disk:
            target.on_disk = disk_after(target.on_disk, terms, target.terms)
    if not target.is_synced and not target.steps:
        adopt_models(target, entry.residences, target.orders)


def adopt_models(
    target: EngineTarget,
    residences: Iterable[Residence],
    orders: int,
) -> None:
    """Replace the models by those that the target names.

    What queued orders will change stays expected.
    """
    target.orders = orders
    named = {residence.model: residence for residence in residences}
    for name, held in list(target.models.items()):
        if held.is_ready and name not in named:
            forget_model(target, name)
    leaving = {
        step.model
        for step in target.steps
        if not step.is_load and not step.adapter
    }
    for residence in named.values():
        terms = target.terms.models.get(residence.model)
        if terms is None:
            continue
        loaded = target.models.setdefault(
            residence.model, LoadedModel(terms, used_s=0)
        )
        loaded.is_ready = True
        loaded.is_leaving = residence.model in leaving
        _adopt_adapters(loaded, residence)
    target.count_jobs()


def forget_model(target: EngineTarget, model: str) -> None:
    """Remove a model that the target no longer holds."""
    target.models.pop(model, None)
    target.cache.drop_model(model)


def _adopt_adapters(loaded: LoadedModel, residence: Residence) -> None:
    kept = loaded.adapters
    pending = {
        name: adapter
        for name, adapter in kept.items()
        if not adapter.is_ready and name not in residence.adapters
    }
    held = {
        name: kept.get(name) or LoadedAdapter(name, used_s=0)
        for name in residence.adapters
    }
    for adapter in held.values():
        adapter.is_ready = True
    loaded.adapters = held | pending
