"""Tests of predicted latencies and of refusals that follow from them.

Each test is named after the load pattern that it covers.
"""

import math

import pytest

from mimosaworks.dispatch import Assignment, EnginePool, Job, Refusal
from mimosaworks.errors import ErrorKind
from tests.dispatch_world import SLOTS, make_entry, make_job, make_pool

# Most of the prefill time of 30000 tokens.
MIN_PREFILL_S = 0.5
# Time from a request to its deadline in these tests.
DEADLINE_S = 8.0


def complete_job(
    pool: EnginePool, job: Job, first_event_s: float, duration_s: float
) -> None:
    """Record first event and complete answer of a granted request."""
    pool.record_first_event(job, first_event_s)
    pool.record_complete_answer(job, duration_s)
    pool.remove_job(job)


def test_slow_first_events_say_nothing_of_how_long_an_answer_takes() -> None:
    # Guards against refusals of requests with seconds left although a target
    # could answer in a fraction of a second: only first events had been late.
    pool = make_pool(make_entry('t1', 'm0'))
    for number in range(40):
        job = make_job('m0', now=number, deadline_s=number + DEADLINE_S)
        pool.submit(job, number)
        complete_job(
            pool,
            job,
            job.estimated_first_event_s * 4,
            job.estimated_first_event_s * 4 + 0.2,
        )
    last = make_job('m0', now=50, deadline_s=50 + DEADLINE_S)
    assert isinstance(pool.submit(last, 50), Assignment)


def test_an_answer_that_would_end_after_the_deadline_is_refused_at_once() -> (
    None
):
    pool = make_pool(make_entry('t1', 'm0'))
    for number in range(80):
        job = make_job('m0', now=number, deadline_s=number + 1000)
        pool.submit(job, number)
        complete_job(pool, job, 0.02, 4 * DEADLINE_S)
    decision = pool.submit(make_job('m0', now=90, deadline_s=90.4), 90)
    assert isinstance(decision, Refusal)
    assert decision.kind is ErrorKind.DEADLINE_UNREACHABLE


def test_one_answer_much_longer_than_its_estimate_changes_little() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    writing = pool.estimator.generation_time
    for _ in range(40):
        writing.record_answer(make_job('m0'), 0.1)
    before_s = writing.expected_generation_s(make_job('m0'))
    writing.record_answer(make_job('m0'), 60.0)
    assert writing.expected_generation_s(make_job('m0')) < before_s * 1.5


def test_a_burst_for_one_model_waits_for_slots_as_predicted() -> None:
    # Guards against predictions that fell to 0 in a burst for one model on one
    # target, while first events took a second and more.
    pool = make_pool(make_entry('t1', 'm0'))
    slots = pool.targets['t1'].engine_cfg.slots
    jobs = [
        make_job('m0', parts=((f'p{one}', 50),)) for one in range(3 * slots)
    ]
    for job in jobs:
        pool.submit(job, 0)
    mean_s = pool.estimator.generation_time.mean_s
    assert jobs[0].estimated_first_event_s < mean_s / 10
    assert jobs[-1].estimated_first_event_s == pytest.approx(
        2 * mean_s, rel=0.2
    )


def test_a_request_that_cannot_be_served_in_time_in_a_burst_is_refused() -> (
    None
):
    pool = make_pool(make_entry('t1', 'm0'))
    slots = pool.targets['t1'].engine_cfg.slots
    for number in range(3 * slots):
        pool.submit(make_job('m0', parts=((f'p{number}', 50),)), 0)
    impatient = pool.submit(make_job('m0', first_event_deadline_s=1), 0)
    assert isinstance(impatient, Refusal)
    assert impatient.retry_after_s > 0


def test_waits_for_a_slot_do_not_make_a_target_look_slow() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    target = pool.targets['t1']
    jobs = [make_job('m0') for _ in range(target.engine_cfg.slots + SLOTS)]
    for job in jobs:
        pool.submit(job, 0)
    for job in jobs[-SLOTS:]:
        pool.record_first_event(job, 3.0)
    assert math.isclose(target.health.slowdown, 1)


def test_the_prompts_before_a_new_one_are_not_forgotten_after_a_short_one() -> (
    None
):
    pool = make_pool(make_entry('t1', 'm0'))
    pool.submit(make_job('m0', parts=(('big', 30000),), priority=1), 0)
    pool.submit(make_job('m0', parts=(('tiny', 1),), priority=0), 0)
    behind = make_job('m0', parts=(('next', 1000),), priority=1)
    pool.submit(behind, 0)
    assert behind.estimated_first_event_s > MIN_PREFILL_S
