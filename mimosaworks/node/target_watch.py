"""Logs when the holder leaves a target out, and when it trusts it again."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from mimosaworks.dispatch import (
    EnginePool,
    EngineTarget,
    PlainPool,
    PlainTarget,
)
from mimosaworks.events import Event, log_event

_Closed = tuple[str, str, str]


@attrs.define(eq=False)
class TargetWatch:
    """Remembers what was left out at the last look.

    _left_out are targets, _closed models: target, model and the one wanted.
    """

    _left_out: frozenset[str] = frozenset()
    _closed: frozenset[_Closed] = frozenset()

    def look(
        self, pools: Mapping[str, EnginePool | PlainPool], now: float
    ) -> None:
        """Log what has changed since the last look."""
        targets: dict[str, EngineTarget | PlainTarget] = {}
        for pool in pools.values():
            targets.update(pool.targets)
        down = frozenset(
            name
            for name, target in targets.items()
            if target.health.is_down(now)
        )
        _log_suspected((targets[name] for name in down - self._left_out), now)
        for name in self._left_out - down:
            log_event(Event.TARGET_TRUSTED, target=name)
        self._left_out = down
        closed = frozenset(_closed_models(targets.values(), now))
        for target, model, wanted in sorted(closed - self._closed):
            log_event(
                Event.MODEL_CLOSED, target=target, model=model, wanted=wanted
            )
        self._closed = closed


def _log_suspected(
    suspected: Iterable[EngineTarget | PlainTarget], now: float
) -> None:
    for target in suspected:
        log_event(
            Event.TARGET_SUSPECTED,
            target=target.entry.name,
            service=target.entry.service,
            for_s=target.health.down_left_s(now),
            failures=target.health.failures(now),
            slowness=target.health.slowness,
        )


def _closed_models(
    targets: Iterable[EngineTarget | PlainTarget], now: float
) -> Iterator[_Closed]:
    for target in targets:
        if not isinstance(target, EngineTarget):
            continue
        for name, loaded in target.models.items():
            if now < loaded.closed_until_s:
                yield (target.entry.name, name, loaded.closed_for)
