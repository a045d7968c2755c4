"""Orders at a target that answers late, not at all, or in its own time."""

from collections import deque

import attrs
import pytest

from mimosaworks.clock import now_s
from mimosaworks.deployment import ResidentModel
from mimosaworks.dispatch import EnginePool, EngineTarget, Step
from mimosaworks.node.order_runner import FencedError, OrderRunner
from mimosaworks.platform import OrderAnswer, TargetOrder, TargetReport
from tests.dispatch_world import make_entry, make_pool


@attrs.define
class ScriptedTarget:
    """Gives these answers and reports in turn, the last one for ever."""

    answers: deque[OrderAnswer]
    reports: deque[TargetReport]
    sent: list[TargetOrder] = attrs.field(factory=list)

    async def order(
        self, target: str, address: str, order: TargetOrder
    ) -> OrderAnswer:
        """Note an order and answer it."""
        self.sent.append(order)
        return _next(self.answers)

    async def report(self, target: str, address: str) -> TargetReport:
        """Return the next report."""
        return _next(self.reports)


def _next(script: deque) -> object:  # type: ignore[type-arg]
    return script.popleft() if len(script) > 1 else script[0]


def report(orders: int, *adapters: str, busy: bool = False) -> TargetReport:
    return TargetReport(orders, busy, 0, (ResidentModel('m0', adapters),))


def make(
    answers: list[OrderAnswer], reports: list[TargetReport]
) -> tuple[OrderRunner, ScriptedTarget, EngineTarget, EnginePool]:
    script = ScriptedTarget(deque(answers), deque(reports))
    noted: list[tuple[str, str, str]] = []
    runner = OrderRunner(
        script,  # type: ignore[arg-type]
        'node-1',
        7,
        lambda *order: noted.append(order),  # type: ignore[arg-type]
    )
    pool = make_pool(make_entry('t1', 'm0'))
    return runner, script, pool.targets['t1'], pool


LOAD = Step(is_load=True, model='m0', adapter='a1')
UNLOAD = Step(is_load=False, model='m0', adapter='a1')
STORE_LOAD = Step(is_load=True, model='m0', is_from_store=True)


async def test_an_adapter_in_use_is_waited_for_until_it_has_left() -> None:
    # The next adapter would else exceed the target's places.
    runner, _, target, _ = make(
        [OrderAnswer.ACCEPTED],
        [report(1, 'a1', busy=True), report(1, 'a1', busy=True), report(1)],
    )
    assert await runner.run_order(target, UNLOAD)
    assert target.order_count == 1


async def test_an_adapter_that_stays_is_not_taken_for_gone() -> None:
    runner, _, target, _ = make([OrderAnswer.ACCEPTED], [report(1, 'a1')])
    assert not await runner.run_order(target, UNLOAD)


async def test_an_order_without_answer_is_sent_again_under_its_count() -> None:
    runner, script, target, _ = make(
        [OrderAnswer.UNANSWERED, OrderAnswer.ACCEPTED], [report(0)]
    )
    assert await runner.run_order(target, LOAD)
    assert [order.expected_orders for order in script.sent] == [0, 0]
    assert target.order_count == 1


async def test_an_order_whose_answer_was_lost_counts_when_it_shows() -> None:
    runner, script, target, _ = make(
        [OrderAnswer.UNANSWERED], [report(1, 'a1')]
    )
    assert await runner.run_order(target, LOAD)
    assert len(script.sent) == 1
    assert target.order_count == 1


async def test_a_later_holder_ends_the_orders() -> None:
    runner, _, target, _ = make([OrderAnswer.FENCED], [report(0)])
    with pytest.raises(FencedError):
        await runner.run_order(target, LOAD)


async def test_a_report_older_than_the_last_order_is_not_adopted() -> None:
    runner, _, target, _ = make(
        [OrderAnswer.ACCEPTED], [report(3), report(5, 'a9')]
    )
    target.order_count = 5
    target.is_synced = False
    await runner.sync_models(target)
    assert target.is_synced
    assert set(target.models['m0'].adapters) == {'a9'}


# Guards against a target that is loaded beyond its places: a report from before
# an adapter came was taken for its end.
async def test_a_report_older_than_an_unload_does_not_show_its_end() -> None:
    runner, _, target, _ = make(
        [OrderAnswer.ACCEPTED], [report(4), report(6, 'a1')]
    )
    target.order_count = 5
    assert not await runner.run_order(target, UNLOAD)


# Guards against the same after an order whose answer was lost.
async def test_an_unload_without_answer_is_not_shown_by_its_own_count() -> None:
    runner, _, target, _ = make(
        [OrderAnswer.UNANSWERED], [report(6, 'a1'), report(5), report(5, 'a1')]
    )
    target.order_count = 5
    assert not await runner.run_order(target, UNLOAD)


# Guards against a target that is loaded beyond its places: adapters on their
# way, which take places, were not counted by a holder that asked it.
async def test_adapters_on_their_way_are_waited_for() -> None:
    coming = attrs.evolve(report(5, 'a1'), coming=('m0/a2@1',))
    runner, _, target, _ = make(
        [OrderAnswer.ACCEPTED], [coming, report(5, 'a1', 'a2')]
    )
    target.is_synced = False
    await runner.sync_models(target)
    assert target.is_synced
    assert set(target.models['m0'].adapters) == {'a1', 'a2'}


# Guards against queued orders that are dropped, so that callers wait or are
# refused, since a done order counted as failed while an adapter was coming.
@pytest.mark.parametrize('step', [UNLOAD, STORE_LOAD])
@pytest.mark.parametrize(
    'answer', [OrderAnswer.ACCEPTED, OrderAnswer.UNANSWERED]
)
async def test_a_done_order_is_done_while_an_adapter_comes(
    answer: OrderAnswer, step: Step
) -> None:
    shown = attrs.evolve(report(1), coming=('m0/a2@1',))
    runner, _, target, _ = make([answer], [shown])
    assert await runner.run_order(target, step)
    assert target.order_count == 1
    # It takes a place already.
    assert set(target.models['m0'].adapters) == {'a2'}


# Guards against a target that is loaded beyond its places: an adapter on its
# way was taken for one that has left, or its place was not counted.
@pytest.mark.parametrize('coming', ['m0/a1@1', 'm1/a2@1'])
async def test_an_unload_is_not_done_while_places_are_not_known(
    coming: str,
) -> None:
    shown = attrs.evolve(report(6), coming=(coming,))
    runner, _, target, _ = make([OrderAnswer.ACCEPTED], [shown, report(6)])
    target.order_count = 5
    assert await runner.run_order(target, UNLOAD)
    assert set(target.models) == {'m0'}
    assert not target.models['m0'].adapters


# Guards against an adapter that stays loaded beyond the target's places: its
# queued unload was dropped as it was still on its way.
async def test_the_queued_unload_of_a_coming_adapter_stays() -> None:
    shown = attrs.evolve(report(1), coming=('m0/a2@1',))
    runner, _, target, _ = make([OrderAnswer.ACCEPTED], [shown])
    queued = attrs.evolve(UNLOAD, adapter='a2')
    target.steps.append(queued)
    assert await runner.run_order(target, UNLOAD)
    assert list(target.steps) == [queued]


async def test_a_rejected_order_is_not_done() -> None:
    runner, script, target, _ = make([OrderAnswer.REJECTED], [report(0)])
    assert not await runner.run_order(target, LOAD)
    assert len(script.sent) == 1


async def test_a_target_whose_address_another_has_is_left_out() -> None:
    # A target that ended still has its entry: without a pause each request
    # for its models would send another order there.
    runner, script, target, _ = make([OrderAnswer.OTHER_TARGET], [report(0)])
    assert not await runner.run_order(target, LOAD)
    assert len(script.sent) == 1
    assert target.health.is_down(now_s())
