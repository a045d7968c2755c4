"""Sends the lease holder's load and unload orders to targets."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from mimosaworks.clock import now_s
from mimosaworks.dispatch import EngineTarget, Step, apply_reported_models
from mimosaworks.errors import MimosaError
from mimosaworks.events import Event, log_event
from mimosaworks.node.reported_models import held_or_coming
from mimosaworks.platform import (
    EngineCalls,
    OrderAnswer,
    TargetOrder,
    TargetReport,
)

MAX_ORDER_RETRIES = 10
CONFLICT_RETRY_PAUSE_S = 0.04
# A target's reports are some hundred milliseconds old.
REPORT_POLL_S = 0.25
MAX_SYNC_REPORTS = 4
# The expected remaining time of an order that a target carries out.
BUSY_ORDER_REMAINING_S = 1.0
# Two seconds for an order whose answer was lost.
MAX_EFFECT_REPORTS = 8
# A load from the weight store may share the bandwidth with this many others.
STORE_LOAD_SLOWDOWN = 5
_RETRYABLE_ANSWERS = frozenset((
    OrderAnswer.CONFLICT,
    OrderAnswer.UNANSWERED,
))
_REPORT_READ_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError, TypeError)


PermitWaiter = Callable[[str], Awaitable[None]]


async def _skip_permit_wait(_target: str) -> None:
    """Permit each call at once: there are no rate limits."""


def _no_call_interval(_target: str) -> float:
    return 0


class FencedError(MimosaError):
    """A target refused an order since it has seen one of a later holder."""


@attrs.define(eq=False)
class OrderRunner:
    """Sends the orders of one election, each with the expected order count.

    The count is the number of orders that the target has accepted. on_order is
    called with the kind of an order, the source of its weights and the answer;
    wait_for_permit waits until a target's rate limit permits a call. Each read
    of a report waits for call_interval_s first, so that requests get permits in
    between.
    """

    calls: EngineCalls
    holder: str
    fence: int
    on_order: Callable[[str, str, str], None]
    wait_for_permit: PermitWaiter = _skip_permit_wait
    call_interval_s: Callable[[str], float] = _no_call_interval

    async def sync_models(self, target: EngineTarget) -> None:
        """Read a target's models from its report; it is synced if it answered.

        Waits for an order that the target still carries out.
        """
        remaining_reports = MAX_SYNC_REPORTS
        while remaining_reports:
            remaining_reports -= 1
            report = await self._read_report(target)
            if report is not None and _is_report_current(target, report):
                apply_reported_models(target, report.residences, report.orders)
                target.is_synced = True
                log_event(
                    Event.TARGET_SYNCED,
                    target=target.entry.name,
                    orders=report.orders,
                    models=sorted(target.models),
                )
                return
            target.steps_end_s = now_s() + BUSY_ORDER_REMAINING_S
            await asyncio.sleep(REPORT_POLL_S)

    async def run_order(self, target: EngineTarget, step: Step) -> bool:
        """Send one order until it is carried out; False when it can't be.

        Raises FencedError when the target has seen an order of a later holder.
        """
        started_s = now_s()
        answer = await self._send_with_retries(target, step)
        is_done = await self._await_completion(target, step, answer)
        log_event(
            Event.STEP_ENDED,
            target=target.entry.name,
            is_load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            answer=answer.value,
            is_done=is_done,
            seconds=now_s() - started_s,
        )
        return is_done

    async def _send_with_retries(
        self, target: EngineTarget, step: Step
    ) -> OrderAnswer:
        remaining_retries = MAX_ORDER_RETRIES
        answer = await self._send_order(target, step)
        while remaining_retries and answer in _RETRYABLE_ANSWERS:
            remaining_retries -= 1
            if answer is OrderAnswer.CONFLICT:
                await asyncio.sleep(CONFLICT_RETRY_PAUSE_S)
            if not await self._may_retry_order(target):
                break
            answer = await self._send_order(target, step)
        if answer is OrderAnswer.FENCED:
            raise FencedError(target.entry.name)
        if answer is OrderAnswer.OTHER_TARGET:
            # Another process has the address; the target's entry will show it.
            target.health.record_unreachable(now_s())
        return answer

    async def _send_order(
        self, target: EngineTarget, step: Step
    ) -> OrderAnswer:
        await self.wait_for_permit(target.entry.name)
        order = TargetOrder(
            is_load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            expected_orders=target.order_count,
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
        source = _weights_source(target, step)
        answer = await self.calls.order(entry.name, entry.address, order)
        kind = 'load' if step.is_load else 'unload'
        self.on_order(kind, source, answer.value)
        return answer

    async def _await_completion(
        self, target: EngineTarget, step: Step, answer: OrderAnswer
    ) -> bool:
        if answer is OrderAnswer.ACCEPTED:
            target.order_count += 1
            await self._await_expected_end(target, step)
            return _ends_in_expected_time(
                step
            ) or await self._await_reported_effect(
                target, step, target.order_count
            )
        if answer is OrderAnswer.HOLDS:
            if step.adapter and not step.is_load:
                target.order_count += 1
            return True
        return (
            answer is OrderAnswer.UNANSWERED
            and await self._await_reported_effect(
                target, step, target.order_count + 1
            )
        )

    async def _await_expected_end(
        self, target: EngineTarget, step: Step
    ) -> None:
        """Wait for an order's predicted time.

        A target that has started again accepts a first order as the one
        before would have; its report shows which one did.
        """
        waits: list[Awaitable[object]] = [asyncio.sleep(step.duration_s)]
        if target.order_count == 1:
            waits.append(self._read_report(target))
        await asyncio.gather(*waits)

    async def _await_reported_effect(
        self, target: EngineTarget, step: Step, expected_orders: int
    ) -> bool:
        """Read reports until they show that an order was carried out.

        expected_orders is the target's order count with that order; a report
        with a lower count shows the state before it. The count and the models
        are taken from the same report, as orders of another holder may count.
        Adapters that are still on their way count as held.
        """
        remaining_reports = MAX_EFFECT_REPORTS
        if step.is_from_store:
            max_load_s = step.duration_s * STORE_LOAD_SLOWDOWN
            remaining_reports += int(max_load_s / REPORT_POLL_S)
        while remaining_reports:
            remaining_reports -= 1
            report = await self._read_report(target)
            if report is None:
                return False
            if not report.is_busy and _shows_order(
                target, report, step, expected_orders
            ):
                apply_reported_models(
                    target, held_or_coming(report), report.orders
                )
                return True
            if _is_report_current(target, report):
                return False
            await asyncio.sleep(REPORT_POLL_S)
        return False

    async def _may_retry_order(self, target: EngineTarget) -> bool:
        """Return whether the target still has the expected order count.

        An order without an answer may have been accepted: then the models
        show whether it was carried out.
        """
        report = await self._read_report(target)
        if report is None or report.born != target.entry.incarnation:
            return False
        return report.orders <= target.order_count

    async def _read_report(self, target: EngineTarget) -> TargetReport | None:
        entry = target.entry
        await asyncio.sleep(self.call_interval_s(entry.name))
        await self.wait_for_permit(entry.name)
        try:
            report = await self.calls.report(entry.name, entry.address)
        except _REPORT_READ_ERRORS:
            # The caller logs it: the order ends without an answer.
            return None
        target.reported_incarnation = report.born
        return report


def _shows_order(
    target: EngineTarget,
    report: TargetReport,
    step: Step,
    expected_orders: int,
) -> bool:
    is_restarted = report.born != target.entry.incarnation
    return (
        not is_restarted
        and report.orders >= expected_orders
        and _shows_step_effect(report, step)
        and _holds_models_of_coming(report)
    )


def _holds_models_of_coming(report: TargetReport) -> bool:
    # The places of others could not be counted.
    return len(held_or_coming(report)) == len(report.residences)


def _is_report_current(target: EngineTarget, report: TargetReport) -> bool:
    # A report is some hundred milliseconds old, orders may be newer.
    if report.is_busy or report.coming:
        return False
    is_restarted = report.born != target.entry.incarnation
    return is_restarted or report.orders >= target.order_count


def _weights_source(target: EngineTarget, step: Step) -> str:
    if step.adapter:
        return 'adapter'
    if not step.is_load:
        return ''
    if step.is_from_store:
        return 'store'
    return 'memory' if step.model in target.in_memory else 'disk'


def _ends_in_expected_time(step: Step) -> bool:
    """Return whether an accepted order is carried out in the expected time.

    A load from the weight store may take longer, and an adapter that is
    still in use is unloaded when its last request ends.
    """
    is_adapter_unload = bool(step.adapter) and not step.is_load
    return not step.is_from_store and not is_adapter_unload


def _shows_step_effect(report: TargetReport, step: Step) -> bool:
    """Return whether a load is complete, or an unload has left no place."""
    residences = report.residences if step.is_load else held_or_coming(report)
    adapters_by_model = {
        residence.model: residence.adapters for residence in residences
    }
    if not step.adapter:
        return (step.model in adapters_by_model) == step.is_load
    return (
        step.adapter in adapters_by_model.get(step.model, ())
    ) == step.is_load
