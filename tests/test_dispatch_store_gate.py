"""How many loads from the weight store run at once."""

from mimosaworks.dispatch.store_gate import StoreGate

ALONE_S = 6.0
MOST = 100


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
