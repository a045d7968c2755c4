"""Tells when a request that is read now may have arrived."""

import asyncio
import math

import attrs

from mimosaworks.clock import now_s

PULSE_S = 0.1
# A pulse that is this late shows that the process was paused, or too busy to
# read: what callers sent since waited in its sockets.
LATE_S = 0.25
CATCH_UP_S = 0.1  # in which what arrived meanwhile is read


@attrs.define(eq=False)
class Pulse:
    """Notes at which times this process was able to read.

    beat_s is the last one; what is read until caught_up_s may have arrived
    since paused_s.
    """

    beat_s: float = math.inf
    paused_s: float = math.inf
    caught_up_s: float = -math.inf

    async def run(self) -> None:
        """Note the times until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            self.arrived_s()
            await asyncio.sleep(PULSE_S)

    def arrived_s(self) -> float:
        """Return the earliest time at which what is read now may have come."""
        now = now_s()
        if now - self.beat_s > LATE_S:
            self.paused_s = self.beat_s
            self.caught_up_s = now + CATCH_UP_S
        self.beat_s = now
        return self.paused_s if now < self.caught_up_s else now
