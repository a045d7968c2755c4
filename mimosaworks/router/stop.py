"""A router's planned stop, kept by the clock."""

import asyncio
import contextlib

import attrs

from mimosaworks.errors import PlatformError
from mimosaworks.events import Event, log_event
from mimosaworks.members import MemberService, MemberState
from mimosaworks.relay import ClaimedRuns
from mimosaworks.router.drain import Drain

# The last parts of drain_s, in which requests are cut and tasks end.
CUT_SHARE = 0.9
ABORT_SHARE = 0.95
LAST_CALLS_S = 0.2


@attrs.frozen
class Stop:
    """What a router ends in max_age_s plus drain_s seconds.

    max_age_s is how long callers may keep the list of entries.
    """

    program: str
    members: MemberService
    requests: Drain
    claimed: ClaimedRuns
    max_age_s: float
    drain_s: float

    async def run(self) -> None:
        """Return once no request runs, at the latest when all are cut."""
        log_event(Event.PROCESS_DRAINING, program=self.program)
        served_until_s = asyncio.get_running_loop().time() + self.max_age_s
        self.requests.is_draining = True
        with contextlib.suppress(PlatformError):
            await self.members.set_state(MemberState.DRAINING)
        await asyncio.sleep(self.max_age_s)
        self.requests.is_closed = True
        cut_s = served_until_s + self.drain_s * CUT_SHARE
        await self._wait_idle(cut_s)
        # Callers whose connection was kept may just send their next request.
        await asyncio.sleep(LAST_CALLS_S)
        await self._wait_idle(cut_s)
        self._cut()
        await self._wait_idle(served_until_s + self.drain_s * ABORT_SHARE)
        self.requests.abort()

    async def _wait_idle(self, until_s: float) -> None:
        await self.requests.wait_idle(until_s)
        await self.claimed.wait_idle(until_s)

    def _cut(self) -> None:
        running = max(self.requests.running, self.claimed.running)
        if running:
            log_event(
                Event.PROCESS_CUTTING, program=self.program, running=running
            )
        self.requests.frontend.cutoff.cut()
