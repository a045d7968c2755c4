"""Polls the targets' reports for the shard's holder."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.placement.intent_status import (
    find_loaded_state,
    is_terminating,
)
from mimosaworks.placement.report_reader import ReportReader
from mimosaworks.placement.shard_placer import ShardPlacer
from mimosaworks.placement.shard_state import ENGINE_KIND

IDLE_POLL_INTERVAL_S = 0.25
BUSY_POLL_INTERVAL_S = 0.03


@attrs.define
class TargetPoller:
    """Polls each target, more often while an order to it is unresolved.

    on_order_report is called after each report on an unresolved order.
    """

    report_reader: ReportReader
    placer: ShardPlacer
    on_order_report: Callable[[], None]
    last_poll_s: dict[str, float] = attrs.field(factory=dict)
    poll_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    targets_in_poll: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._cancel_polls)
            while True:
                self._start_due_polls()
                await asyncio.sleep(BUSY_POLL_INTERVAL_S)

    def _cancel_polls(self) -> None:
        for task in self.poll_tasks:
            task.cancel()

    def _start_due_polls(self) -> None:
        if not self.placer.is_holder:
            return
        for target, url in self._target_urls().items():
            if target not in self.targets_in_poll and self._is_poll_due(target):
                self._start_poll(target, url)

    def _target_urls(self) -> dict[str, str]:
        state = self.placer.state
        urls = {
            intent.target: intent.url
            for intent in state.ledger.intents().values()
        }
        urls.update({
            target.name: target.url
            for target in state.catalogue.target.values()
            if target.kind == ENGINE_KIND
        })
        return urls

    def _is_poll_due(self, target: str) -> bool:
        age_s = now_s() - self.last_poll_s.get(target, 0)
        return age_s >= IDLE_POLL_INTERVAL_S or self._has_unresolved_order(
            target
        )

    def _has_unresolved_order(self, target: str) -> bool:
        ledger = self.placer.state.ledger
        if target not in ledger.latest_reports:
            return False
        for intent in ledger.intents_on_target(target):
            loaded_state = find_loaded_state(ledger, intent)
            if is_terminating(ledger, intent) or loaded_state is None:
                return True
            if loaded_state.state != 'ready':
                return True
        return False

    def _start_poll(self, target: str, url: str) -> None:
        self.targets_in_poll.add(target)
        task = asyncio.create_task(self._poll_target(target, url))
        self.poll_tasks.add(task)
        task.add_done_callback(self.poll_tasks.discard)

    async def _poll_target(self, target: str, url: str) -> None:
        requested_s = now_s()
        self.last_poll_s[target] = requested_s
        report = await self.report_reader.read_report(url)
        self.targets_in_poll.discard(target)
        if report is not None and self.placer.is_holder:
            is_awaited = self._has_unresolved_order(target)
            self.placer.record_report(target, report, requested_s)
            if is_awaited:
                self.on_order_report()
