"""Pushes replica maps to routers."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PeerError
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.wire import Ack, PeerClient, ReplicaMap

MAP_RESEND_INTERVAL_S = 1.0
MAP_PUSH_TIMEOUT_S = 1.0
PUSH_CHECK_INTERVAL_S = 0.05


@attrs.define
class MapPusher:
    """Sends the map to every router on each change and each second."""

    peer_client: PeerClient
    placer: ShardPlacer
    list_router_addresses: Callable[[], Sequence[str]]
    last_pushed_sequence: int = -1
    last_push_s: float = 0

    async def run(self) -> None:
        """Push until cancelled."""
        while True:
            await self.push_if_due()
            await asyncio.sleep(PUSH_CHECK_INTERVAL_S)

    async def push_if_due(self) -> None:
        """Push the map if it changed or the resend interval is over."""
        replica_map = self.placer.build_replica_map(now_s())
        if replica_map is None:
            return
        is_resend_due = now_s() - self.last_push_s >= MAP_RESEND_INTERVAL_S
        if (
            replica_map.sequence == self.last_pushed_sequence
            and not is_resend_due
        ):
            return
        self.last_pushed_sequence = replica_map.sequence
        self.last_push_s = now_s()
        acks = await asyncio.gather(
            *(
                self._push_to_router(router, replica_map)
                for router in self.list_router_addresses()
            )
        )
        if all(acks):
            placer = self.placer
            placer.map_builder.record_acked_map(
                placer.state, replica_map.sequence, now_s()
            )

    async def _push_to_router(
        self, router: str, replica_map: ReplicaMap
    ) -> bool:
        try:
            ack = await self.peer_client.call(
                router, replica_map, Ack, MAP_PUSH_TIMEOUT_S
            )
        except PeerError:
            return False
        return ack.accepted
