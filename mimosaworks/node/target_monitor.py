"""Logs when the lease holder stops using a target, and when it resumes."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from mimosaworks.dispatch import (
    EnginePool,
    EngineTarget,
    PlainPool,
    PlainTarget,
)
from mimosaworks.events import Event, log_event

_ClosedModel = tuple[str, str, str]


@attrs.define(eq=False)
class TargetMonitor:
    """The targets and models that were not used at the last check.

    _down_targets are names of targets. _closed_models are triples of a target,
    a model that takes no more requests there, and the model that is requested
    instead.
    """

    _down_targets: frozenset[str] = frozenset()
    _closed_models: frozenset[_ClosedModel] = frozenset()

    def log_changes(
        self, pools: Mapping[str, EnginePool | PlainPool], now: float
    ) -> None:
        """Log what has changed since the last check."""
        targets: dict[str, EngineTarget | PlainTarget] = {}
        for pool in pools.values():
            targets.update(pool.targets)
        down_targets = frozenset(
            name
            for name, target in targets.items()
            if target.health.is_down(now)
        )
        _log_down_targets(
            (targets[name] for name in down_targets - self._down_targets), now
        )
        for name in self._down_targets - down_targets:
            log_event(Event.TARGET_TRUSTED, target=name)
        self._down_targets = down_targets
        closed_models = frozenset(_list_closed_models(targets.values(), now))
        for target, model, requested_model in sorted(
            closed_models - self._closed_models
        ):
            log_event(
                Event.MODEL_CLOSED,
                target=target,
                model=model,
                wanted=requested_model,
            )
        self._closed_models = closed_models


def _log_down_targets(
    down_targets: Iterable[EngineTarget | PlainTarget], now: float
) -> None:
    for target in down_targets:
        log_event(
            Event.TARGET_SUSPECTED,
            target=target.entry.name,
            service=target.entry.service,
            for_s=target.health.down_remaining_s(now),
            failures=target.health.failure_rate(now),
            slowness=target.health.slowdown,
        )


def _list_closed_models(
    targets: Iterable[EngineTarget | PlainTarget], now: float
) -> Iterator[_ClosedModel]:
    for target in targets:
        if not isinstance(target, EngineTarget):
            continue
        for name, loaded in target.models.items():
            if now < loaded.drain_until_s:
                yield (target.entry.name, name, loaded.drain_for_model)
