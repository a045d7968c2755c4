"""Logs how many copies of models' weights are left, and what waits for them."""

from collections.abc import Mapping

import attrs

from mimosaworks.dispatch import EnginePool, EngineTarget, PlainPool
from mimosaworks.events import Event, log_event

LOOK_S = 0.5  # entries of targets change about once a second
_HeldBy = Mapping[str, frozenset[str]]


@attrs.define(eq=False)
class WeightsWatch:
    """Remembers what each target had at hand at the last look.

    _held gives the models by service and target.
    """

    _looked_s: float = 0
    _held: dict[str, _HeldBy] = attrs.field(factory=dict)

    def look(
        self, pools: Mapping[str, EnginePool | PlainPool], now: float
    ) -> None:
        """Log what has changed since the last look."""
        if now - self._looked_s < LOOK_S:
            return
        self._looked_s = now
        for service, pool in pools.items():
            if not isinstance(pool, EnginePool) or not pool.targets:
                continue
            if pool.loads.is_settled(now):
                self._look_at(service, pool)
                _log_held_up(service, pool, now)

    def _look_at(self, service: str, pool: EnginePool) -> None:
        held = {
            name: frozenset(target.at_hand())
            for name, target in pool.targets.items()
        }
        before = self._held.get(service)
        self._held[service] = held
        present = frozenset().union(*held.values())
        if before is None:
            log_event(
                Event.WEIGHTS_COUNTED,
                service=service,
                models=len(pool.terms.models),
                targets=len(held),
                absent=sorted(pool.terms.models.keys() - present),
            )
            return
        known = frozenset().union(*before.values())
        for model in sorted(present - known):
            log_event(
                Event.WEIGHTS_FOUND,
                service=service,
                model=model,
                target=_holder_of(model, held),
            )
        for model in sorted(known - present):
            _log_lost(service, model, before, held)


def log_load_begun(
    service: str, pool: EnginePool, target: EngineTarget, model: str
) -> None:
    """Log a load from the weight store that is sent now."""
    log_event(
        Event.STORE_LOAD_BEGUN,
        service=service,
        target=target.entry.name,
        model=model,
        copies=sum(one.has_copy(model) for one in pool.targets.values()),
        at_once=pool.loads.gate.at_once,
        limit=pool.loads.gate.limit,
        wanted=len(pool.loads.wanted),
    )


def log_load_ended(
    service: str,
    pool: EnginePool,
    target: EngineTarget,
    model: str,
    *,
    is_done: bool,
) -> None:
    """Log a load from the weight store that has ended."""
    log_event(
        Event.STORE_LOAD_ENDED,
        service=service,
        target=target.entry.name,
        model=model,
        is_done=is_done,
        at_once=pool.loads.gate.at_once,
        limit=pool.loads.gate.limit,
    )


def _log_lost(service: str, model: str, before: _HeldBy, held: _HeldBy) -> None:
    target = _holder_of(model, before)
    is_here = target in held
    log_event(
        Event.WEIGHTS_LOST,
        service=service,
        model=model,
        target=target,
        cause='evicted' if is_here else 'target_gone',
        added=sorted(held[target] - before[target]) if is_here else [],
    )


def _log_held_up(service: str, pool: EnginePool, now: float) -> None:
    loads = pool.loads
    wanted = loads.wanted.by_need(now)
    if not wanted or not loads.gate.has_room(len(pool.targets)):
        return
    job = wanted[0]
    model = pool.terms.models.get(job.ask.facts.model)
    if model is None:
        return
    planner = pool.estimator.swaps
    usable = pool.choice.usable(job, now)
    log_event(
        Event.STORE_LOAD_HELD_UP,
        service=service,
        model=model.name,
        wanted=len(wanted),
        at_once=loads.gate.at_once,
        limit=loads.gate.limit,
        targets=len(usable),
        fitting=sum(
            planner.plan_model(target, model, now) is not None
            for target in usable
        ),
    )


def _holder_of(model: str, held: _HeldBy) -> str:
    return next(name for name, models in held.items() if model in models)
