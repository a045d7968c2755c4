"""Leaves time between calls of the holder to targets with limits."""

import asyncio
from collections.abc import Callable

from mimosaworks.clock import now_s
from mimosaworks.dispatch import TargetLimits
from mimosaworks.node.order_runner import Pace

LEASE_POLL_S = 0.05


def make_pace(limits: TargetLimits, is_sure: Callable[[], bool]) -> Pace:
    """Return what waits until a target's limit has a place for a call.

    is_sure tells whether the lease was looked at lately.
    """

    async def pace(target: str) -> None:
        wait_s = limits.book(target, now_s())
        if not wait_s:
            return
        await asyncio.sleep(wait_s)
        # The lease may have passed on meanwhile.
        while not is_sure():
            await asyncio.sleep(LEASE_POLL_S)

    return pace


def make_interval(limits: TargetLimits) -> Callable[[str], float]:
    """Return what tells the seconds between two calls to a target."""

    def interval_s(target: str) -> float:
        return 1 / limits.rate(target)

    return interval_s
