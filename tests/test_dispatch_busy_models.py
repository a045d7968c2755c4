"""Demand that moves to models which are loaded nowhere.

Each test names the pattern of load that it answers.
"""

import itertools

import pytest

from mimosaworks.dispatch import (
    Assignment,
    EnginePool,
    Job,
    Refusal,
    Step,
    load_ahead,
)
from mimosaworks.dispatch.make_way import CLOSED_S
from mimosaworks.dispatch.waiting_room import (
    BUSY,
    LOOK_S,
    MAX_TRIED,
    MAX_WAITING,
    WaitingRoom,
)
from tests.dispatch_world import (
    DISK_S,
    STORE_S,
    carry_out,
    entry,
    make_job,
    make_pool,
)

PATIENCE_S = 2.0  # of callers who come by the dozen


def hasty(model: str, now: float, **facts: object) -> Job:
    """Return a request whose caller leaves after PATIENCE_S."""
    return make_job(model, now=now, first_by_s=now + PATIENCE_S, **facts)


def loads_of(pool: EnginePool) -> list[str]:
    return [
        step.model
        for target in pool.targets.values()
        for step in target.steps
        if step.is_load
    ]


def test_requests_for_a_model_on_two_targets_go_together() -> None:
    # Replicas that were all a little in use could not make way for others.
    pool = make_pool(entry('t1', 'm0', 'm1'), entry('t2', 'm0', 'm2'))
    jobs = [make_job('m0', parts=((f'p{one}', 100),)) for one in range(6)]
    for job in jobs:
        pool.submit(job, 0)
        pool.started(job, 0.02)
    assert len({job.target for job in jobs}) == 1


def test_a_queue_of_prompts_still_uses_both_replicas() -> None:
    pool = make_pool(entry('t1', 'm0', 'm1'), entry('t2', 'm0', 'm2'))
    jobs = [make_job('m0', parts=((f'p{one}', 9000),)) for one in range(6)]
    for job in jobs:
        pool.submit(job, 0)
    assert {job.target for job in jobs} == {'t1', 't2'}


# Nine seconds long each request for the busiest model was refused, as its
# caller's patience would end before the load: no load began.
def test_a_model_that_hasty_callers_are_refused_for_is_loaded() -> None:
    pool = make_pool(entry('t1', 'm0', on_disk=('m0', 'm5')))
    target = pool.targets['t1']
    target.steps_end_s = 3
    for number in range(4):
        refused = pool.submit(hasty('m5', number / 10), number / 10)
        assert isinstance(refused, Refusal)
        assert refused.retry_after_s > 1
    load_ahead((pool,), 2.5)
    assert loads_of(pool) == ['m5']
    load_ahead((pool,), 2.6)
    assert loads_of(pool) == ['m5']


def test_refused_callers_are_told_to_return_one_after_the_other() -> None:
    pool = make_pool(entry('t1', 'm0', on_disk=('m0', 'm5')))
    pool.targets['t1'].steps_end_s = 2
    refusals = [pool.submit(hasty('m5', 0), 0) for _ in range(64)]
    first, last = refusals[0], refusals[-1]
    assert isinstance(first, Refusal)
    assert isinstance(last, Refusal)
    assert last.retry_after_s > first.retry_after_s + 0.4


# Loads for patient callers filled the targets' queues for ten seconds; the
# model that everybody asked for was loaded behind them.
def test_a_busy_model_is_loaded_before_those_of_patient_callers() -> None:
    pool = make_pool(entry('t1', on_disk=tuple(f'm{one}' for one in range(9))))
    target = pool.targets['t1']
    for number in range(2, 9):
        pool.submit(make_job(f'm{number}'), 0)
    assert len(loads_of(pool)) < 4
    waiting = len(pool.waiting)
    for number in range(int(2 * BUSY)):
        pool.submit(make_job('m1'), 0.01 * number)
    done = target.steps.popleft()
    for job in pool.step_done(target, done, DISK_S):
        pool.drop(job)
    assert len(pool.waiting) > waiting
    for job in pool.overdue(2 * DISK_S):
        pool.drop(job)
        pool.submit(job, 2 * DISK_S)
    assert 'm1' in target.models


# Callers left while their requests waited for a load from the weight store;
# another target had the model two seconds sooner.
def test_waiting_requests_move_to_the_target_that_has_the_model_first() -> None:
    pool = make_pool(entry('t1', on_disk=()), entry('t2', on_disk=()))
    pool.loads.budget.tokens = 4
    job = make_job('m5')
    assert pool.submit(job, 1) is None
    other = next(one for one in pool.targets.values() if not one.steps)
    other.on_disk.append('m5')
    pool.enqueue(other, (Step(is_load=True, model='m5'),), 2)
    carry_out(pool, other, 3)
    assert pool.overdue(3) == [job]
    pool.drop(job)
    assert isinstance(pool.submit(job, 3), Assignment)
    assert job.target == other.entry.name
    assert not pool.overdue(3.2)


def test_a_request_that_is_overdue_and_outrun_is_placed_once() -> None:
    pool = make_pool(entry('t1', on_disk=()), entry('t2', on_disk=()))
    pool.loads.budget.tokens = 4
    job = make_job('m5', first_by_s=STORE_S + 2)
    assert pool.submit(job, 1) is None
    other = next(one for one in pool.targets.values() if not one.steps)
    other.on_disk.append('m5')
    pool.enqueue(other, (Step(is_load=True, model='m5'),), 2)
    carry_out(pool, other, 2 * STORE_S)
    assert pool.overdue(2 * STORE_S) == [job]


@pytest.mark.parametrize(
    ('patience_s', 'is_kept'), [(STORE_S + 1, False), (STORE_S + 4, True)]
)
def test_an_overdue_load_is_waited_for_as_long_again(
    patience_s: float, *, is_kept: bool
) -> None:
    pool = make_pool(entry('t1', on_disk=()))
    pool.loads.budget.tokens = 4
    job = make_job('m5', now=1, first_by_s=1 + patience_s)
    pool.submit(job, 1)
    now = 1 + STORE_S + 0.9
    assert (job not in pool.overdue(now)) == is_kept


def test_a_load_is_not_queued_far_behind_others() -> None:
    pool = make_pool(entry('t1', 'm0', on_disk=('m0', 'm5')))
    target = pool.targets['t1']
    target.steps_end_s = 5
    job = make_job('m5')
    assert pool.submit(job, 0.5) is None
    assert not target.steps
    assert pool.overdue(4.5) == [job]
    pool.drop(job)
    assert pool.submit(job, 4.5) is None
    assert loads_of(pool) == ['m5']


def test_a_model_in_use_makes_way_for_one_that_is_wanted_much_more() -> None:
    pool = make_pool(entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    running = [make_job('m0'), make_job('m1'), make_job('m1')]
    for job in running:
        pool.submit(job, 0)
    for number in range(20):
        now = 1 + number / 10
        assert isinstance(pool.submit(hasty('m5', now - 1.5), now), Refusal)
    load_ahead((pool,), 3)
    target = pool.targets['t1']
    assert not target.models['m0'].is_open(3)
    assert target.models['m1'].is_open(3)
    assert not loads_of(pool)
    pool.drop(running[0])
    load_ahead((pool,), 3.1)
    assert loads_of(pool) == ['m5']


def test_models_that_are_wanted_as_much_stay_open() -> None:
    pool = make_pool(entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    for _ in range(3):
        pool.submit(make_job('m0'), 0)
        pool.submit(make_job('m1'), 0)
    assert isinstance(pool.submit(hasty('m5', -1.5), 0), Refusal)
    load_ahead((pool,), 0.1)
    assert all(one.is_open(0.1) for one in pool.targets['t1'].models.values())


def test_a_closed_model_opens_again_when_its_answers_take_long() -> None:
    pool = make_pool(entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    for model in ('m0', 'm1'):
        pool.submit(make_job(model), 0)
    for _ in range(20):
        pool.submit(hasty('m5', -1.5), 0)
    load_ahead((pool,), 0.1)
    closed = [
        one
        for one in pool.targets['t1'].models.values()
        if not one.is_open(0.2)
    ]
    assert len(closed) == 1
    assert closed[0].is_open(0.2 + CLOSED_S)


def test_a_model_at_hand_is_not_fetched_while_its_target_may_return() -> None:
    pool = make_pool(entry('t1', on_disk=('m5',)), entry('t2', on_disk=()))
    pool.loads.budget.tokens = 4
    other = [
        target.entry for name, target in pool.targets.items() if name == 't2'
    ]
    pool.adopt(other, 5)
    pool.submit(hasty('m5', 5), 5)
    load_ahead((pool,), 5.1)
    assert not loads_of(pool)


def test_the_request_that_can_still_be_on_time_goes_first() -> None:
    pool = make_pool(entry('t1', 'm0'))
    room = WaitingRoom()
    late = make_job('m1', target_s=0.1, first_by_s=4)
    on_time = make_job('m2', target_s=3, first_by_s=12)
    for job in (late, on_time):
        room.add(job)
    model = pool.terms.models['m1']
    assert all(room.may_hold(job, model, 0) for job in (late, on_time))
    assert room.due(pool.demand, {}, 0.5) == [on_time, late]


# Each end of a request had hundreds of waiting ones weighed anew: in a burst
# the holder did nothing else, and all nodes lost it.
def test_a_look_at_many_waiting_requests_tries_a_few_of_them() -> None:
    pool = make_pool(entry('t1', 'm0'))
    room = WaitingRoom()
    names = itertools.cycle(pool.terms.models)
    jobs = [make_job(next(names), first_by_s=99) for _ in range(300)]
    for job in jobs:
        assert room.may_hold(job, pool.terms.models['m1'], 0)
        room.add(job)
    first = room.due(pool.demand, {}, 1)
    assert len(first) == MAX_TRIED
    assert len({one.ask.facts.model for one in first}) == MAX_TRIED
    assert not room.due(pool.demand, {}, 1 + LOOK_S / 2)
    rest = room.due(pool.demand, {}, 1 + LOOK_S)
    tried = {one.ask.facts.model for one in (*first, *rest)}
    assert tried == pool.terms.models.keys()


def test_all_that_wait_for_a_model_are_placed_once_it_is_loaded() -> None:
    pool = make_pool(entry('t1', 'm0'))
    room = WaitingRoom()
    for model in ('m0', 'm1') * 20:
        job = make_job(model, first_by_s=99)
        room.may_hold(job, pool.terms.models['m1'], 0)
        room.add(job)
    assert len(room.due(pool.demand, {'m1': 1}, 1)) == 21
    assert not room.due(pool.demand, {'m1': 1}, 1 + LOOK_S)


def test_all_whose_time_to_wait_is_over_are_answered() -> None:
    pool = make_pool(entry('t1', 'm0'))
    room = WaitingRoom()
    for _ in range(30):
        job = make_job('m1', first_by_s=2)
        room.may_hold(job, pool.terms.models['m1'], 0)
        room.add(job)
    assert len(room.due(pool.demand, {}, 2)) == 30


@pytest.mark.parametrize('left_s', [DISK_S, 4 * STORE_S])
def test_the_waiting_room_holds_nobody_beyond_its_patience(
    left_s: float,
) -> None:
    room = WaitingRoom()
    model = make_pool(entry('t1')).terms.models['m1']
    job = make_job('m1', first_by_s=left_s)
    assert not room.may_hold(job, model, left_s - DISK_S)


def test_the_waiting_room_is_bounded() -> None:
    room = WaitingRoom()
    model = make_pool(entry('t1')).terms.models['m1']
    for _ in range(MAX_WAITING):
        room.add(make_job('m1'))
    assert not room.may_hold(make_job('m1'), model, 0)
