"""Asks the table and other members as the schedule says."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

import attrs

from mimosaworks.errors import PeerError, PeerRefusedError, PlatformError
from mimosaworks.events import Event, log_event
from mimosaworks.members.core import MemberCore
from mimosaworks.members.registry import Registry
from mimosaworks.members.schedule import Plan, Schedule
from mimosaworks.wire import FreshAnswer, PeerClient

TICK_S = 0.25
ASK_TIMEOUT_S = 0.5


@attrs.define
class Poller:
    """Owns the questions in flight, at most one to each peer."""

    core: MemberCore
    registry: Registry
    peers: PeerClient
    _schedule: Schedule = attrs.field(factory=Schedule)
    _in_flight: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _was_fresh: bool = False

    async def run(self) -> None:
        """Ask until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._cancel)
            while True:
                self._tick()
                await asyncio.sleep(TICK_S)

    async def read_table(self) -> None:
        """Read the table once and put in force what it says."""
        freshness = self.core.freshness
        try:
            state = await self.registry.poll(
                self.core.catalogue, freshness.view
            )
        except PlatformError:
            freshness.on_table_failed()
            return
        self.core.take(state.catalogue, state.view, state.entries)
        freshness.on_table_read(state.asked_s)

    async def ask(self, address: str) -> None:
        """Ask one member and put in force what it answers."""
        freshness = self.core.freshness
        asked_s = self.core.now()
        try:
            answer = await self.peers.call(
                address, freshness.ask(), FreshAnswer, ASK_TIMEOUT_S
            )
        except PeerRefusedError:
            freshness.on_refused(asked_s, self.core.now(), address)
        except PeerError:
            # A time-out says nothing about the peer.
            return
        else:
            self.core.on_answer(asked_s, address, answer)

    def _cancel(self) -> None:
        for task in tuple(self._in_flight.values()):
            task.cancel()

    def _tick(self) -> None:
        now_s = self.core.now()
        freshness = self.core.freshness
        plan = self._schedule.due(now_s, freshness)
        if plan.is_table_due:
            self._start('table', self.read_table())
        for address in self._addresses(plan):
            self._start(address, self.ask(address))
        if plan.is_round_due:
            freshness.check_full_view(now_s)
        self._log_freshness(now_s)

    def _addresses(self, plan: Plan) -> set[str]:
        if not plan.is_round_due:
            return set(plan.peers)
        own = self.core.freshness.own.address
        members = self.core.freshness.view.members
        return {peer.address for peer in members} - {own}

    def _start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        if name in self._in_flight:
            work.close()
            return
        task = asyncio.create_task(work)
        self._in_flight[name] = task
        task.add_done_callback(lambda _: self._in_flight.pop(name))

    def _log_freshness(self, now_s: float) -> None:
        is_fresh = self.core.freshness.is_fresh(now_s)
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            log_event(
                Event.FRESHNESS_REGAINED if is_fresh else Event.FRESHNESS_LOST,
                version=self.core.catalogue.version,
            )
