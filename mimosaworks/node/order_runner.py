"""Carries out the holder's orders at one target."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from mimosaworks.clock import now_s
from mimosaworks.dispatch import EngineTarget, Step, adopt_models
from mimosaworks.errors import MimosaError
from mimosaworks.events import Event, log_event
from mimosaworks.platform import (
    EngineCalls,
    OrderAnswer,
    TargetOrder,
    TargetReport,
)

ORDER_TRIES = 10
CONFLICT_PAUSE_S = 0.04
REPORT_PAUSE_S = 0.25  # reports are some hundred milliseconds old
SYNC_TRIES = 4
BUSY_S = 1.0  # expected rest of an order that a target carries out
EFFECT_TRIES = 8  # two seconds for an order whose answer was lost
# A load from the weight store may share it with this many others.
STORE_LOAD_PATIENCE = 5
_WORTH_REPEATING = frozenset((
    OrderAnswer.CONFLICT,
    OrderAnswer.UNANSWERED,
))
_NO_REPORT = (aiohttp.ClientError, TimeoutError, ValueError, TypeError)


Pace = Callable[[str], Awaitable[None]]


async def _go_at_once(_target: str) -> None:
    """Know no limits."""


def _no_interval(_target: str) -> float:
    return 0


class FencedError(MimosaError):
    """A target has seen an order of a later holder."""


@attrs.define(eq=False)
class OrderRunner:
    """Sends orders under one election, each with the expected count.

    on_order is called with the kind, where weights come from, and the answer;
    pace waits until a target's limit has a place for a call. Before a report
    interval_s is left, so that requests get places between.
    """

    calls: EngineCalls
    holder: str
    fence: int
    on_order: Callable[[str, str, str], None]
    pace: Pace = _go_at_once
    interval_s: Callable[[str], float] = _no_interval

    async def sync(self, target: EngineTarget) -> None:
        """Ask a target what it holds; it is synced if it answered.

        Waits for an order that the target still carries out.
        """
        tries = SYNC_TRIES
        while tries:
            tries -= 1
            report = await self._report(target)
            if report is not None and _is_current(target, report):
                adopt_models(target, report.residences, report.orders)
                target.is_synced = True
                log_event(
                    Event.TARGET_SYNCED,
                    target=target.entry.name,
                    orders=report.orders,
                    models=sorted(target.models),
                )
                return
            target.steps_end_s = now_s() + BUSY_S
            await asyncio.sleep(REPORT_PAUSE_S)

    async def run(self, target: EngineTarget, step: Step) -> bool:
        """Send one order until it is carried out; False when it can't be.

        Raises FencedError when another holder has been elected.
        """
        begun_s = now_s()
        answer = await self._repeat(target, step)
        is_done = await self._finish(target, step, answer)
        log_event(
            Event.STEP_ENDED,
            target=target.entry.name,
            is_load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            answer=answer.value,
            is_done=is_done,
            seconds=now_s() - begun_s,
        )
        return is_done

    async def _repeat(self, target: EngineTarget, step: Step) -> OrderAnswer:
        tries = ORDER_TRIES
        answer = await self._send(target, step)
        while tries and answer in _WORTH_REPEATING:
            tries -= 1
            if answer is OrderAnswer.CONFLICT:
                await asyncio.sleep(CONFLICT_PAUSE_S)
            if not await self._may_repeat(target):
                break
            answer = await self._send(target, step)
        if answer is OrderAnswer.FENCED:
            raise FencedError(target.entry.name)
        if answer is OrderAnswer.OTHER_TARGET:
            # Another process has its address; its entry will tell so.
            target.health.note_unreachable(now_s())
        return answer

    async def _send(self, target: EngineTarget, step: Step) -> OrderAnswer:
        await self.pace(target.entry.name)
        order = TargetOrder(
            is_load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            expected_orders=target.orders,
            holder=self.holder,
            fence=self.fence,
        )
        log_event(
            Event.STEP_SENT,
            target=target.entry.name,
            is_load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            expected=order.expected_orders,
            fence=order.fence,
            from_store=step.is_from_store,
        )
        entry = target.entry
        source = _source(target, step)
        answer = await self.calls.order(entry.name, entry.address, order)
        kind = 'load' if step.is_load else 'unload'
        self.on_order(kind, source, answer.value)
        return answer

    async def _finish(
        self, target: EngineTarget, step: Step, answer: OrderAnswer
    ) -> bool:
        if answer is OrderAnswer.ACCEPTED:
            target.orders += 1
            await asyncio.sleep(step.duration_s)
            return _is_sure(step) or await self._await_effect(
                target, step, target.orders
            )
        if answer is OrderAnswer.HOLDS:
            if step.adapter and not step.is_load:
                target.orders += 1
            return True
        return answer is OrderAnswer.UNANSWERED and await self._await_effect(
            target, step, target.orders + 1
        )

    async def _await_effect(
        self, target: EngineTarget, step: Step, orders: int
    ) -> bool:
        """Read reports until they show that an order was carried out.

        orders is the target's count with it; what a report with a lower one
        shows was so before.
        """
        tries = EFFECT_TRIES
        if step.is_from_store:
            longest_s = step.duration_s * STORE_LOAD_PATIENCE
            tries += int(longest_s / REPORT_PAUSE_S)
        while tries:
            tries -= 1
            report = await self._report(target)
            if report is None:
                return False
            if report.orders >= orders and _shows(report, step):
                target.orders = max(target.orders, report.orders)
                return True
            if _is_current(target, report):
                return False
            await asyncio.sleep(REPORT_PAUSE_S)
        return False

    async def _may_repeat(self, target: EngineTarget) -> bool:
        """Tell whether the target still has the expected count of orders.

        A send that got no answer may have been accepted: then the models
        show whether the order was carried out.
        """
        report = await self._report(target)
        if report is None or report.born != target.entry.born:
            return False
        return report.orders <= target.orders

    async def _report(self, target: EngineTarget) -> TargetReport | None:
        entry = target.entry
        await asyncio.sleep(self.interval_s(entry.name))
        await self.pace(entry.name)
        try:
            return await self.calls.report(entry.name, entry.address)
        except _NO_REPORT:
            # Logged by the caller: the order ends without an answer.
            return None


def _is_current(target: EngineTarget, report: TargetReport) -> bool:
    # A report is some hundred milliseconds old, orders may be younger.
    if report.is_busy or report.coming:
        return False
    is_reborn = report.born != target.entry.born
    return is_reborn or report.orders >= target.orders


def _source(target: EngineTarget, step: Step) -> str:
    if step.adapter:
        return 'adapter'
    if not step.is_load:
        return ''
    if step.is_from_store:
        return 'store'
    return 'memory' if step.model in target.in_memory else 'disk'


def _is_sure(step: Step) -> bool:
    """Tell whether an accepted order is carried out in the expected time.

    A load from the weight store may take longer, and an adapter that is
    still in use leaves when its last request ends.
    """
    is_adapter_unload = bool(step.adapter) and not step.is_load
    return not step.is_from_store and not is_adapter_unload


def _shows(report: TargetReport, step: Step) -> bool:
    held = {one.model: one.adapters for one in report.residences}
    if not step.adapter:
        return (step.model in held) == step.is_load
    return (step.adapter in held.get(step.model, ())) == step.is_load
