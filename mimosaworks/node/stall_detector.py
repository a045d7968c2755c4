"""Tells when a request that is read now may have arrived."""

import asyncio
import math

import attrs

from mimosaworks.clock import now_s

STALL_CHECK_INTERVAL_S = 0.1
# A pulse that is this late shows that the process was paused, or too busy to
# read: what callers sent since waited in its sockets.
STALL_THRESHOLD_S = 0.25
BACKLOG_READ_S = 0.1  # in which what arrived meanwhile is read


@attrs.define(eq=False)
class StallDetector:
    """Notes at which times this process was able to read.

    beat_s is the last one; what is read until caught_up_s may have arrived
    since paused_s.
    """

    last_check_s: float = math.inf
    stall_started_s: float = math.inf
    backlog_read_until_s: float = -math.inf

    async def run(self) -> None:
        """Note the times until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            self.earliest_arrival_s()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)

    def earliest_arrival_s(self) -> float:
        """Return the earliest time at which what is read now may have come."""
        now = now_s()
        if now - self.last_check_s > STALL_THRESHOLD_S:
            self.stall_started_s = self.last_check_s
            self.backlog_read_until_s = now + BACKLOG_READ_S
        self.last_check_s = now
        return self.stall_started_s if now < self.backlog_read_until_s else now
