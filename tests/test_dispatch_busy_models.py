"""Tests of the engine pool when demand moves to models that are not loaded.

Each test is named after the load pattern that it covers.
"""

import itertools

import pytest

from mimosaworks.dispatch import (
    Assignment,
    EnginePool,
    Job,
    Refusal,
    Step,
    preload_models,
)
from mimosaworks.dispatch.capacity_queue import (
    BUSY_MODEL_REQUESTS,
    CAPACITY_CHECK_INTERVAL_S,
    MAX_MODELS_PER_CHECK,
    MAX_QUEUED_JOBS,
    CapacityQueue,
)
from mimosaworks.dispatch.drain_models import DRAIN_TIMEOUT_S
from tests.dispatch_world import (
    DISK_S,
    STORE_S,
    finish_steps,
    make_entry,
    make_job,
    make_pool,
)

# First event timeout of callers that come in large numbers.
IMPATIENT_WAIT_S = 2.0


def make_impatient_job(model: str, now: float, **job_fields: object) -> Job:
    """Return a request whose caller leaves after IMPATIENT_WAIT_S."""
    return make_job(
        model,
        now=now,
        first_event_deadline_s=now + IMPATIENT_WAIT_S,
        **job_fields,
    )


def queued_load_models(pool: EnginePool) -> list[str]:
    return [
        step.model
        for target in pool.targets.values()
        for step in target.steps
        if step.is_load
    ]


def test_requests_for_a_model_on_two_targets_share_one_replica() -> None:
    # Replicas that were all slightly in use could not be evicted for others.
    pool = make_pool(make_entry('t1', 'm0', 'm1'), make_entry('t2', 'm0', 'm2'))
    jobs = [make_job('m0', parts=((f'p{one}', 100),)) for one in range(6)]
    for job in jobs:
        pool.submit(job, 0)
        pool.record_first_event(job, 0.02)
    assert len({job.target for job in jobs}) == 1


def test_a_queue_of_prompts_still_uses_both_replicas() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1'), make_entry('t2', 'm0', 'm2'))
    jobs = [make_job('m0', parts=((f'p{one}', 9000),)) for one in range(6)]
    for job in jobs:
        pool.submit(job, 0)
    assert {job.target for job in jobs} == {'t1', 't2'}


# Guards against 9 seconds in which each request for the busiest model was
# refused because its deadline was before the end of a load: no load started.
def test_a_model_that_impatient_callers_are_refused_for_is_loaded() -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=('m0', 'm5')))
    target = pool.targets['t1']
    target.steps_end_s = 3
    for number in range(4):
        refusal = pool.submit(
            make_impatient_job('m5', number / 10), number / 10
        )
        assert isinstance(refusal, Refusal)
        assert refusal.retry_after_s > 1
    preload_models((pool,), 2.5)
    assert queued_load_models(pool) == ['m5']
    preload_models((pool,), 2.6)
    assert queued_load_models(pool) == ['m5']


def test_retry_delays_of_refused_callers_grow() -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=('m0', 'm5')))
    pool.targets['t1'].steps_end_s = 2
    refusals = [pool.submit(make_impatient_job('m5', 0), 0) for _ in range(64)]
    first, last = refusals[0], refusals[-1]
    assert isinstance(first, Refusal)
    assert isinstance(last, Refusal)
    assert last.retry_after_s > first.retry_after_s + 0.4


# Guards against order queues that loads for patient callers filled for 10
# seconds: the model with the highest demand was loaded after them.
def test_a_busy_model_is_loaded_before_those_of_patient_callers() -> None:
    pool = make_pool(
        make_entry('t1', on_disk=tuple(f'm{one}' for one in range(9)))
    )
    target = pool.targets['t1']
    for number in range(2, 9):
        pool.submit(make_job(f'm{number}'), 0)
    assert len(queued_load_models(pool)) < 4
    waiting = len(pool.capacity_queue)
    for number in range(int(2 * BUSY_MODEL_REQUESTS)):
        pool.submit(make_job('m1'), 0.01 * number)
    done = target.steps.popleft()
    for job in pool.record_finished_step(target, done, DISK_S):
        pool.remove_job(job)
    assert len(pool.capacity_queue) > waiting
    for job in pool.collect_jobs_to_reassign(2 * DISK_S):
        pool.remove_job(job)
        pool.submit(job, 2 * DISK_S)
    assert 'm1' in target.models


# Guards against callers that left while their requests waited for a load from
# the weight store although another target had the model 2 seconds earlier.
def test_waiting_requests_move_to_the_target_that_has_the_model_first() -> None:
    pool = make_pool(make_entry('t1', on_disk=()), make_entry('t2', on_disk=()))
    pool.store_loads.budget.tokens = 4
    job = make_job('m5')
    assert pool.submit(job, 1) is None
    other = next(one for one in pool.targets.values() if not one.steps)
    other.on_disk.append('m5')
    pool.enqueue_steps(other, (Step(is_load=True, model='m5'),), 2)
    finish_steps(pool, other, 3)
    assert pool.collect_jobs_to_reassign(3) == [job]
    pool.remove_job(job)
    assert isinstance(pool.submit(job, 3), Assignment)
    assert job.target == other.entry.name
    assert not pool.collect_jobs_to_reassign(3.2)


def test_a_request_that_is_overdue_and_superseded_is_reassigned_once() -> None:
    pool = make_pool(make_entry('t1', on_disk=()), make_entry('t2', on_disk=()))
    pool.store_loads.budget.tokens = 4
    job = make_job('m5', first_event_deadline_s=STORE_S + 2)
    assert pool.submit(job, 1) is None
    other = next(one for one in pool.targets.values() if not one.steps)
    other.on_disk.append('m5')
    pool.enqueue_steps(other, (Step(is_load=True, model='m5'),), 2)
    finish_steps(pool, other, 2 * STORE_S)
    assert pool.collect_jobs_to_reassign(2 * STORE_S) == [job]


@pytest.mark.parametrize(
    ('max_wait_s', 'keeps_waiting'), [(STORE_S + 1, False), (STORE_S + 4, True)]
)
def test_an_overdue_load_is_expected_to_take_as_long_again(
    max_wait_s: float, *, keeps_waiting: bool
) -> None:
    pool = make_pool(make_entry('t1', on_disk=()))
    pool.store_loads.budget.tokens = 4
    job = make_job('m5', now=1, first_event_deadline_s=1 + max_wait_s)
    pool.submit(job, 1)
    now = 1 + STORE_S + 0.9
    assert (job not in pool.collect_jobs_to_reassign(now)) == keeps_waiting


def test_a_load_is_not_queued_behind_seconds_of_other_orders() -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=('m0', 'm5')))
    target = pool.targets['t1']
    target.steps_end_s = 5
    job = make_job('m5')
    assert pool.submit(job, 0.5) is None
    assert not target.steps
    assert pool.collect_jobs_to_reassign(4.5) == [job]
    pool.remove_job(job)
    assert pool.submit(job, 4.5) is None
    assert queued_load_models(pool) == ['m5']


def test_a_model_in_use_is_drained_for_one_with_much_higher_demand() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    running = [make_job('m0'), make_job('m1'), make_job('m1')]
    for job in running:
        pool.submit(job, 0)
    for number in range(20):
        now = 1 + number / 10
        assert isinstance(
            pool.submit(make_impatient_job('m5', now - 1.5), now), Refusal
        )
    preload_models((pool,), 3)
    target = pool.targets['t1']
    assert not target.models['m0'].accepts_requests(3)
    assert target.models['m1'].accepts_requests(3)
    assert not queued_load_models(pool)
    pool.remove_job(running[0])
    preload_models((pool,), 3.1)
    assert queued_load_models(pool) == ['m5']


def test_models_with_equal_demand_are_not_drained() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    for _ in range(3):
        pool.submit(make_job('m0'), 0)
        pool.submit(make_job('m1'), 0)
    assert isinstance(pool.submit(make_impatient_job('m5', -1.5), 0), Refusal)
    preload_models((pool,), 0.1)
    assert all(
        one.accepts_requests(0.1) for one in pool.targets['t1'].models.values()
    )


def test_a_drained_model_accepts_requests_again_after_the_drain_timeout() -> (
    None
):
    pool = make_pool(make_entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    for model in ('m0', 'm1'):
        pool.submit(make_job(model), 0)
    for _ in range(20):
        pool.submit(make_impatient_job('m5', -1.5), 0)
    preload_models((pool,), 0.1)
    drained_models = [
        one
        for one in pool.targets['t1'].models.values()
        if not one.accepts_requests(0.2)
    ]
    assert len(drained_models) == 1
    assert drained_models[0].accepts_requests(0.2 + DRAIN_TIMEOUT_S)


def test_a_model_is_not_loaded_from_the_store_while_its_target_may_return() -> (
    None
):
    pool = make_pool(
        make_entry('t1', on_disk=('m5',)), make_entry('t2', on_disk=())
    )
    pool.store_loads.budget.tokens = 4
    other = [
        target.entry for name, target in pool.targets.items() if name == 't2'
    ]
    pool.apply_entries(other, 5)
    pool.submit(make_impatient_job('m5', 5), 5)
    preload_models((pool,), 5.1)
    assert not queued_load_models(pool)


def test_a_request_within_its_target_latency_is_retried_before_a_late_one() -> (
    None
):
    pool = make_pool(make_entry('t1', 'm0'))
    queue = CapacityQueue()
    late_job = make_job('m1', latency_target_s=0.1, first_event_deadline_s=4)
    on_time_job = make_job('m2', latency_target_s=3, first_event_deadline_s=12)
    for job in (late_job, on_time_job):
        queue.add(job)
    model = pool.engine_cfg.models['m1']
    assert all(queue.can_wait(job, model, 0) for job in (late_job, on_time_job))
    assert queue.jobs_to_retry(pool.request_rates, {}, 0.5) == [
        on_time_job,
        late_job,
    ]


# Guards against a holder that placed hundreds of waiting requests again at each
# end of a request: in a burst it did nothing else, and all nodes lost it.
def test_a_check_of_many_queued_requests_tries_a_few_of_them() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    queue = CapacityQueue()
    names = itertools.cycle(pool.engine_cfg.models)
    jobs = [
        make_job(next(names), first_event_deadline_s=99) for _ in range(300)
    ]
    for job in jobs:
        assert queue.can_wait(job, pool.engine_cfg.models['m1'], 0)
        queue.add(job)
    first_jobs = queue.jobs_to_retry(pool.request_rates, {}, 1)
    assert len(first_jobs) == MAX_MODELS_PER_CHECK
    assert (
        len({one.assignment_req.profile.model for one in first_jobs})
        == MAX_MODELS_PER_CHECK
    )
    assert not queue.jobs_to_retry(
        pool.request_rates, {}, 1 + CAPACITY_CHECK_INTERVAL_S / 2
    )
    next_jobs = queue.jobs_to_retry(
        pool.request_rates, {}, 1 + CAPACITY_CHECK_INTERVAL_S
    )
    tried_models = {
        one.assignment_req.profile.model for one in (*first_jobs, *next_jobs)
    }
    assert tried_models == pool.engine_cfg.models.keys()


def test_all_requests_for_a_model_leave_the_queue_once_it_is_loaded() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    queue = CapacityQueue()
    for model in ('m0', 'm1') * 20:
        job = make_job(model, first_event_deadline_s=99)
        queue.can_wait(job, pool.engine_cfg.models['m1'], 0)
        queue.add(job)
    assert len(queue.jobs_to_retry(pool.request_rates, {'m1': 1}, 1)) == 21
    assert not queue.jobs_to_retry(
        pool.request_rates, {'m1': 1}, 1 + CAPACITY_CHECK_INTERVAL_S
    )


def test_all_requests_whose_queue_time_is_over_leave_the_queue() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    queue = CapacityQueue()
    for _ in range(30):
        job = make_job('m1', first_event_deadline_s=2)
        queue.can_wait(job, pool.engine_cfg.models['m1'], 0)
        queue.add(job)
    assert len(queue.jobs_to_retry(pool.request_rates, {}, 2)) == 30


@pytest.mark.parametrize('remaining_s', [DISK_S, 4 * STORE_S])
def test_no_request_queues_beyond_its_deadline(
    remaining_s: float,
) -> None:
    queue = CapacityQueue()
    model = make_pool(make_entry('t1')).engine_cfg.models['m1']
    job = make_job('m1', first_event_deadline_s=remaining_s)
    assert not queue.can_wait(job, model, remaining_s - DISK_S)


def test_the_capacity_queue_is_bounded() -> None:
    queue = CapacityQueue()
    model = make_pool(make_entry('t1')).engine_cfg.models['m1']
    for _ in range(MAX_QUEUED_JOBS):
        queue.add(make_job('m1'))
    assert not queue.can_wait(make_job('m1'), model, 0)
