"""Detects pauses of the process, to date requests that waited meanwhile."""

import asyncio
import math

import attrs

from mimosaworks.clock import now_s

STALL_CHECK_INTERVAL_S = 0.1
# A check that is this late shows that the process was paused or too busy to
# read, so requests sent since the last check waited in its sockets.
STALL_THRESHOLD_S = 0.25
# Time after a stall in which the requests that arrived meanwhile are read.
BACKLOG_READ_S = 0.1


@attrs.define(eq=False)
class StallDetector:
    """Periodic check that this process is able to read.

    A request that is read until backlog_read_until_s may have arrived since
    stall_started_s, the last check before a stall.
    """

    last_check_s: float = math.inf
    stall_started_s: float = math.inf
    backlog_read_until_s: float = -math.inf

    async def run_checks(self) -> None:
        """Check periodically until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            self.earliest_arrival_s()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)

    def earliest_arrival_s(self) -> float:
        """Return the earliest time when a request read now may have arrived."""
        now = now_s()
        if now - self.last_check_s > STALL_THRESHOLD_S:
            self.stall_started_s = self.last_check_s
            self.backlog_read_until_s = now + BACKLOG_READ_S
        self.last_check_s = now
        return self.stall_started_s if now < self.backlog_read_until_s else now
