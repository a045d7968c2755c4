"""Closes models in use, so that one that is wanted more can be loaded."""

import functools
import itertools
import math
from collections.abc import Iterable

import attrs

from mimosaworks.deployment import EngineModel
from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.engine_target import EngineTarget, LoadedModel
from mimosaworks.dispatch.load_time import needs_store

CLOSED_S = 3.0  # about the length of a long answer
MORE = 2.0  # times as many requests a second as for the models in use


@attrs.frozen
class _Room:
    """Models that would make way, and the requests a second for them."""

    models: tuple[LoadedModel, ...]
    per_s: float


def make_way(
    pool: EnginePool, usable: Iterable[EngineTarget], wanted: str, now: float
) -> None:
    """Close the least wanted models of one target that has the weights.

    Requests that run there end as usual; new ones go to other replicas.
    """
    model = pool.terms.models.get(wanted)
    if model is None or _is_under_way(pool, wanted, now):
        return
    rooms = [
        _find_room(pool, target, model, now)
        for target in usable
        if not needs_store(target, model)
    ]
    least = min(rooms, key=_per_s, default=None)
    most_per_s = pool.demand.per_s(wanted, now) / MORE
    if least is None or least.per_s > most_per_s:
        return
    for loaded in least.models:
        loaded.closed_for = wanted
        loaded.closed_until_s = now + CLOSED_S


def _is_under_way(pool: EnginePool, wanted: str, now: float) -> bool:
    models = itertools.chain.from_iterable(
        target.models.values() for target in pool.targets.values()
    )
    return any(
        loaded.closed_for == wanted and not loaded.is_open(now)
        for loaded in models
    )


def _find_room(
    pool: EnginePool, target: EngineTarget, model: EngineModel, now: float
) -> _Room:
    """Return the least wanted models of a target that leave enough room."""
    free = [one for one in target.models.values() if _may_close(one, now)]
    free_mb = target.terms.weights_mb - target.staying_mb
    missing_mb = model.size_mb - free_mb
    chosen: list[LoadedModel] = []
    rates: list[float] = []
    for loaded in sorted(free, key=functools.partial(_asked, pool, now)):
        if missing_mb > 0:
            missing_mb -= loaded.size_mb
            chosen.append(loaded)
            rates.append(_asked(pool, now, loaded))
    if missing_mb > 0:
        return _Room((), math.inf)
    return _Room(tuple(chosen), math.fsum(rates))


def _asked(pool: EnginePool, now: float, loaded: LoadedModel) -> float:
    """Return the requests a second for one replica of a model."""
    name = loaded.terms.name
    replicas = max(pool.copies.get(name, 1), 1)
    return pool.demand.per_s(name, now) / replicas


def _may_close(loaded: LoadedModel, now: float) -> bool:
    return loaded.is_ready and loaded.is_open(now)


def _per_s(room: _Room) -> float:
    return room.per_s
