"""Finds requests that crash targets and shares them with other routers."""

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
from mimosaworks.routing.generation_tracker import GenerationTracker
from mimosaworks.routing.suspects import SuspectTable
from mimosaworks.wire import Ack, PeerClient, SuspectNotice

NOTICE_TIMEOUT_S = 1.0
SURVIVAL_CHECK_PERIOD_S = 1.0
SURVIVAL_CHECKS = 60


@attrs.define
class CrashMonitor:
    """A router's monitor of target crashes.

    Records the requests that were in flight at a crash as suspects, and
    notifies the other routers. other_routers returns their peer addresses.
    """

    generations: GenerationTracker
    suspects: SuspectTable
    peers: PeerClient
    other_routers: Callable[[], Iterable[str]]
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def learn_generation(self, target: Target) -> None:
        """Fetch the generation of a target that a request is sent to."""
        self._spawn(self._fetch_generation(target))

    async def record_failure(self, target: Target, fingerprint: str) -> None:
        """Record the request as a suspect if the target has crashed."""
        crash_id = await self.generations.detect_crash(target)
        if crash_id is None:
            return
        count = self.suspects.record_crash(fingerprint, crash_id, now_s())
        log_event(
            Event.CRASH_SUSPECTED,
            mark=fingerprint,
            target=target.name,
            crash_id=crash_id,
            crashes=count,
        )
        await self._notify_routers(SuspectNotice(fingerprint, crash_id))
        self._spawn(self._retract_if_survived(target, fingerprint, crash_id))

    def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that was answered without a crash."""
        if self.suspects.is_suspect(fingerprint):
            self.suspects.clear_suspect(fingerprint)
            self._spawn(
                self._notify_routers(
                    SuspectNotice(fingerprint, is_cleared=True)
                )
            )

    async def handle_suspect_notice(self, notice: SuspectNotice) -> Ack:
        """Apply a crash, retraction or clearance from another router."""
        if notice.is_cleared and notice.crash_id:
            self.suspects.retract_crash(notice.mark, notice.crash_id)
        elif notice.is_cleared:
            self.suspects.clear_suspect(notice.mark)
        else:
            self.suspects.record_crash(notice.mark, notice.crash_id, now_s())
        return Ack(accepted=True)

    async def _retract_if_survived(
        self, target: Target, fingerprint: str, crash_id: str
    ) -> None:
        # A broken connection looks like a crash until the engine answers
        # again with the same generation.
        has_survived = None
        remaining_checks = SURVIVAL_CHECKS
        while has_survived is None and remaining_checks:
            remaining_checks -= 1
            await asyncio.sleep(SURVIVAL_CHECK_PERIOD_S)
            has_survived = await self.generations.has_survived(target, crash_id)
        if has_survived:
            self.suspects.retract_crash(fingerprint, crash_id)
            await self._notify_routers(
                SuspectNotice(fingerprint, crash_id, is_cleared=True)
            )

    async def _fetch_generation(self, target: Target) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self.generations.fetch_if_unknown(target)

    async def _notify_routers(self, notice: SuspectNotice) -> None:
        calls = (
            self.peers.call(address, notice, Ack, NOTICE_TIMEOUT_S)
            for address in self.other_routers()
        )
        await asyncio.gather(*map(_ignore_peer_error, calls))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _ignore_peer_error(call: Coroutine[Any, Any, Ack]) -> None:
    with contextlib.suppress(PeerError):
        await call
