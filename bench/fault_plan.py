"""Named faults that are injected during a run."""

import asyncio
import types
from collections.abc import Awaitable, Callable

from bench.run_system import RunSystem

TABLE_OUTAGE_SHARE = 0.3  # of the run
SLOW_LOADS_PER_S = 0.5


async def _no_fault(_system: RunSystem, _duration_s: float) -> None:
    """Do nothing."""


async def _table_outage(system: RunSystem, duration_s: float) -> None:
    cluster = system.cluster
    await cluster.control(cluster.platform, outage=True)
    await asyncio.sleep(duration_s * TABLE_OUTAGE_SHARE)
    await cluster.control(cluster.platform, outage=False)


async def _slow_weights(system: RunSystem, _duration_s: float) -> None:
    cluster = system.cluster
    await cluster.control(cluster.platform, loads_per_s=SLOW_LOADS_PER_S)


async def _reclaimed_target(system: RunSystem, _duration_s: float) -> None:
    await system.engines[0].process.kill()


async def _router_and_holder(system: RunSystem, _duration_s: float) -> None:
    # The first placer takes the lease, since it starts first.
    await asyncio.gather(
        system.routers[0].process.kill(), system.placers[0].process.kill()
    )


Fault = Callable[[RunSystem, float], Awaitable[None]]
FAULTS = types.MappingProxyType({
    'none': _no_fault,
    'table-outage': _table_outage,
    'slow-weights': _slow_weights,
    'reclaimed-target': _reclaimed_target,
    'router-and-holder': _router_and_holder,
})
