"""Polls the targets' reports for the shard's holder."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.placement.evidence import held_state, is_ended
from mimosaworks.placement.report_reader import ReportReader
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.placement.shard_state import ENGINE

IDLE_INTERVAL_S = 0.25
BUSY_INTERVAL_S = 0.03


@attrs.define
class TargetPoller:
    """Asks each target, more often while an order to it is unresolved.

    on_report is called after each report on an unresolved order.
    """

    reader: ReportReader
    placer: ShardPlacer
    on_report: Callable[[], None]
    asked_s: dict[str, float] = attrs.field(factory=dict)
    open_polls: set[asyncio.Task[None]] = attrs.field(factory=set)
    polled: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._cancel_polls)
            while True:
                self._start_due()
                await asyncio.sleep(BUSY_INTERVAL_S)

    def _cancel_polls(self) -> None:
        for task in self.open_polls:
            task.cancel()

    def _start_due(self) -> None:
        if not self.placer.is_holder:
            return
        for target, url in self._urls().items():
            if target not in self.polled and self._is_due(target):
                self._start(target, url)

    def _urls(self) -> dict[str, str]:
        state = self.placer.state
        urls = {
            intent.target: intent.url
            for intent in state.ledger.intents().values()
        }
        urls.update({
            target.name: target.url
            for target in state.catalogue.target.values()
            if target.kind == ENGINE
        })
        return urls

    def _is_due(self, target: str) -> bool:
        age_s = now_s() - self.asked_s.get(target, 0)
        return age_s >= IDLE_INTERVAL_S or self._is_busy(target)

    def _is_busy(self, target: str) -> bool:
        ledger = self.placer.state.ledger
        if target not in ledger.views:
            return False
        for intent in ledger.on_target(target):
            held = held_state(ledger, intent)
            if is_ended(ledger, intent) or held is None:
                return True
            if held.state != 'ready':
                return True
        return False

    def _start(self, target: str, url: str) -> None:
        self.polled.add(target)
        task = asyncio.create_task(self._poll(target, url))
        self.open_polls.add(task)
        task.add_done_callback(self.open_polls.discard)

    async def _poll(self, target: str, url: str) -> None:
        asked_s = now_s()
        self.asked_s[target] = asked_s
        report = await self.reader.read(url)
        self.polled.discard(target)
        if report is not None and self.placer.is_holder:
            is_awaited = self._is_busy(target)
            self.placer.on_report(target, report, asked_s)
            if is_awaited:
                self.on_report()
