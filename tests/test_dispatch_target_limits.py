"""Limits that targets name, as the holder counts them."""

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
SIZES = (0, 0.2, 1, 2.5, 7, 40)


def named(limit: float, target: str = 't1') -> TargetLimits:
    limits = TargetLimits()
    limits.note(target, limit, -math.inf, 0)
    return limits


@pytest.mark.parametrize('limit', SIZES)
def test_places_keep_to_the_limit_in_any_four_seconds(limit: float) -> None:
    limits = named(limit)
    taken: list[float] = []
    for step in range(400):
        now = step * TICK_S
        taken += [
            now for _ in range(200) if now % 3 > 1 and limits.take('t1', now)
        ]
    for begin_s in taken:
        count = sum(begin_s <= at_s < begin_s + 4.5 for at_s in taken)
        assert count <= 6 * limit + 5
    # A limited target is not left out.
    assert len(taken) >= 0.5 * (limit or MIN_PERMITS_PER_S) * 20 - 1


# Guards against places that are lost between two looks, so that requests are
# refused though their wait was predicted to end in time.
@pytest.mark.parametrize('limit', [0.9, 3, 4.4])
def test_no_place_is_lost_between_two_looks(limit: float) -> None:
    limits = named(limit)
    looks = [number * TICK_S + 0.013 for number in range(1200)]
    taken = sum(limits.take('t1', now) for now in looks)
    assert taken >= 60 * limit - 1


def test_a_huge_limit_holds_nothing_up() -> None:
    limits = named(1e9)
    assert all(limits.take('t1', 0.01) for _ in range(1000))


def test_a_new_holder_gives_no_burst() -> None:
    for limit in SIZES:
        assert not named(limit).take('t1', 0)
        assert not named(limit).take('t1', min(0.9 / max(limit, 1), 0.9))


def test_an_older_answer_lifts_no_limit() -> None:
    limits = TargetLimits()
    assert limits.note('t1', 1, 3, 5)
    # Granted before the limit was noted.
    assert not limits.note('t1', math.inf, 4.9, 6)
    assert not limits.note('t1', 8, 5, 6)
    assert limits.all_per_s() == {'t1': 1}
    assert limits.note('t1', 0.5, -math.inf, 7)
    assert not limits.note('t1', math.inf, 6.9, 8)
    assert limits.note('t1', math.inf, 7.1, 8)
    assert not limits.all_per_s()
    assert limits.take('t1', 8)


def test_a_limit_that_is_named_again_has_to_be_outlived() -> None:
    limits = named(1)
    assert limits.note('t1', 1, 2, 3)
    assert not limits.note('t1', math.inf, 2.5, 4)


def test_a_raised_limit_gives_no_more_at_once_than_its_own() -> None:
    limits = named(1)
    limits.wait_s('t1', 1, 10)
    limits.note('t1', 100, 11, 12)
    assert sum(limits.take('t1', 12) for _ in range(50)) == 1
    limits.note('t1', 1, 13, 30)
    assert sum(limits.take('t1', 30) for _ in range(50)) == 1


def test_only_the_requests_own_grant_counts() -> None:
    limits = named(1)
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


def test_orders_take_places_in_advance() -> None:
    limits = named(1)
    assert limits.book('t1', 1) == 0
    assert limits.book('t1', 1) == pytest.approx(1)
    assert limits.book('t1', 1) == pytest.approx(2)
    assert not limits.take('t1', 2.9)
    assert limits.take('t1', 4.1)
    assert limits.book('other', 1) == 0


def test_refused_callers_are_told_different_times() -> None:
    limits = named(2)
    told = [limits.book_return('t1', 3, 10) for _ in range(4)]
    steps = [later - sooner for sooner, later in itertools.pairwise(told)]
    assert told[0] == pytest.approx(3)
    assert steps == pytest.approx([0.5, 0.5, 0.5])
    # Those who were refused long ago have come back.
    assert limits.book_return('t1', 3, 60) == pytest.approx(3)


def test_limits_are_bounded_and_forgotten() -> None:
    limits = TargetLimits()
    for number in range(MAX_LIMITED_TARGETS + 5):
        limits.note(f't{number}', 1, -math.inf, 0)
    assert len(limits.all_per_s()) == MAX_LIMITED_TARGETS
    limits.forget_removed_targets(['t9'], REMOVED_TARGET_TTL_S)
    assert len(limits.all_per_s()) == MAX_LIMITED_TARGETS
    limits.forget_removed_targets(['t9'], REMOVED_TARGET_TTL_S + 1)
    assert set(limits.all_per_s()) == {'t9'}


def test_a_request_goes_to_the_target_that_has_a_place() -> None:
    pool = make_pool(entry('t1', 'm0'), entry('t2', 'm0'))
    pool.limits.note('t1', 1, -math.inf, 0)
    for number in range(8):
        decided = pool.submit(make_job('m0'), 0.5 + number / 100)
        assert isinstance(decided, Assignment)
        assert decided.target == 't2'
        assert not decided.is_counted


def test_a_model_is_loaded_elsewhere_when_its_target_takes_too_little() -> None:
    pool = make_pool(entry('t1', 'm0'), entry('t2', 'm1'))
    pool.limits.note('t1', 0.2, -math.inf, 0)
    assert pool.submit(make_job('m0'), 0) is None
    assert [step.model for step in pool.targets['t2'].steps] == ['m0']


def test_patient_requests_wait_and_urgent_ones_go_first() -> None:
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


def test_what_cannot_be_in_time_is_refused_at_once() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 0.5, -math.inf, 0)
    refused = [pool.submit(make_job('m0', first_by_s=1), 0) for _ in range(3)]
    assert all(isinstance(one, Refusal) and one.is_limited for one in refused)
    # Each has its own place: they do not return together.
    told = [one.retry_after_s for one in refused if isinstance(one, Refusal)]
    assert told == pytest.approx([told[0], told[0] + 2, told[0] + 4])
    assert told[0] >= 2
    assert 'rate limit of t1 is 0.5/s' in str(refused[0])


def test_waiting_requests_that_others_made_late_are_refused() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 1, -math.inf, 0)
    patient = make_job('m0', priority=3, first_by_s=2.5)
    assert pool.submit(patient, 0) is None
    for _ in range(3):
        assert pool.submit(make_job('m0', first_by_s=9), 0.1) is None
    assert pool.overdue(0.2) == [patient]


def test_waiting_requests_go_when_the_limit_ends() -> None:
    pool = make_pool(entry('t1', 'm0'))
    pool.limits.note('t1', 0.5, -math.inf, 0)
    jobs = [make_job('m0', first_by_s=9) for _ in range(3)]
    assert [pool.submit(job, 0) for job in jobs] == [None, None, None]
    pool.limits.note('t1', math.inf, 0.1, 0.2)
    granted = pool.next_grants(0.3)
    assert len(granted) == 3
    assert not any(one.is_counted for _, one in granted)


def test_requests_at_a_limited_target_that_leaves_are_placed_anew() -> None:
    pool = make_pool(entry('t1', 'm0'), entry('t2', 'm1', on_disk=()))
    pool.limits.note('t1', 0.5, -math.inf, 0)
    job = make_job('m0', first_by_s=9)
    assert pool.submit(job, 0) is None
    assert pool.adopt([entry('t2', 'm0', born=2)], 0.1) == [job]
    pool.drop(job)
    assert not pool.paced


def plain(*limits: float) -> tuple[Dispatcher, PlainPool]:
    """Return a dispatcher of a ledger with targets that named limits."""
    terms = ResendTerms(ratio=0.2, slack=50, window_s=10)
    dispatcher = Dispatcher(ResendBudgets(terms))
    pool = PlainPool(dispatcher.limits)
    dispatcher.pools['ledger'] = pool
    names = [f't{number}' for number, _ in enumerate(limits)]
    pool.adopt([entry(name, service='ledger', slots=8) for name in names], 0)
    for name, limit in zip(names, limits, strict=True):
        dispatcher.limits.note(name, limit, -math.inf, 0)
    return dispatcher, pool


def test_plain_requests_wait_in_order_for_their_place() -> None:
    dispatcher, _ = plain(1)
    asks = [make_ask(give_up_s=8) for _ in range(3)]
    assert not any(dispatcher.submit(ask, 0) for ask in asks)
    assert not dispatcher.tick(0.9)
    decided = [dispatcher.tick(at_s) for at_s in (1.05, 1.5, 2.1, 3.2)]
    calls = [[call for call, _ in one] for one in decided]
    assert calls == [[asks[0].call], [], [asks[1].call], [asks[2].call]]
    newcomer = make_ask(give_up_s=20)
    assert dispatcher.submit(make_ask(give_up_s=20), 3.3) is None
    # The place that has come is the one of the request that waits.
    assert dispatcher.submit(newcomer, 4.4) is None


def test_plain_requests_use_what_is_free_and_refuse_the_rest() -> None:
    dispatcher, pool = plain(0.5, 0.5)
    decided = [dispatcher.submit(make_ask(give_up_s=3), 0) for _ in range(6)]
    refused = [one for one in decided if isinstance(one, Refusal)]
    assert len(refused) == 4
    assert all(one.is_limited for one in refused)
    told = [one.retry_after_s for one in refused]
    assert sorted(set(told)) == told
    assert len(pool.waiting) == 2


# Guards against a place for a request that has no time left to use it.
def test_a_place_goes_to_a_request_that_can_still_be_answered() -> None:
    dispatcher, pool = plain(1)
    late = make_ask(give_up_s=1.5)
    later = make_ask(give_up_s=9)
    assert dispatcher.submit(late, 0) is None
    assert dispatcher.submit(later, 0) is None
    # The holder looks again when the first one's time is over.
    decided = dict(dispatcher.tick(1.49))
    assert isinstance(decided[late.call], Refusal)
    assert isinstance(decided[later.call], Assignment)


# Guards against slots of a limited target that count as free for requests
# which wait for another one.
def test_the_wait_beside_a_limited_target_is_that_for_the_others() -> None:
    _, pool = plain(0.1, math.inf)
    usable = list(pool.targets.values())
    alone_s = pool.wait_s(make_job(), usable[1:], 0)
    assert pool.wait_s(make_job(), usable, 0) == alone_s


def test_other_targets_are_not_slowed() -> None:
    dispatcher, _ = plain(0.2, math.inf)
    for number in range(20):
        ask = make_ask()
        decided = dispatcher.submit(ask, number / 10)
        assert isinstance(decided, Assignment)
        assert decided.target == 't1'
        dispatcher.pools['ledger'].drop(Job(ask, 0, target='t1'))
