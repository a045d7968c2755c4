"""Adds up the time for which loaded replicas run nothing."""

import asyncio
import contextlib
from collections.abc import Sequence

import aiohttp
import attrs

from standins.cluster import Cluster
from standins.node import Node

PERIOD_S = 0.5


@attrs.define
class IdleWatch:
    """Polls the engines' reports; replica seconds loaded and idle."""

    cluster: Cluster
    engines: Sequence[Node]
    loaded_s: float = 0
    idle_s: float = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            await asyncio.gather(*map(self._poll, self.engines))

    async def _poll(self, engine: Node) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            report = await self.cluster.get_json(engine, '/report')
            for model in report['models'].values():
                self.loaded_s += PERIOD_S
                self.idle_s += 0 if model['running'] else PERIOD_S
