"""Targets that announce that they leave, or that ask for a pause."""

import attrs
import pytest

from mimosaworks.deployment import TargetState, WorkspaceConfig
from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    Decision,
    Dispatcher,
    EnginePool,
    Refusal,
    ResendBudgetConfig,
    ResendBudgets,
)
from mimosaworks.node.target_notices import MAX_NOTICES, TargetNotices
from mimosaworks.platform.headers import (
    MAX_PAUSE_S,
    read_pause_s,
    says_leaving,
)
from tests.dispatch_world import (
    make_assignment_req,
    make_entry,
    make_job,
    make_pool,
)


@attrs.define(eq=False)
class Node:
    """The births that a node knows, and whom it told of targets."""

    born: dict[str, int] = attrs.field(factory=dict)
    told: list[tuple[str, int]] = attrs.field(factory=list)
    kinds: list[str] = attrs.field(factory=list)
    notices: TargetNotices = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.notices = TargetNotices(
            find_incarnation=lambda target: self.born.get(target, 0),
            on_leaving=lambda target, born: self.told.append((target, born)),
            on_notice=self.kinds.append,
        )


def test_a_leaving_target_is_left_alone_until_it_is_born_anew() -> None:
    node = Node({'t1': 5})
    node.notices.record_leaving('t1')
    node.notices.record_leaving('t1')
    assert node.told == [('t1', 5)]
    assert node.notices.blocked_targets(1000) == {'t1'}
    node.born.clear()  # its entry is gone
    assert node.notices.blocked_targets(2000) == {'t1'}
    node.born['t1'] = 6
    assert not node.notices.blocked_targets(2000)
    assert not node.notices.leaving_targets()


def test_a_birth_that_becomes_known_later_ends_no_notice() -> None:
    node = Node()
    node.notices.record_leaving('t1')
    node.born['t1'] = 5
    assert node.notices.blocked_targets(0) == {'t1'}
    node.born['t1'] = 6
    assert not node.notices.blocked_targets(0)


def test_a_pause_ends_after_its_time() -> None:
    node = Node()
    node.notices.record_pause('t1', 2, 10)
    node.notices.record_pause('t2', 5, 10)
    assert node.notices.blocked_targets(11.9) == {'t1', 't2'}
    assert node.notices.next_pause_remaining_s(11) == 1
    assert node.notices.blocked_targets(12) == {'t2'}
    assert node.notices.next_pause_remaining_s(20) is None
    assert node.kinds == ['paused', 'paused']


def test_notices_are_bounded() -> None:
    node = Node()
    for number in range(MAX_NOTICES + 5):
        node.notices.record_leaving(f't{number}')
        node.notices.record_pause(f'p{number}', 9, 0)
    assert len(node.notices.blocked_targets(1)) == 2 * MAX_NOTICES


@pytest.mark.parametrize('sent', ['-1', 'soon', '1e9', 'nan', 'inf', ''])
def test_a_pause_that_is_no_number_of_seconds_is_refused(sent: str) -> None:
    with pytest.raises(ValueError, match=r'.'):
        read_pause_s(503, {'Retry-After': sent})


def test_pauses_are_read_from_503_alone() -> None:
    assert read_pause_s(503, {'Retry-After': '15e-1'}) == 3 / 2
    assert read_pause_s(503, {}) is None
    assert read_pause_s(429, {'Retry-After': '1.5'}) is None
    assert read_pause_s(503, {'Retry-After': str(MAX_PAUSE_S)}) == MAX_PAUSE_S
    assert says_leaving({'Server-Leaving': '1'})
    assert not says_leaving({'Server-Leaving': '0'})
    assert not says_leaving({})


def make_dispatcher(pool: EnginePool) -> Dispatcher:
    budget_cfg = ResendBudgetConfig(ratio=0.2, slack=50, window_s=10)
    return Dispatcher(ResendBudgets(budget_cfg), pools={'engines': pool})


def tell(
    dispatcher: Dispatcher, target: str, born: int, now: float
) -> list[Decision]:
    """Tell of a target that leaves, and look at the entries again."""
    pool = dispatcher.pools['engines']
    known = {name: one.entry for name, one in pool.targets.items()}
    dispatcher.record_leaving_target(target, born)
    return dispatcher.apply_entries(known, now)


def test_requests_that_wait_at_a_leaving_target_are_placed_anew() -> None:
    pool = make_pool(
        make_entry('t1', 'm0', incarnation=5),
        make_entry('t2', 'm1', incarnation=5),
    )
    dispatcher = make_dispatcher(pool)
    ask = make_assignment_req('m2')
    assert dispatcher.submit(ask, 0) is None
    first = dispatcher.jobs[ask.call_id].target
    tell(dispatcher, first, 5, 0.1)
    assert dispatcher.jobs[ask.call_id].target not in {'', first}


def test_what_runs_at_a_leaving_target_ends_there() -> None:
    pool = make_pool(
        make_entry('t1', 'm0', incarnation=5),
        make_entry('t2', 'm0', incarnation=5),
    )
    dispatcher = make_dispatcher(pool)
    ask = make_assignment_req('m0')
    decided = dispatcher.submit(ask, 0)
    assert isinstance(decided, Assignment)
    assert not tell(dispatcher, decided.target, 0, 0.1)
    assert ask.call_id in dispatcher.jobs
    other = dispatcher.submit(make_assignment_req('m0'), 0.2)
    assert isinstance(other, Assignment)
    assert other.target != decided.target


def test_an_entry_that_is_behind_does_not_end_a_notice() -> None:
    pool = make_pool(make_entry('t1', 'm0', incarnation=5))
    dispatcher = make_dispatcher(pool)
    known = pool.targets['t1'].entry
    tell(dispatcher, 't1', 5, 0)
    assert known.state is TargetState.READY
    dispatcher.apply_entries({'t1': known}, 1)
    assert isinstance(pool.submit(make_job('m0'), 1), Refusal)
    dispatcher.apply_entries({'t1': attrs.evolve(known, incarnation=6)}, 2)
    assert isinstance(pool.submit(make_job('m0'), 2), Assignment)


def test_a_notice_of_an_earlier_birth_is_not_believed() -> None:
    pool = make_pool(make_entry('t1', 'm0', incarnation=6))
    dispatcher = make_dispatcher(pool)
    tell(dispatcher, 't1', 5, 0)
    assert isinstance(pool.submit(make_job('m0'), 0), Assignment)


def test_tokens_of_a_request_that_was_not_sent_are_given_back() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    dispatcher = make_dispatcher(pool)
    terms = WorkspaceConfig(
        'agency', frozenset(), tokens_per_s=0.001, burst_tokens=10
    )
    dispatcher.limiter.apply_workspaces({'agency': terms}, 0)
    ask = make_assignment_req('m0', cost=4)
    dispatcher.admit(ask, 0)
    dispatcher.submit(ask, 0)
    assert dispatcher.limiter.current_balances(0)['agency'] == pytest.approx(
        6, abs=0.1
    )
    dispatcher.record_outcome(ask.call_id, CallOutcome.NOT_SENT, 0, 0.1)
    assert dispatcher.limiter.current_balances(0)['agency'] == pytest.approx(
        10, abs=0.1
    )
    target = pool.targets['t1']
    assert not target.jobs
    assert target.is_synced
    assert not target.health.is_down(0.1)


def test_a_new_holder_remembers_notices_of_targets_it_does_not_know() -> None:
    pool = make_pool()
    dispatcher = make_dispatcher(pool)
    dispatcher.record_leaving_target('t1', 5)
    known = make_entry('t1', 'm0', incarnation=5)
    dispatcher.apply_entries({'t1': known}, 1)
    assert isinstance(pool.submit(make_job('m0'), 1), Refusal)
    reborn = attrs.evolve(known, incarnation=6)
    dispatcher.apply_entries({'t1': reborn}, 2)
    assert isinstance(pool.submit(make_job('m0'), 2), Assignment)
