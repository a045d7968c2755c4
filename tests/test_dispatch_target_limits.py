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
    ResendBudgetConfig,
    ResendBudgets,
    TargetRateLimits,
    find_granted_s,
)
from mimosaworks.dispatch.target_rate_limits import (
    MAX_LIMITED_TARGETS,
    MIN_PERMITS_PER_S,
    REMOVED_TARGET_TTL_S,
)
from tests.dispatch_world import (
    make_assignment_req,
    make_entry,
    make_job,
    make_pool,
)

TICK_S = 0.05
LIMITS_PER_S = (0, 0.2, 1, 2.5, 7, 40)


def make_limits(limit: float, target: str = 't1') -> TargetRateLimits:
    limits = TargetRateLimits()
    limits.record_limit(target, limit, -math.inf, 0)
    return limits


@pytest.mark.parametrize('limit', LIMITS_PER_S)
def test_permits_keep_to_the_limit_in_any_four_seconds(limit: float) -> None:
    limits = make_limits(limit)
    permit_times_s: list[float] = []
    for step in range(400):
        now = step * TICK_S
        permit_times_s += [
            now
            for _ in range(200)
            if now % 3 > 1 and limits.try_acquire('t1', now)
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
    permits = sum(limits.try_acquire('t1', now) for now in check_times_s)
    assert permits >= 60 * limit - 1


def test_a_huge_limit_delays_no_request() -> None:
    limits = make_limits(1e9)
    assert all(limits.try_acquire('t1', 0.01) for _ in range(1000))


def test_a_new_holder_grants_no_burst() -> None:
    for limit in LIMITS_PER_S:
        assert not make_limits(limit).try_acquire('t1', 0)
        assert not make_limits(limit).try_acquire(
            't1', min(0.9 / max(limit, 1), 0.9)
        )


def test_an_older_answer_does_not_raise_a_limit() -> None:
    limits = TargetRateLimits()
    assert limits.record_limit('t1', 1, 3, 5)
    # Granted before the limit was recorded.
    assert not limits.record_limit('t1', math.inf, 4.9, 6)
    assert not limits.record_limit('t1', 8, 5, 6)
    assert limits.limits_by_target() == {'t1': 1}
    assert limits.record_limit('t1', 0.5, -math.inf, 7)
    assert not limits.record_limit('t1', math.inf, 6.9, 8)
    assert limits.record_limit('t1', math.inf, 7.1, 8)
    assert not limits.limits_by_target()
    assert limits.try_acquire('t1', 8)


def test_a_repeated_limit_outdates_earlier_grants() -> None:
    limits = make_limits(1)
    assert limits.record_limit('t1', 1, 2, 3)
    assert not limits.record_limit('t1', math.inf, 2.5, 4)


def test_a_raised_limit_grants_no_extra_burst() -> None:
    limits = make_limits(1)
    limits.permit_wait_s('t1', 1, 10)
    limits.record_limit('t1', 100, 11, 12)
    assert sum(limits.try_acquire('t1', 12) for _ in range(50)) == 1
    limits.record_limit('t1', 1, 13, 30)
    assert sum(limits.try_acquire('t1', 30) for _ in range(50)) == 1


def test_only_the_requests_own_grant_counts() -> None:
    limits = make_limits(1)
    job = make_job('m0')
    job.target = 't1'
    job.granted_s = 5
    jobs = {job.assignment_req.call_id: job}

    def note(target: str, per_s: float, call: str) -> bool:
        begun_s = find_granted_s(jobs, call, target)
        return limits.record_limit(target, per_s, begun_s, 6)

    assert note('t2', math.inf, 'gone')
    assert not limits.is_limited('t2')
    assert not note('t1', 9, 'gone')
    job.target = 't3'
    assert not note('t1', 9, job.assignment_req.call_id)
    job.target = 't1'
    assert note('t1', 9, job.assignment_req.call_id)


def test_orders_reserve_permits_in_advance() -> None:
    limits = make_limits(1)
    assert limits.reserve_permit('t1', 1) == 0
    assert limits.reserve_permit('t1', 1) == pytest.approx(1)
    assert limits.reserve_permit('t1', 1) == pytest.approx(2)
    assert not limits.try_acquire('t1', 2.9)
    assert limits.try_acquire('t1', 4.1)
    assert limits.reserve_permit('other', 1) == 0


def test_refused_callers_get_different_retry_times() -> None:
    limits = make_limits(2)
    retry_times_s = [limits.schedule_retry('t1', 3, 10) for _ in range(4)]
    steps = [
        later - sooner for sooner, later in itertools.pairwise(retry_times_s)
    ]
    assert retry_times_s[0] == pytest.approx(3)
    assert steps == pytest.approx([0.5, 0.5, 0.5])
    # Callers that were refused long ago have already retried.
    assert limits.schedule_retry('t1', 3, 60) == pytest.approx(3)


def test_limits_are_bounded_and_removed() -> None:
    limits = TargetRateLimits()
    for number in range(MAX_LIMITED_TARGETS + 5):
        limits.record_limit(f't{number}', 1, -math.inf, 0)
    assert len(limits.limits_by_target()) == MAX_LIMITED_TARGETS
    limits.forget_removed_targets(['t9'], REMOVED_TARGET_TTL_S)
    assert len(limits.limits_by_target()) == MAX_LIMITED_TARGETS
    limits.forget_removed_targets(['t9'], REMOVED_TARGET_TTL_S + 1)
    assert set(limits.limits_by_target()) == {'t9'}


def test_a_request_goes_to_a_target_with_a_permit() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm0'))
    pool.rate_limits.record_limit('t1', 1, -math.inf, 0)
    for number in range(8):
        decision = pool.submit(make_job('m0'), 0.5 + number / 100)
        assert isinstance(decision, Assignment)
        assert decision.target == 't2'
        assert not decision.has_permit


def test_a_model_is_loaded_elsewhere_if_its_target_is_limited() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm1'))
    pool.rate_limits.record_limit('t1', 0.2, -math.inf, 0)
    assert pool.submit(make_job('m0'), 0) is None
    assert [step.model for step in pool.targets['t2'].steps] == ['m0']


def test_urgent_requests_get_permits_first() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    pool.rate_limits.record_limit('t1', 1, -math.inf, 0)
    patient = make_job('m0', priority=3, first_event_deadline_s=9)
    urgent = make_job('m0', priority=1, first_event_deadline_s=9)
    assert pool.submit(patient, 0.1) is None
    assert pool.submit(urgent, 0.2) is None
    assert not pool.grant_waiting_jobs(0.9)
    granted = pool.grant_waiting_jobs(1.05)
    assert [job for job, _ in granted] == [urgent]
    assert granted[0][1].has_permit
    assert [job for job, _ in pool.grant_waiting_jobs(2.1)] == [patient]
    assert not pool.rate_limit_queue


def test_requests_that_cannot_be_in_time_are_refused_at_once() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    pool.rate_limits.record_limit('t1', 0.5, -math.inf, 0)
    refused = [
        pool.submit(make_job('m0', first_event_deadline_s=1), 0)
        for _ in range(3)
    ]
    assert all(
        isinstance(one, Refusal) and one.is_rate_limited for one in refused
    )
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
    pool = make_pool(make_entry('t1', 'm0'))
    pool.rate_limits.record_limit('t1', 1, -math.inf, 0)
    patient = make_job('m0', priority=3, first_event_deadline_s=2.5)
    assert pool.submit(patient, 0) is None
    for _ in range(3):
        assert (
            pool.submit(make_job('m0', first_event_deadline_s=9), 0.1) is None
        )
    assert pool.collect_jobs_to_reassign(0.2) == [patient]


def test_waiting_requests_are_granted_when_the_limit_ends() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    pool.rate_limits.record_limit('t1', 0.5, -math.inf, 0)
    jobs = [make_job('m0', first_event_deadline_s=9) for _ in range(3)]
    assert [pool.submit(job, 0) for job in jobs] == [None, None, None]
    pool.rate_limits.record_limit('t1', math.inf, 0.1, 0.2)
    granted = pool.grant_waiting_jobs(0.3)
    assert len(granted) == 3
    assert not any(one.has_permit for _, one in granted)


def test_requests_at_a_removed_limited_target_are_displaced() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm1', on_disk=()))
    pool.rate_limits.record_limit('t1', 0.5, -math.inf, 0)
    job = make_job('m0', first_event_deadline_s=9)
    assert pool.submit(job, 0) is None
    assert pool.apply_entries([make_entry('t2', 'm0', incarnation=2)], 0.1) == [
        job
    ]
    pool.remove_job(job)
    assert not pool.rate_limit_queue


def make_plain_dispatcher(*limits: float) -> tuple[Dispatcher, PlainPool]:
    """Return a dispatcher and a plain pool of targets with these limits."""
    budget_cfg = ResendBudgetConfig(ratio=0.2, slack=50, window_s=10)
    dispatcher = Dispatcher(ResendBudgets(budget_cfg))
    pool = PlainPool(dispatcher.rate_limits)
    dispatcher.pools['ledger'] = pool
    names = [f't{number}' for number, _ in enumerate(limits)]
    pool.apply_entries(
        [make_entry(name, service='ledger', slots=8) for name in names], 0
    )
    for name, limit in zip(names, limits, strict=True):
        dispatcher.rate_limits.record_limit(name, limit, -math.inf, 0)
    return dispatcher, pool


def test_plain_requests_wait_in_order_for_permits() -> None:
    dispatcher, _ = make_plain_dispatcher(1)
    assignment_reqs = [make_assignment_req(deadline_s=8) for _ in range(3)]
    assert not any(
        dispatcher.submit(assignment_req, 0)
        for assignment_req in assignment_reqs
    )
    assert not dispatcher.decide_due_jobs(0.9)
    decision = [
        dispatcher.decide_due_jobs(at_s) for at_s in (1.05, 1.5, 2.1, 3.2)
    ]
    calls = [[call for call, _ in one] for one in decision]
    assert calls == [
        [assignment_reqs[0].call_id],
        [],
        [assignment_reqs[1].call_id],
        [assignment_reqs[2].call_id],
    ]
    newcomer = make_assignment_req(deadline_s=20)
    assert dispatcher.submit(make_assignment_req(deadline_s=20), 3.3) is None
    # The permit that is available belongs to the request that waits.
    assert dispatcher.submit(newcomer, 4.4) is None


def test_plain_requests_without_a_permit_in_time_are_refused() -> None:
    dispatcher, pool = make_plain_dispatcher(0.5, 0.5)
    decision = [
        dispatcher.submit(make_assignment_req(deadline_s=3), 0)
        for _ in range(6)
    ]
    refused = [one for one in decision if isinstance(one, Refusal)]
    assert len(refused) == 4
    assert all(one.is_rate_limited for one in refused)
    retry_times_s = [one.retry_after_s for one in refused]
    assert sorted(set(retry_times_s)) == retry_times_s
    assert len(pool.waiting_jobs) == 2


# Guards against a permit for a request that has no time left to use it.
def test_a_permit_goes_to_a_request_that_can_meet_its_deadline() -> None:
    dispatcher, pool = make_plain_dispatcher(1)
    expiring_req = make_assignment_req(deadline_s=1.5)
    later_req = make_assignment_req(deadline_s=9)
    assert dispatcher.submit(expiring_req, 0) is None
    assert dispatcher.submit(later_req, 0) is None
    # The holder checks again after the first request's deadline.
    decision = dict(dispatcher.decide_due_jobs(1.49))
    assert isinstance(decision[expiring_req.call_id], Refusal)
    assert isinstance(decision[later_req.call_id], Assignment)


# Guards against slots of a limited target that count as free for requests which
# wait for another target.
def test_slots_of_a_limited_target_do_not_shorten_the_wait() -> None:
    _, pool = make_plain_dispatcher(0.1, math.inf)
    usable = list(pool.targets.values())
    unlimited_wait_s = pool.expected_wait_s(make_job(), usable[1:], 0)
    assert pool.expected_wait_s(make_job(), usable, 0) == unlimited_wait_s


def test_targets_without_a_limit_are_not_delayed() -> None:
    dispatcher, _ = make_plain_dispatcher(0.2, math.inf)
    for number in range(20):
        assignment_req = make_assignment_req()
        decision = dispatcher.submit(assignment_req, number / 10)
        assert isinstance(decision, Assignment)
        assert decision.target == 't1'
        dispatcher.pools['ledger'].remove_job(
            Job(assignment_req, 0, target='t1')
        )
