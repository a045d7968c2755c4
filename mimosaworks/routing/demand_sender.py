"""Reports the demand at this router to the placement shard's holder."""

import asyncio
import contextlib

import attrs

from mimosaworks.errors import PeerError
from mimosaworks.routing.dispatcher import Dispatcher
from mimosaworks.routing.queue_key import QueueKey
from mimosaworks.routing.request_queue import RequestQueue
from mimosaworks.wire import Ack, Demand, ModelDemand, PeerClient

URGENT_CHECK_PERIOD_S = 0.1
SEND_PERIOD_S = 1.0
SEND_TIMEOUT_S = 1.0


@attrs.define
class DemandSender:
    """The task of a router that sends Demand messages.

    Sends each second, and each 0.1 s while a request waits for a model
    without a serving target.
    """

    address: str
    dispatcher: Dispatcher
    peers: PeerClient

    async def run(self) -> None:
        """Send until cancelled; an unanswered message is not an error.

        The next one is sent as usual. The holder's address comes with the
        replica map.
        """
        loop = asyncio.get_running_loop()
        last_sent_at = loop.time() - SEND_PERIOD_S
        while True:
            await asyncio.sleep(URGENT_CHECK_PERIOD_S)
            is_due = loop.time() - last_sent_at >= SEND_PERIOD_S
            if is_due or self._has_unserved_queue():
                last_sent_at = loop.time()
                await self._send_demand()

    async def _send_demand(self) -> None:
        replicas = self.dispatcher.targets.replicas
        holder = replicas.current_map.holder
        demand = self._collect_demand()
        if not holder:
            return
        with contextlib.suppress(PeerError):
            await self.peers.call(holder, demand, Ack, SEND_TIMEOUT_S)

    def _has_unserved_queue(self) -> bool:
        return any(
            len(queue) and not self.dispatcher.targets.has_serving_target(key)
            for key, queue in self._model_queues()
        )

    def _collect_demand(self) -> Demand:
        return Demand(
            self.address,
            tuple(
                _collect_model_demand(key, queue)
                for key, queue in self._model_queues()
                if len(queue) or queue.running_count or queue.arrivals
            ),
        )

    def _model_queues(self) -> list[tuple[QueueKey, RequestQueue]]:
        queues = self.dispatcher.queues.items()
        return [(key, queue) for key, queue in queues if key.model]


def _collect_model_demand(key: QueueKey, queue: RequestQueue) -> ModelDemand:
    arrivals = queue.arrivals
    queue.arrivals = 0
    return ModelDemand(
        model=key.model,
        adapter=key.adapter,
        waiting=len(queue),
        waiting_tokens=int(queue.waiting_tokens),
        running=queue.running_count,
        arrivals=arrivals,
    )
