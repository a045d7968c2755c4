"""Keeps the lease holder's calls within the rate limits of targets."""

import asyncio
from collections.abc import Callable

from mimosaworks.clock import now_s
from mimosaworks.dispatch import TargetRateLimits
from mimosaworks.node.order_runner import PermitWaiter

LEASE_CHECK_INTERVAL_S = 0.05


def make_permit_waiter(
    limits: TargetRateLimits, is_lease_verified: Callable[[], bool]
) -> PermitWaiter:
    """Return a function that waits for a permit of a target's rate limit.

    is_lease_verified tells whether the lease was checked lately.
    """

    async def wait_for_permit(target: str) -> None:
        wait_s = limits.reserve_permit(target, now_s())
        if not wait_s:
            return
        await asyncio.sleep(wait_s)
        # Another node may have acquired the lease meanwhile.
        while not is_lease_verified():
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    return wait_for_permit


def make_call_interval(limits: TargetRateLimits) -> Callable[[str], float]:
    """Return a function that gives the seconds between calls to a target."""

    def call_interval_s(target: str) -> float:
        return 1 / limits.get_send_rate(target)

    return call_interval_s
