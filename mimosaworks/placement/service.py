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
from mimosaworks.placement.due_orders import record_refused_load
from mimosaworks.placement.errors import LeaseLapsedError
from mimosaworks.placement.map_pusher import MapPusher
from mimosaworks.placement.order import Order
from mimosaworks.placement.order_sender import OrderSender
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.placement.shard_writer import ShardWriter
from mimosaworks.placement.target_poller import TargetPoller
from mimosaworks.placement.vm_monitor import VmStateMonitor
from mimosaworks.serving import start_task
from mimosaworks.wire import Ack, Demand

DECISION_INTERVAL_S = 0.1
METRICS_INTERVAL_S = 1.0
SECONDS_PER_MINUTE = 60
MINUTES_PER_DAY = 1440


@attrs.define
class PlacerService:
    """The placer's tasks; run as an asynchronous context manager."""

    placer: ShardPlacer
    shard_writer: ShardWriter
    order_sender: OrderSender
    target_poller: TargetPoller
    map_pusher: MapPusher
    vm_monitor: VmStateMonitor
    wake_event: asyncio.Event
    metrics: MetricsClient
    was_holder: bool = False
    order_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    exit_stack: contextlib.AsyncExitStack = attrs.field(
        factory=contextlib.AsyncExitStack
    )

    async def __aenter__(self) -> Self:
        """Start the tasks."""
        self.exit_stack.push_async_callback(self.shard_writer.release_lease)
        jobs = (
            self._run_decisions,
            self._emit_metrics,
            self.target_poller.run,
            self.map_pusher.run,
        )
        for job in (*jobs, self.vm_monitor.run):
            start_task(job(), self.exit_stack)
        return self

    async def __aexit__(self, *_exc: Any) -> None:
        """Stop the tasks and give the lease up; open orders are dropped."""
        for task in self.order_tasks:
            task.cancel()
        await self.exit_stack.aclose()

    async def handle_demand(self, demand: Demand) -> Ack:
        """Answer a router's demand; only the holder accepts it."""
        self.placer.state.demand_tracker.record_demand(demand, now_s())
        self.wake_event.set()
        return Ack(self.placer.is_holder)

    async def _run_decisions(self) -> None:
        while True:
            self._decide_placement()
            await self.shard_writer.sync_rows()
            self._log_lease_change()
            self._send_due_orders()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.wake_event.wait(), DECISION_INTERVAL_S
                )
            self.wake_event.clear()

    def _decide_placement(self) -> None:
        minute = int(time.time() // SECONDS_PER_MINUTE) % MINUTES_PER_DAY
        for decision in self.placer.decide(now_s(), minute):
            _log_decision(decision)

    def _send_due_orders(self) -> None:
        for order in self.placer.collect_due_orders(now_s()):
            task = asyncio.create_task(self._send_order(order))
            self.order_tasks.add(task)
            task.add_done_callback(self.order_tasks.discard)

    async def _send_order(self, order: Order) -> None:
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
            status = await self.order_sender.send_order(order)
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
            record_refused_load(self.placer.state.ledger, order)
        if status == HTTPStatus.CONFLICT:
            self.shard_writer.is_read_due = True
        self.wake_event.set()

    async def _emit_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S)
            if self.placer.is_holder:
                running_counts = self.placer.state.ready_replica_run_counts()
                idle_replicas = [count for count in running_counts if not count]
                self.metrics.gauge(Metric.REPLICAS_READY, len(running_counts))
                idle_s = len(idle_replicas) * METRICS_INTERVAL_S
                self.metrics.count(Metric.REPLICAS_IDLE, idle_s)

    def _log_lease_change(self) -> None:
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
