"""Detects pauses of the process, and has what waited meanwhile read first."""

import asyncio
import contextlib
import math
from collections.abc import AsyncGenerator

import attrs

from mimosaworks.clock import now_s

STALL_CHECK_INTERVAL_S = 0.1
# A check that is this late shows that the process was paused or too busy to
# read, so requests sent since the last check waited in its sockets.
STALL_THRESHOLD_S = 0.25
# Checks after a stall, during which the requests that arrived meanwhile are
# read. A process with little processor time reads few of them in a given time,
# and makes few checks.
BACKLOG_CHECKS = 10
BACKLOG_CHECK_INTERVAL_S = 0.01
# Some rounds of the loop, in which those who wait for received bytes go on.
READ_S = 0.005


@attrs.define(eq=False)
class StallDetector:
    """Periodic check that this process is able to read.

    A request that is read while backlog_checks are left may have arrived since
    stall_started_s, the last check before a stall.
    """

    last_check_s: float = math.inf
    stall_started_s: float = math.inf
    backlog_checks: int = 0

    async def run_checks(self) -> None:
        """Check periodically until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            self.earliest_arrival_s()
            await asyncio.sleep(
                BACKLOG_CHECK_INTERVAL_S
                if self.backlog_checks
                else STALL_CHECK_INTERVAL_S
            )
            self.backlog_checks = max(self.backlog_checks - 1, 0)

    def earliest_arrival_s(self) -> float:
        """Return the earliest time when a request read now may have arrived."""
        now = now_s()
        if now - self.last_check_s > STALL_THRESHOLD_S:
            self.stall_started_s = self.last_check_s
            self.backlog_checks = BACKLOG_CHECKS
        self.last_check_s = now
        return self.stall_started_s if self.backlog_checks else now


@contextlib.asynccontextmanager
async def timeout_after_reading(max_s: float) -> AsyncGenerator[None, None]:
    """Raise TimeoutError after max_s seconds.

    After a pause of the process, received bytes and the time-out are due at
    once, and the loop may take timers first. Then the bytes are read before.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:

        def end_soon() -> None:
            # A time in the past: the end waits behind those that bytes woke.
            timers.append(loop.call_later(READ_S, limit.reschedule, 0))

        timers = [loop.call_later(max_s - READ_S, end_soon)]
        try:
            yield
        finally:
            for timer in timers:
                timer.cancel()
