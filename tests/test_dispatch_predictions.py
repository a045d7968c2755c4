"""What is predicted of waits and answers, and who is refused for it.

Each test names the pattern of load that it answers.
"""

import math

import pytest

from mimosaworks.dispatch import Assignment, EnginePool, Job, Refusal
from mimosaworks.errors import ErrorKind
from tests.dispatch_world import SLOTS, entry, make_job, make_pool

READ_S = 0.5  # most of the time for 30000 tokens
LONG_S = 8.0  # to the deadline of the requests here


def answer(pool: EnginePool, job: Job, first_s: float, whole_s: float) -> None:
    """Let a request that was granted be answered."""
    pool.started(job, first_s)
    pool.note_whole(job, whole_s)
    pool.drop(job)


def test_slow_first_events_say_nothing_of_how_long_an_answer_takes() -> None:
    # Requests with seconds left were refused while a target could answer in
    # a fraction of one: first events had been late, answers had not.
    pool = make_pool(entry('t1', 'm0'))
    for number in range(40):
        job = make_job('m0', now=number, give_up_s=number + LONG_S)
        pool.submit(job, number)
        answer(pool, job, job.estimate_s * 4, job.estimate_s * 4 + 0.2)
    last = make_job('m0', now=50, give_up_s=50 + LONG_S)
    assert isinstance(pool.submit(last, 50), Assignment)


def test_an_answer_that_would_end_after_the_deadline_is_refused_at_once() -> (
    None
):
    pool = make_pool(entry('t1', 'm0'))
    for number in range(80):
        job = make_job('m0', now=number, give_up_s=number + 1000)
        pool.submit(job, number)
        answer(pool, job, 0.02, 4 * LONG_S)
    decided = pool.submit(make_job('m0', now=90, give_up_s=90.4), 90)
    assert isinstance(decided, Refusal)
    assert decided.kind is ErrorKind.DEADLINE_UNREACHABLE


def test_one_answer_much_longer_than_its_estimate_is_outvoted() -> None:
    pool = make_pool(entry('t1', 'm0'))
    writing = pool.estimator.writing
    for _ in range(40):
        writing.learn(make_job('m0'), 0.1)
    before_s = writing.write_s(make_job('m0'))
    writing.learn(make_job('m0'), 60.0)
    assert writing.write_s(make_job('m0')) < before_s * 1.5


def test_a_burst_for_one_model_waits_for_slots_as_predicted() -> None:
    # A burst for one model on one target: predictions fell to nothing while
    # first events took a second and more.
    pool = make_pool(entry('t1', 'm0'))
    slots = pool.targets['t1'].terms.slots
    jobs = [
        make_job('m0', parts=((f'p{one}', 50),)) for one in range(3 * slots)
    ]
    for job in jobs:
        pool.submit(job, 0)
    mean_s = pool.estimator.writing.mean_s
    assert jobs[0].estimate_s < mean_s / 10
    assert jobs[-1].estimate_s == pytest.approx(2 * mean_s, rel=0.2)


def test_what_a_burst_will_not_be_served_in_time_is_refused() -> None:
    pool = make_pool(entry('t1', 'm0'))
    slots = pool.targets['t1'].terms.slots
    for number in range(3 * slots):
        pool.submit(make_job('m0', parts=((f'p{number}', 50),)), 0)
    hasty = pool.submit(make_job('m0', first_by_s=1), 0)
    assert isinstance(hasty, Refusal)
    assert hasty.retry_after_s > 0


def test_waits_for_a_slot_do_not_make_a_target_look_slow() -> None:
    pool = make_pool(entry('t1', 'm0'))
    target = pool.targets['t1']
    jobs = [make_job('m0') for _ in range(target.terms.slots + SLOTS)]
    for job in jobs:
        pool.submit(job, 0)
    for job in jobs[-SLOTS:]:
        pool.started(job, 3.0)
    assert math.isclose(target.health.slowness, 1)


def test_the_prompts_before_a_new_one_are_not_forgotten_after_a_short_one() -> (
    None
):
    pool = make_pool(entry('t1', 'm0'))
    pool.submit(make_job('m0', parts=(('big', 30000),), priority=1), 0)
    pool.submit(make_job('m0', parts=(('tiny', 1),), priority=0), 0)
    behind = make_job('m0', parts=(('next', 1000),), priority=1)
    pool.submit(behind, 0)
    assert behind.estimate_s > READ_S
