"""How many loads share the weight store."""

import pytest

from mimosaworks.dispatch.store_gate import StoreGate

ALONE_S = 6.0
MOST = 100
ORDER_OVERHEAD_S = 0.3  # until a report shows the end of a load


def run_loads(gate: StoreGate, at_full_speed: int, rounds: int) -> None:
    """Load as many at once as the gate lets, on a store of a given width."""
    now: float = 0
    for _ in range(rounds):
        names = []
        while gate.has_room(MOST):
            names.append(f't{len(names)}')
            gate.begin(names[-1], now)
        for name in names:
            gate.restart_clock(name, now)
        now += ALONE_S * max(len(names) / at_full_speed, 1)
        for name in names:
            gate.end(name, ALONE_S, now)


def test_a_wide_store_is_used_more_with_each_load() -> None:
    gate = StoreGate()
    run_loads(gate, at_full_speed=8, rounds=4)
    assert 5 <= gate.limit <= 9


def test_a_narrow_store_carries_no_more_than_it_does_at_full_speed() -> None:
    gate = StoreGate(limit=11)
    run_loads(gate, at_full_speed=2, rounds=6)
    assert gate.limit <= 3


def test_one_load_is_always_let_through() -> None:
    gate = StoreGate(limit=1)
    assert gate.has_room(0)
    gate.begin('t1', 0)
    assert not gate.has_room(MOST)
    gate.forget('t1')
    assert gate.has_room(MOST)


def test_a_failed_load_teaches_nothing() -> None:
    gate = StoreGate()
    gate.begin('t1', 0)
    gate.forget('t1')
    gate.end('t1', ALONE_S, 1000)
    assert gate.limit == StoreGate().limit


def widths_used(
    gate: StoreGate, at_full_speed: int, rounds: int
) -> list[tuple[int, int]]:
    """Return loads in progress and the limit after each of many loads.

    A load starts as soon as the gate lets it and takes longer in proportion
    to those in progress when it starts.
    """
    ends: dict[str, float] = {}
    seen: list[tuple[int, int]] = []
    now: float = 0
    for _ in range(rounds):
        while gate.has_room(MOST):
            name = f't{len(seen)}-{len(ends)}'
            gate.begin(name, now)
            gate.restart_clock(name, now)
            slowdown = max((len(ends) + 1) / at_full_speed, 1)
            ends[name] = now + ALONE_S * slowdown + ORDER_OVERHEAD_S
        seen.append((len(ends), gate.limit))
        name = min(ends, key=ends.__getitem__)
        now = ends.pop(name)
        gate.end(name, ALONE_S, now)
    return seen


# Models were never served: one load of three that shared a store of two cut
# the limit to one, and half of the store stayed idle while models were wanted.
@pytest.mark.parametrize('at_full_speed', [2, 3, 4, 8])
def test_a_shared_load_does_not_leave_a_part_of_the_store_idle(
    at_full_speed: int,
) -> None:
    seen = widths_used(StoreGate(), at_full_speed, rounds=80)
    warm = seen[4 * at_full_speed :]
    assert min(used for used, _ in warm) >= at_full_speed
    assert max(limit for _, limit in warm) <= at_full_speed + 2


def test_a_straggler_narrows_the_store_for_a_few_loads_only() -> None:
    gate = StoreGate()
    for name in ('t1', 't2'):
        gate.begin(name, 0)
        gate.restart_clock(name, 0)
    gate.end('t1', ALONE_S, ALONE_S)
    gate.end('t2', ALONE_S, 3 * ALONE_S)
    seen = widths_used(gate, at_full_speed=4, rounds=24)
    assert seen[-1][0] >= 4


# Loads that were queued together counted as running together: ends of the
# first ones raised the limit before the last could show that it shared.
def test_loads_queued_together_count_from_when_each_is_sent() -> None:
    gate = StoreGate(limit=3)
    for name in ('t1', 't2', 't3'):
        gate.begin(name, 0)
    for name in ('t1', 't2', 't3'):
        gate.restart_clock(name, 0)
    gate.end('t1', ALONE_S, ALONE_S)
    gate.end('t2', ALONE_S, ALONE_S)
    assert gate.limit == 3
    gate.end('t3', ALONE_S, 1.5 * ALONE_S)
    assert gate.limit == 2
