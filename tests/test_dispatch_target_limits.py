"""Rate limits that targets announce, as the lease holder enforces them."""

import itertools
import math

import pytest

from mimosaworks.dispatch import (
    Assignment,
    Dispatcher,
    Job,
    PlainPool,
    Refusal,
    ResendBudgets,
    ResendTerms,
    TargetLimits,
    granted_s,
)
from mimosaworks.dispatch.target_limits import (
    MAX_LIMITED_TARGETS,
    MIN_PERMITS_PER_S,
    REMOVED_TARGET_TTL_S,
)
from tests.dispatch_world import entry, make_ask, make_job, make_pool

TICK_S = 0.05
LIMITS_PER_S = (0, 0.2, 1, 2.5, 7, 40)


def make_limits(limit: float, target: str = 't1') -> TargetLimits:
    limits = TargetLimits()
    limits.note(target, limit, -math.inf, 0)
    return limits


@pytest.mark.parametrize('limit', LIMITS_PER_S)
def test_permits_keep_to_the_limit_in_any_four_seconds(limit: float) -> None:
    limits = make_limits(limit)
    permit_times_s: list[float] = []
    for step in range(400):
        now = step * TICK_S
        permit_times_s += [
            now for _ in range(200) if now % 3 > 1 and limits.take('t1', now)
        ]
    for begin_s in permit_times_s:
        count = sum(begin_s <= at_s < begin_s + 4.5 for at_s in permit_times_s)
        assert count <= 6 * limit + 5
    # A limited target still gets requests.
    assert len(permit_times_s) >= 0.5 * (limit or MIN_PERMITS_PER_S) * 20 - 1


# Guards against permits that are lost between two checks, so that requests are
# refused although their wait was predicted to end in time.
@pytest.mark.parametrize('limit', [0.9, 3, 4.4])
def test_no_permit_is_lost_between_two_checks(limit: float) -> None:
    limits = make_limits(limit)
    check_times_s = [number * TICK_S + 0.013 for number in range(1200)]
    permits = sum(limits.take('t1', now) for now in check_times_s)
    assert permits >= 60 * limit - 1


def test_a_huge_limit_delays_no_request() -> None:
    limits = make_limits(1e9)
    assert all(limits.take('t1', 0.01) for _ in range(1000))


def test_a_new_holder_grants_no_burst() -> None:
    for limit in LIMITS_PER_S:
        assert not make_limits(limit).take('t1', 0)
        assert not make_limits(limit).take('t1', min(0.9 / max(limit, 1), 0.9))


def test_an_older_answer_does_not_raise_a_limit() -> None:
    limits = TargetLimits()
    assert limits.note('t1', 1, 3, 5)
    # Granted before the limit was recorded.
    assert not limits.note('t1', math.inf, 4.9, 6)
    assert not limits.note('t1', 8, 5, 6)
    assert limits.all_per_s() == {'t1': 1}
    assert limits.note('t1', 0.5, -math.inf, 7)
    assert not limits.note('t1', math.inf, 6.9, 8)
    assert limits.note('t1', math.inf, 7.1, 8)
    assert not limits.all_per_s()
    assert limits.take('t1', 8)


def test_a_repeated_limit_outdates_earlier_grants() -> None:
    limits = make_limits(1)
    assert limits.note('t1', 1, 2, 3)
    assert not limits.note('t1', math.inf, 2.5, 4)


def test_a_raised_limit_grants_no_extra_burst() -> None:
    limits = make_limits(1)
    limits.wait_s('t1', 1, 10)
    limits.note('t1', 100, 11, 12)
    assert sum(limits.take('t1', 12) for _ in range(50)) == 1
    limits.note('t1', 1, 13, 30)
    assert sum(limits.take('t1', 30) for _ in range(50)) == 1


def test_only_the_requests_own_grant_counts() -> None:
    limits = make_limits(1)
    job = make_job('m0')
    job.target = 't1'
    job.granted_s = 5
    jobs = {job.ask.call: job}

    def note(target: str, per_s: float, call: str) -> bool:
        begun_s = granted_s(jobs, call, target)
        return limits.note(target, per_s, begun_s, 6)

    assert note('t2', math.inf, 'gone')
    assert not limits.is_limited('t2')
    assert not note('t1', 9, 'gone')
    job.target = 't3'
    assert not note('t1', 9, job.ask.call)
    job.target = 't1'
    assert note('t1', 9, job.ask.call)


def test_orders_reserve_permits_in_advance() -> None:
    limits = make_limits(1)
    assert limits.book('t1', 1) == 0
    assert limits.book('t1', 1) == pytest.approx(1)
    assert limits.book('t1', 1) == pytest.approx(2)
    assert not limits.take('t1', 2.9)
    assert limits.take('t1', 4.1)
    assert limits.book('other', 1) == 0


def test_refused_callers_get_different_retry_times() -> None:
    limits = make_limits(2)
    retry_times_s = [limits.book_return('t1', 3, 10) for _ in range(4)]
    steps = [
        later - sooner for sooner, later in itertools.pairwise(retry_times_s)
    ]
    assert retry_times_s[0] == pytest.approx(3)
    assert steps == pytest.approx([0.5, 0.5, 0.5])
    # Callers that were refused long ago have already retried.
    assert limits.book_return('t1', 3, 60) == pytest.approx(3)


def test_limits_are_bounded_and_removed() -> None:
    limits = TargetLimits()
    for number in range(MAX_LIMITED_TARGETS + 5):
        limits.note(f't{number}', 1, -math.inf, 0)
    assert len(limits.all_per_s()) == MAX_LIMITED_TARGETS
    limits.forget_removed_targets(['t9'], REMOVED_TARGET_TTL_S)
    assert len(limits.all_per_s()) == MAX_LIMITED_TARGETS
    limits.forget_removed_targets(['t9'], REMOVED_TARGET_TTL_S + 1)
    assert set(limits.all_per_s()) == {'t9'}


def test_a_request_goes_to_a_target_with_a_permit() -> None:
    pool = make_pool(entry('t1', 'm0'), entry('t2', 'm0'))
    pool.limits.note('t1', 1, -math.inf, 0)
    for number in range(8):
        decision = pool.submit(make_job('m0'), 0.5 + number / 100)
        assert isinstance(decision, Assignment)
        assert decision.target == 't2'
        assert not decision.is_counted


def test_a_model_is_loaded_elsewhere_if_its_target_is_limited() -> None:
    pool = make_pool(entry('t1', 'm0'), entry('t2', 'm1'))
    pool.limits.note('t1', 0.2, -math.inf, 0)
    assert pool.submit(make_job('m0'), 0) is None
    assert [step.model for step in pool.targets['t2'].steps] == ['m0']


def test_urgent_requests_get_permits_first() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 1, -math.inf, 0)
    patient = make_job('m0', priority=3, first_by_s=9)
    urgent = make_job('m0', priority=1, first_by_s=9)
    assert pool.submit(patient, 0.1) is None
    assert pool.submit(urgent, 0.2) is None
    assert not pool.next_grants(0.9)
    granted = pool.next_grants(1.05)
    assert [job for job, _ in granted] == [urgent]
    assert granted[0][1].is_counted
    assert [job for job, _ in pool.next_grants(2.1)] == [patient]
    assert not pool.paced


def test_requests_that_cannot_be_in_time_are_refused_at_once() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 0.5, -math.inf, 0)
    refused = [pool.submit(make_job('m0', first_by_s=1), 0) for _ in range(3)]
    assert all(isinstance(one, Refusal) and one.is_limited for one in refused)
    # Each has its own permit, so that they do not retry together.
    retry_times_s = [
        one.retry_after_s for one in refused if isinstance(one, Refusal)
    ]
    assert retry_times_s == pytest.approx([
        retry_times_s[0],
        retry_times_s[0] + 2,
        retry_times_s[0] + 4,
    ])
    assert retry_times_s[0] >= 2
    assert 'rate limit of t1 is 0.5/s' in str(refused[0])


def test_waiting_requests_that_became_late_are_collected() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 1, -math.inf, 0)
    patient = make_job('m0', priority=3, first_by_s=2.5)
    assert pool.submit(patient, 0) is None
    for _ in range(3):
        assert pool.submit(make_job('m0', first_by_s=9), 0.1) is None
    assert pool.overdue(0.2) == [patient]


def test_waiting_requests_are_granted_when_the_limit_ends() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 0.5, -math.inf, 0)
    jobs = [make_job('m0', first_by_s=9) for _ in range(3)]
    assert [pool.submit(job, 0) for job in jobs] == [None, None, None]
    pool.limits.note('t1', math.inf, 0.1, 0.2)
    granted = pool.next_grants(0.3)
    assert len(granted) == 3
    assert not any(one.is_counted for _, one in granted)


def test_requests_at_a_removed_limited_target_are_displaced() -> None:
    pool = make_pool(entry('t1', 'm0'), entry('t2', 'm1', on_disk=()))
    pool.limits.note('t1', 0.5, -math.inf, 0)
    job = make_job('m0', first_by_s=9)
    assert pool.submit(job, 0) is None
    assert pool.adopt([entry('t2', 'm0', born=2)], 0.1) == [job]
    pool.drop(job)
    assert not pool.paced


def make_plain_dispatcher(*limits: float) -> tuple[Dispatcher, PlainPool]:
    """Return a dispatcher and a plain pool of targets with these limits."""
    terms = ResendTerms(ratio=0.2, slack=50, window_s=10)
    dispatcher = Dispatcher(ResendBudgets(terms))
    pool = PlainPool(dispatcher.limits)
    dispatcher.pools['ledger'] = pool
    names = [f't{number}' for number, _ in enumerate(limits)]
    pool.adopt([entry(name, service='ledger', slots=8) for name in names], 0)
    for name, limit in zip(names, limits, strict=True):
        dispatcher.limits.note(name, limit, -math.inf, 0)
    return dispatcher, pool


def test_plain_requests_wait_in_order_for_permits() -> None:
    dispatcher, _ = make_plain_dispatcher(1)
    assignment_reqs = [make_ask(give_up_s=8) for _ in range(3)]
    assert not any(
        dispatcher.submit(assignment_req, 0)
        for assignment_req in assignment_reqs
    )
    assert not dispatcher.tick(0.9)
    decision = [dispatcher.tick(at_s) for at_s in (1.05, 1.5, 2.1, 3.2)]
    calls = [[call for call, _ in one] for one in decision]
    assert calls == [
        [assignment_reqs[0].call],
        [],
        [assignment_reqs[1].call],
        [assignment_reqs[2].call],
    ]
    newcomer = make_ask(give_up_s=20)
    assert dispatcher.submit(make_ask(give_up_s=20), 3.3) is None
    # The permit that is available belongs to the request that waits.
    assert dispatcher.submit(newcomer, 4.4) is None


def test_plain_requests_without_a_permit_in_time_are_refused() -> None:
    dispatcher, pool = make_plain_dispatcher(0.5, 0.5)
    decision = [dispatcher.submit(make_ask(give_up_s=3), 0) for _ in range(6)]
    refused = [one for one in decision if isinstance(one, Refusal)]
    assert len(refused) == 4
    assert all(one.is_limited for one in refused)
    retry_times_s = [one.retry_after_s for one in refused]
    assert sorted(set(retry_times_s)) == retry_times_s
    assert len(pool.waiting) == 2


# Guards against a permit for a request that has no time left to use it.
def test_a_permit_goes_to_a_request_that_can_meet_its_deadline() -> None:
    dispatcher, pool = make_plain_dispatcher(1)
    expiring_req = make_ask(give_up_s=1.5)
    later_req = make_ask(give_up_s=9)
    assert dispatcher.submit(expiring_req, 0) is None
    assert dispatcher.submit(later_req, 0) is None
    # The holder checks again after the first request's deadline.
    decision = dict(dispatcher.tick(1.49))
    assert isinstance(decision[expiring_req.call], Refusal)
    assert isinstance(decision[later_req.call], Assignment)


# Guards against slots of a limited target that count as free for requests which
# wait for another target.
def test_slots_of_a_limited_target_do_not_shorten_the_wait() -> None:
    _, pool = make_plain_dispatcher(0.1, math.inf)
    usable = list(pool.targets.values())
    unlimited_wait_s = pool.wait_s(make_job(), usable[1:], 0)
    assert pool.wait_s(make_job(), usable, 0) == unlimited_wait_s


def test_targets_without_a_limit_are_not_delayed() -> None:
    dispatcher, _ = make_plain_dispatcher(0.2, math.inf)
    for number in range(20):
        assignment_req = make_ask()
        decision = dispatcher.submit(assignment_req, number / 10)
        assert isinstance(decision, Assignment)
        assert decision.target == 't1'
        dispatcher.pools['ledger'].drop(Job(assignment_req, 0, target='t1'))
