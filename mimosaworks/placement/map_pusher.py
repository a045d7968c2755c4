"""Pushes replica maps to routers."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PeerError
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.wire import Ack, PeerClient, ReplicaMap

MAP_REPEAT_S = 1.0
MAP_TIMEOUT_S = 1.0
TICK_S = 0.05


@attrs.define
class MapPusher:
    """Sends the map to every router when it changed, else each second."""

    peers: PeerClient
    placer: ShardPlacer
    routers: Callable[[], Sequence[str]]
    pushed_sequence: int = -1
    pushed_s: float = 0

    async def run(self) -> None:
        """Push until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(TICK_S)

    async def step(self) -> None:
        """Push the map if that is due."""
        replica_map = self.placer.replica_map(now_s())
        if replica_map is None:
            return
        is_old = now_s() - self.pushed_s >= MAP_REPEAT_S
        if replica_map.sequence == self.pushed_sequence and not is_old:
            return
        self.pushed_sequence = replica_map.sequence
        self.pushed_s = now_s()
        acks = await asyncio.gather(
            *(self._push(router, replica_map) for router in self.routers())
        )
        if all(acks):
            placer = self.placer
            placer.maps.acked(placer.state, replica_map.sequence, now_s())

    async def _push(self, router: str, replica_map: ReplicaMap) -> bool:
        try:
            ack = await self.peers.call(router, replica_map, Ack, MAP_TIMEOUT_S)
        except PeerError:
            return False
        return ack.accepted
