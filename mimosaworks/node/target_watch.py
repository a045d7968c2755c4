"""Logs when the holder leaves a target out, and when it trusts it again."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.dispatch import (
    EnginePool,
    EngineTarget,
    PlainPool,
    PlainTarget,
)
from mimosaworks.events import Event, log_event


@attrs.define(eq=False)
class TargetWatch:
    """Remembers which targets were left out at the last look."""

    _left_out: frozenset[str] = frozenset()

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
