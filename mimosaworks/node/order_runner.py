"""Carries out the holder's orders at one target."""

import asyncio

import aiohttp
import attrs

from mimosaworks.clock import now_s
from mimosaworks.dispatch import EngineTarget, Step, adopt_models
from mimosaworks.events import Event, log_event
from mimosaworks.platform import (
    EngineCalls,
    OrderAnswer,
    TargetOrder,
    TargetReport,
)

ORDER_TRIES = 6
CONFLICT_PAUSE_S = 0.04
REPORT_PAUSE_S = 0.25  # reports are some hundred milliseconds old
SYNC_TRIES = 4
BUSY_S = 1.0  # expected rest of an order that a target carries out
STORE_LOAD_TRIES = 40  # loads from the weight store take longer together


class FencedError(Exception):
    """A target has seen an order of a later holder."""


@attrs.define(eq=False)
class OrderRunner:
    """Sends orders under one election, each with the expected count."""

    calls: EngineCalls
    holder: str
    fence: int

    async def sync(self, target: EngineTarget) -> bool:
        """Ask a target what it holds; return whether it answered.

        Waits for an order that the target still carries out.
        """
        for _ in range(SYNC_TRIES):
            report = await self._report(target)
            if report is not None and self._is_current(target, report):
                adopt_models(target, report.residences, report.orders)
                target.is_synced = True
                log_event(
                    Event.TARGET_SYNCED,
                    target=target.entry.name,
                    orders=report.orders,
                    models=sorted(target.models),
                )
                return True
            target.steps_end_s = now_s() + BUSY_S
            await asyncio.sleep(REPORT_PAUSE_S)
        return False

    async def run(self, target: EngineTarget, step: Step) -> bool:
        """Send one order until it is carried out; False when it can't be.

        Raises FencedError when another holder has been elected.
        """
        begun_s = now_s()
        answer = OrderAnswer.UNANSWERED
        for _ in range(ORDER_TRIES):
            answer = await self._send(target, step)
            if answer in {OrderAnswer.ACCEPTED, OrderAnswer.HOLDS}:
                break
            if answer is OrderAnswer.FENCED:
                raise FencedError(target.entry.name)
            if answer is OrderAnswer.CONFLICT:
                await asyncio.sleep(CONFLICT_PAUSE_S)
            if not await self._may_repeat(target):
                break
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

    async def _send(self, target: EngineTarget, step: Step) -> OrderAnswer:
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
        return await self.calls.order(entry.name, entry.address, order)

    async def _finish(
        self, target: EngineTarget, step: Step, answer: OrderAnswer
    ) -> bool:
        if answer is OrderAnswer.ACCEPTED:
            target.orders += 1
            await asyncio.sleep(step.duration_s)
            if step.is_from_store:
                return await self._await_model(target, step)
            return True
        if answer is OrderAnswer.HOLDS:
            if step.adapter and not step.is_load:
                target.orders += 1
            return True
        return False

    async def _await_model(self, target: EngineTarget, step: Step) -> bool:
        for _ in range(STORE_LOAD_TRIES):
            report = await self._report(target)
            if report is not None:
                held = {one.model for one in report.residences}
                if step.model in held:
                    return True
                if not report.is_busy and report.orders >= target.orders:
                    return False
            await asyncio.sleep(REPORT_PAUSE_S)
        return False

    async def _may_repeat(self, target: EngineTarget) -> bool:
        """Tell whether the target still has the expected count of orders.

        An order that got no answer may have been accepted: then the count
        is higher, or will be when the order arrives late.
        """
        report = await self._report(target)
        if report is None or report.born != target.entry.born:
            return False
        return report.orders <= target.orders

    def _is_current(
        self, target: EngineTarget, report: TargetReport
    ) -> bool:
        # A report is some hundred milliseconds old, orders may be younger.
        return not report.is_busy and (
            report.orders >= target.orders
            or report.born != target.entry.born
        )

    async def _report(self, target: EngineTarget) -> TargetReport | None:
        entry = target.entry
        try:
            return await self.calls.report(entry.name, entry.address)
        except (aiohttp.ClientError, TimeoutError, ValueError, TypeError):
            # Logged by the caller: the order ends without an answer.
            return None
