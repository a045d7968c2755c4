"""Brittle targets, which crash when they turn away too many requests."""

from collections.abc import Iterable

from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.plain_pool import PlainPool


def record_brittle_target(
    pools: Iterable[EnginePool | PlainPool],
    name: str,
    now: float,
    *,
    most_per_s: int | None,
    is_full: bool,
) -> None:
    """Record how many requests a target may turn away in a second.

    most_per_s is None if it is not brittle. is_full: it turned one away.
    """
    for pool in pools:
        target = pool.targets.get(name)
        if target is not None:
            target.health.record_brittle(
                now, most_per_s=most_per_s, is_full=is_full
            )
