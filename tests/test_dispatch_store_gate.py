"""Tests of the adaptive limit on concurrent weight store loads."""

import pytest

from mimosaworks.dispatch.concurrency_limiter import ConcurrencyLimiter

UNSHARED_LOAD_S = 6.0
MAX_LOADS = 100
# Time until a report shows the end of a load.
ORDER_OVERHEAD_S = 0.3


def run_load_rounds(
    limiter: ConcurrencyLimiter, full_speed_loads: int, rounds: int
) -> None:
    """Run rounds of as many concurrent loads as the limiter permits.

    The store serves full_speed_loads of them at full speed.
    """
    now: float = 0
    for _ in range(rounds):
        names = []
        while limiter.has_capacity(MAX_LOADS):
            names.append(f't{len(names)}')
            limiter.reserve_load(names[-1], now)
        for name in names:
            limiter.record_load_start(name, now)
        now += UNSHARED_LOAD_S * max(len(names) / full_speed_loads, 1)
        for name in names:
            limiter.complete_load(name, UNSHARED_LOAD_S, now)


def test_the_limit_rises_for_a_store_with_unused_bandwidth() -> None:
    limiter = ConcurrencyLimiter()
    run_load_rounds(limiter, full_speed_loads=8, rounds=4)
    assert 5 <= limiter.limit <= 9


def test_the_limit_falls_to_what_the_store_serves_at_full_speed() -> None:
    limiter = ConcurrencyLimiter(limit=11)
    run_load_rounds(limiter, full_speed_loads=2, rounds=6)
    assert limiter.limit <= 3


def test_one_load_is_always_permitted() -> None:
    limiter = ConcurrencyLimiter(limit=1)
    assert limiter.has_capacity(0)
    limiter.reserve_load('t1', 0)
    assert not limiter.has_capacity(MAX_LOADS)
    limiter.cancel_load('t1')
    assert limiter.has_capacity(MAX_LOADS)


def test_a_failed_load_does_not_change_the_limit() -> None:
    limiter = ConcurrencyLimiter()
    limiter.reserve_load('t1', 0)
    limiter.cancel_load('t1')
    limiter.complete_load('t1', UNSHARED_LOAD_S, 1000)
    assert limiter.limit == ConcurrencyLimiter().limit


def run_continuous_loads(
    limiter: ConcurrencyLimiter, full_speed_loads: int, rounds: int
) -> list[tuple[int, int]]:
    """Return the loads in progress and the limit after each of many loads.

    A load starts as soon as the limiter permits it and takes longer in
    proportion to the loads in progress when it starts.
    """
    end_times_s: dict[str, float] = {}
    samples: list[tuple[int, int]] = []
    now: float = 0
    for _ in range(rounds):
        while limiter.has_capacity(MAX_LOADS):
            name = f't{len(samples)}-{len(end_times_s)}'
            limiter.reserve_load(name, now)
            limiter.record_load_start(name, now)
            slowdown = max((len(end_times_s) + 1) / full_speed_loads, 1)
            end_times_s[name] = (
                now + UNSHARED_LOAD_S * slowdown + ORDER_OVERHEAD_S
            )
        samples.append((len(end_times_s), limiter.limit))
        name = min(end_times_s, key=end_times_s.__getitem__)
        now = end_times_s.pop(name)
        limiter.complete_load(name, UNSHARED_LOAD_S, now)
    return samples


# Guards against models that were never served: one of 3 loads that shared a
# store with bandwidth for 2 lowered the limit to 1, and half of the store
# stayed idle while models were requested.
@pytest.mark.parametrize('full_speed_loads', [2, 3, 4, 8])
def test_a_shared_load_does_not_leave_a_part_of_the_store_idle(
    full_speed_loads: int,
) -> None:
    samples = run_continuous_loads(
        ConcurrencyLimiter(), full_speed_loads, rounds=80
    )
    later_samples = samples[4 * full_speed_loads :]
    assert min(used for used, _ in later_samples) >= full_speed_loads
    assert max(limit for _, limit in later_samples) <= full_speed_loads + 2


def test_a_straggler_lowers_the_limit_for_a_few_loads_only() -> None:
    limiter = ConcurrencyLimiter()
    for name in ('t1', 't2'):
        limiter.reserve_load(name, 0)
        limiter.record_load_start(name, 0)
    limiter.complete_load('t1', UNSHARED_LOAD_S, UNSHARED_LOAD_S)
    limiter.complete_load('t2', UNSHARED_LOAD_S, 3 * UNSHARED_LOAD_S)
    samples = run_continuous_loads(limiter, full_speed_loads=4, rounds=24)
    assert samples[-1][0] >= 4


# Guards against loads that were queued together and counted as running
# together: the ends of the first ones raised the limit before the last one
# could show that it shared the store.
def test_loads_queued_together_count_from_when_each_is_sent() -> None:
    limiter = ConcurrencyLimiter(limit=3)
    for name in ('t1', 't2', 't3'):
        limiter.reserve_load(name, 0)
    for name in ('t1', 't2', 't3'):
        limiter.record_load_start(name, 0)
    limiter.complete_load('t1', UNSHARED_LOAD_S, UNSHARED_LOAD_S)
    limiter.complete_load('t2', UNSHARED_LOAD_S, UNSHARED_LOAD_S)
    assert limiter.limit == 3
    limiter.complete_load('t3', UNSHARED_LOAD_S, 1.5 * UNSHARED_LOAD_S)
    assert limiter.limit == 2
