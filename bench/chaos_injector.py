"""Injects the planned faults of a chaos run."""

import asyncio
from collections.abc import Sequence

import attrs

from bench.chaos_plan import ChaosFault
from bench.chaos_unit import ChaosUnit
from standins.cluster import Cluster
from standins.node import Node

SLOW_S = 0.4
DROPPED_REPLIES = 2


@attrs.define
class ChaosInjector:
    """Applies faults to units, proxies and the platform, by part name."""

    cluster: Cluster
    units: dict[str, ChaosUnit]
    proxies: dict[str, Node]

    async def inject_all(self, faults: Sequence[ChaosFault]) -> None:
        """Apply each fault at its time and return when all have ended."""
        await asyncio.gather(*(self._inject(fault) for fault in faults))

    async def _inject(self, fault: ChaosFault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind == 'kill':
            await self.units[fault.part].kill(fault.lasts_s)
        elif fault.kind == 'pause':
            await self.units[fault.part].pause(fault.lasts_s)
        elif fault.part == 'platform':
            await self._fail_platform(fault)
        else:
            await self._fail_link(fault)

    async def _fail_platform(self, fault: ChaosFault) -> None:
        platform = self.cluster.platform
        on = {'slow_s': SLOW_S, 'drop_replies': DROPPED_REPLIES}
        await self.cluster.control(
            platform, **{fault.kind: on.get(fault.kind, True)}
        )
        await asyncio.sleep(fault.lasts_s)
        await self.cluster.control(platform, **{fault.kind: 0})

    async def _fail_link(self, fault: ChaosFault) -> None:
        proxy = self.proxies[fault.part]
        await self.cluster.control(proxy, **{fault.kind: True})
        await asyncio.sleep(fault.lasts_s)
        await self.cluster.control(proxy, **{fault.kind: False})
