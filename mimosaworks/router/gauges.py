"""Sends the levels of a router to statsd."""

import asyncio

from mimosaworks.members import MemberService
from mimosaworks.metrics import Metric
from mimosaworks.routing import Dispatcher

PERIOD_S = 1.0


async def send_gauges(members: MemberService, dispatcher: Dispatcher) -> None:
    """Send each PERIOD_S until cancelled."""
    metrics = dispatcher.metrics
    while True:
        lanes = dispatcher.queues.values()
        waiting = sum(len(lane) for lane in lanes)
        running = sum(lane.running_count for lane in lanes)
        metrics.gauge(Metric.REQUESTS_WAITING, waiting)
        metrics.gauge(Metric.REQUESTS_RUNNING, running)
        metrics.gauge(Metric.CONFIG_VERSION, members.catalogue.version)
        metrics.gauge(Metric.MEMBER_IS_FRESH, int(members.is_fresh()))
        await asyncio.sleep(PERIOD_S)
