"""Finds requests that crash targets, together with the other routers."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import aiohttp
import attrs

from mimosaworks.clock import now_s
from mimosaworks.entities import Target
from mimosaworks.errors import PeerError
from mimosaworks.events import Event, log_event
from mimosaworks.routing.generations import Generations
from mimosaworks.routing.suspects import SuspectTable
from mimosaworks.wire import Ack, PeerClient, SuspectNotice

NOTICE_TIMEOUT_S = 1.0
RETRACT_PERIOD_S = 1.0
RETRACT_TRIES = 60


@attrs.define
class CrashWatch:
    """Connects requests in flight with crashes, and tells the routers.

    other_routers gives their peer addresses.
    """

    generations: Generations
    suspects: SuspectTable
    peers: PeerClient
    other_routers: Callable[[], Iterable[str]]
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def watch(self, target: Target) -> None:
        """Learn the generation of a target that a request goes to."""
        self._start(self._learn(target))

    async def note_failure(self, target: Target, mark: str) -> None:
        """Make the request a suspect if the target has crashed."""
        crash_id = await self.generations.find_crash(target)
        if crash_id is None:
            return
        count = self.suspects.note_crash(mark, crash_id, now_s())
        log_event(
            Event.CRASH_SUSPECTED,
            mark=mark,
            target=target.name,
            crash_id=crash_id,
            crashes=count,
        )
        await self._tell(SuspectNotice(mark, crash_id))
        self._start(self._retract_if_alive(target, mark, crash_id))

    def note_success(self, mark: str) -> None:
        """Clear a suspect that ran to its end."""
        if self.suspects.is_suspect(mark):
            self.suspects.clear(mark)
            self._start(self._tell(SuspectNotice(mark, is_cleared=True)))

    async def on_notice(self, notice: SuspectNotice) -> Ack:
        """Take over what another router has found."""
        if notice.is_cleared and notice.crash_id:
            self.suspects.retract(notice.mark, notice.crash_id)
        elif notice.is_cleared:
            self.suspects.clear(notice.mark)
        else:
            self.suspects.note_crash(notice.mark, notice.crash_id, now_s())
        return Ack(accepted=True)

    async def _retract_if_alive(
        self, target: Target, mark: str, crash_id: str
    ) -> None:
        # A cut link looks like a crash until the engine answers again.
        has_survived = None
        tries = RETRACT_TRIES
        while has_survived is None and tries:
            tries -= 1
            await asyncio.sleep(RETRACT_PERIOD_S)
            has_survived = await self.generations.has_survived(target, crash_id)
        if has_survived:
            self.suspects.retract(mark, crash_id)
            await self._tell(SuspectNotice(mark, crash_id, is_cleared=True))

    async def _learn(self, target: Target) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self.generations.learn(target)

    async def _tell(self, notice: SuspectNotice) -> None:
        calls = (
            self.peers.call(address, notice, Ack, NOTICE_TIMEOUT_S)
            for address in self.other_routers()
        )
        await asyncio.gather(*map(_ignore_silence, calls))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _ignore_silence(call: Coroutine[Any, Any, Ack]) -> None:
    with contextlib.suppress(PeerError):
        await call
