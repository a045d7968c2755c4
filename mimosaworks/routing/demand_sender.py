"""Tells the placement shard's holder what waits at this router."""

import asyncio
import contextlib

import attrs

from mimosaworks.errors import PeerError
from mimosaworks.routing.dispatcher import Dispatcher
from mimosaworks.routing.lane import Lane
from mimosaworks.routing.lane_key import LaneKey
from mimosaworks.wire import Ack, Demand, ModelDemand, PeerClient

URGENT_PERIOD_S = 0.1
PERIOD_S = 1.0
TIMEOUT_S = 1.0


@attrs.define
class DemandSender:
    """Sends Demand messages: soon when a request waits, else each second."""

    address: str
    dispatcher: Dispatcher
    peers: PeerClient

    async def run(self) -> None:
        """Send until cancelled; a holder that does not answer is asked again.

        The holder's address comes with the replica map.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time() - PERIOD_S
        while True:
            await asyncio.sleep(URGENT_PERIOD_S)
            is_due = loop.time() - sent_at >= PERIOD_S
            if is_due or self._has_cold_lane():
                sent_at = loop.time()
                await self._send()

    async def _send(self) -> None:
        replicas = self.dispatcher.targets.replicas
        holder = replicas.current.holder
        demand = self._take_demand()
        if not holder:
            return
        with contextlib.suppress(PeerError):
            await self.peers.call(holder, demand, Ack, TIMEOUT_S)

    def _has_cold_lane(self) -> bool:
        return any(
            len(lane) and not self.dispatcher.targets.is_served(key)
            for key, lane in self._model_lanes()
        )

    def _take_demand(self) -> Demand:
        return Demand(
            self.address,
            tuple(
                _take(key, lane)
                for key, lane in self._model_lanes()
                if len(lane) or lane.running or lane.arrivals
            ),
        )

    def _model_lanes(self) -> list[tuple[LaneKey, Lane]]:
        lanes = self.dispatcher.lanes.items()
        return [(key, lane) for key, lane in lanes if key.model]


def _take(key: LaneKey, lane: Lane) -> ModelDemand:
    arrivals = lane.arrivals
    lane.arrivals = 0
    return ModelDemand(
        model=key.model,
        adapter=key.adapter,
        waiting=len(lane),
        waiting_tokens=int(lane.waiting_tokens),
        running=lane.running,
        arrivals=arrivals,
    )
