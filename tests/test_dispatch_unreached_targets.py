"""What the holder concludes from targets that a node can't reach."""

from typing import Any

import pytest

from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    Dispatcher,
    EnginePool,
    PlainPool,
    Refusal,
    ResendBudgetConfig,
    ResendBudgets,
)
from mimosaworks.dispatch.target_health import INITIAL_DOWN_S, TargetHealth
from tests.dispatch_world import make_assignment_req, make_entry, make_pool


# Guards against a target that all nodes leave out since one can't reach it.
def test_what_one_node_fails_to_reach_is_a_fault_of_the_pair() -> None:
    health = TargetHealth()
    health.record_unreached('cut', 10, reaches_others=True)
    assert health.is_down(10.1, 'cut')
    assert not health.is_down(10.1, 'sound')
    assert not health.is_down(10.1)
    assert not health.is_down(10.1 + INITIAL_DOWN_S, 'cut')
    health.record_unreached('cut', 11, reaches_others=True)
    assert health.is_down(11 + INITIAL_DOWN_S, 'cut')
    health.record_outcome(CallOutcome.ANSWERED, 11.1, 'cut')
    assert not health.is_down(11.2, 'cut')


# Guards against nodes without any path whose failures count for all nodes, and
# against a crashed target that all nodes go on trying.
@pytest.mark.parametrize('reaches_others', [False, True])
def test_two_nodes_that_reach_others_say_that_a_target_is_down(
    reaches_others: bool,
) -> None:
    health = TargetHealth()
    health.record_unreached('n1', 10, reaches_others=reaches_others)
    health.record_unreached('n1', 10.1, reaches_others=reaches_others)
    assert not health.is_down(10.2)
    health.record_unreached('n2', 10.3, reaches_others=reaches_others)
    assert health.is_down(10.4) is reaches_others
    late = TargetHealth()
    late.record_unreached('n1', 10, reaches_others=True)
    late.record_unreached('n2', 20, reaches_others=True)
    assert not late.is_down(20.1)


def make_dispatcher(pool: EnginePool | PlainPool) -> Dispatcher:
    service = 'engines' if isinstance(pool, EnginePool) else 'ledger'
    terms = ResendBudgetConfig(ratio=0.2, slack=50, window_s=10)
    return Dispatcher(ResendBudgets(terms), pools={service: pool})


def fail_at(
    dispatcher: Dispatcher, node: str, now: float, **fields: Any
) -> str:
    """Let a node fail to reach the target that it is assigned."""
    req = make_assignment_req('m0', node=node, **fields)
    decided = dispatcher.submit(req, now)
    assert isinstance(decided, Assignment)
    dispatcher.record_outcome(req.call_id, CallOutcome.UNREACHABLE, 0, now)
    return decided.target


# Guards against sound nodes that are refused, "no target in service", while
# others are cut off.
def test_cut_off_nodes_leave_the_targets_to_the_others() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm0'))
    dispatcher = make_dispatcher(pool)
    for node in ('cut-1', 'cut-2', 'cut-3'):
        reached = {fail_at(dispatcher, node, 5), fail_at(dispatcher, node, 5)}
        assert reached == {'t1', 't2'}
        refused = dispatcher.submit(make_assignment_req('m0', node=node), 5.1)
        assert isinstance(refused, Refusal)
        # Through another node its requests reach all targets.
        relayed = make_assignment_req('m0', node=node, is_relayed=True)
        assert isinstance(dispatcher.submit(relayed, 5.1), Assignment)
    sound = make_assignment_req('m0', node='sound')
    assert isinstance(dispatcher.submit(sound, 5.1), Assignment)


def test_a_crashed_target_is_left_out_after_two_nodes_failed() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    dispatcher = make_dispatcher(pool)
    for node in ('n1', 'n2'):
        answered = make_assignment_req('m0', node=node)
        assert isinstance(dispatcher.submit(answered, 4.9), Assignment)
        dispatcher.record_outcome(
            answered.call_id, CallOutcome.ANSWERED, 0.1, 5
        )
    fail_at(dispatcher, 'n1', 5.1)
    fail_at(dispatcher, 'n2', 5.2)
    third = make_assignment_req('m0', node='n3')
    assert isinstance(dispatcher.submit(third, 5.3), Refusal)


def test_a_plain_request_avoids_what_its_node_does_not_reach() -> None:
    pool = PlainPool()
    pool.apply_entries((make_entry('t1'), make_entry('t2')), 0)
    for name in ('t1', 't2'):
        pool.targets[name].health.record_unreached(
            'cut', 5, reaches_others=False
        )
    pool.targets['t2'].health.record_outcome(CallOutcome.ANSWERED, 5.1, 'cut')
    dispatcher = make_dispatcher(pool)
    decided = dispatcher.submit(make_assignment_req(node='cut'), 5.2)
    assert isinstance(decided, Assignment)
    assert decided.target == 't2'
