"""Brittle targets, which crash when they turn away too many requests."""

from collections.abc import Iterable

from mimosaworks.dispatch.engine_pool import EnginePool
from mimosaworks.dispatch.plain_pool import PlainPool


def record_brittle_target(
    pools: Iterable[EnginePool | PlainPool],
    name: str,
    now: float,
    *,
    is_brittle: bool,
    is_full: bool,
) -> None:
    """Record whether a target is brittle; is_full: it turned one away."""
    for pool in pools:
        target = pool.targets.get(name)
        if target is not None:
            target.health.record_brittle(
                now, is_brittle=is_brittle, is_full=is_full
            )
