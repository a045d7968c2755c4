"""Runs a placer: its tasks, sockets and logs."""

import asyncio
import contextlib
import time
from http import HTTPStatus
from typing import Any, Self

import attrs

from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.metrics import Metric, MetricsClient
from mimosaworks.placement.decision import Decision
from mimosaworks.placement.errors import LeaseLapsedError
from mimosaworks.placement.map_pusher import MapPusher
from mimosaworks.placement.order import Order
from mimosaworks.placement.order_sender import OrderSender
from mimosaworks.placement.orders import order_refused
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.placement.shard_writer import ShardWriter
from mimosaworks.placement.target_poller import TargetPoller
from mimosaworks.placement.vm_watch import VmWatch
from mimosaworks.serving import start_task
from mimosaworks.wire import Ack, Demand

TICK_S = 0.1
MEASURE_S = 1.0
SECONDS_PER_MINUTE = 60
MINUTES_PER_DAY = 1440


@attrs.define
class PlacerService:
    """The placer's tasks; run as an asynchronous context manager."""

    placer: ShardPlacer
    writer: ShardWriter
    sender: OrderSender
    poller: TargetPoller
    pusher: MapPusher
    vms: VmWatch
    wake: asyncio.Event
    metrics: MetricsClient
    was_holder: bool = False
    open_orders: set[asyncio.Task[None]] = attrs.field(factory=set)
    stack: contextlib.AsyncExitStack = attrs.field(
        factory=contextlib.AsyncExitStack
    )

    async def __aenter__(self) -> Self:
        """Start the tasks."""
        self.stack.push_async_callback(self.writer.release)
        jobs = (self._run, self._measure, self.poller.run, self.pusher.run)
        for job in (*jobs, self.vms.run):
            start_task(job(), self.stack)
        return self

    async def __aexit__(self, *_exc: Any) -> None:
        """Stop the tasks and give the lease up; open orders are dropped."""
        for task in self.open_orders:
            task.cancel()
        await self.stack.aclose()

    async def on_demand(self, demand: Demand) -> Ack:
        """Answer a router's demand; only the holder accepts it."""
        self.placer.state.demand.on_demand(demand, now_s())
        self.wake.set()
        return Ack(self.placer.is_holder)

    async def _run(self) -> None:
        while True:
            self._decide()
            await self.writer.step()
            self._log_lease()
            self._send_due()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), TICK_S)
            self.wake.clear()

    def _decide(self) -> None:
        minute = int(time.time() // SECONDS_PER_MINUTE) % MINUTES_PER_DAY
        for decision in self.placer.decide(now_s(), minute):
            _log_decision(decision)

    def _send_due(self) -> None:
        for order in self.placer.due_orders(now_s()):
            task = asyncio.create_task(self._send(order))
            self.open_orders.add(task)
            task.add_done_callback(self.open_orders.discard)

    async def _send(self, order: Order) -> None:
        log_event(
            Event.ORDER_SENT,
            order=order.order_id,
            action=order.action,
            model=order.model,
            adapter=order.adapter,
            target=order.target,
            fence=order.fence,
        )
        try:
            status = await self.sender.send(order)
        except LeaseLapsedError:
            status = None
        log_event(
            Event.ORDER_RESOLVED,
            order=order.order_id,
            target=order.target,
            status=0 if status is None else status.value,
        )
        self.metrics.count(Metric.ORDERS_SENT)
        if status != HTTPStatus.ACCEPTED:
            self.metrics.count(Metric.ORDERS_FAILED)
        if status == HTTPStatus.INSUFFICIENT_STORAGE:
            order_refused(self.placer.state.ledger, order)
        if status == HTTPStatus.CONFLICT:
            self.writer.is_read_due = True
        self.wake.set()

    async def _measure(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_S)
            if self.placer.is_holder:
                running = self.placer.state.replicas_running()
                idle = [count for count in running if not count]
                self.metrics.gauge(Metric.REPLICAS_READY, len(running))
                idle_s = len(idle) * MEASURE_S
                self.metrics.count(Metric.REPLICAS_IDLE, idle_s)

    def _log_lease(self) -> None:
        is_holder = self.placer.is_holder
        if is_holder != self.was_holder:
            self.was_holder = is_holder
            event = (
                Event.SHARD_LEASE_TAKEN if is_holder else Event.SHARD_LEASE_LOST
            )
            log_event(
                event, shard=self.placer.shard, fence=self.placer.lease.fence
            )


def _log_decision(decision: Decision) -> None:
    log_event(
        Event.PLACEMENT_DECIDED,
        kind=decision.kind.value,
        model=decision.model,
        adapter=decision.adapter,
        target=decision.target,
        reason=decision.reason,
        runners_up=decision.runners_up,
    )
