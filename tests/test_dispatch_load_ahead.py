"""Which models are loaded before they are asked for."""

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import EnginePool, Refusal, load_ahead
from mimosaworks.dispatch.store_loads import QUIET_S, RETURN_S
from tests.dispatch_world import (
    STORE_S,
    carry_out,
    entry,
    make_job,
    make_pool,
    terms,
)

TICK_S = 0.05
HEARTBEAT_S = 1.2
FIRST_HALF = tuple(f'm{number}' for number in range(6))
SECOND_HALF = tuple(f'm{number}' for number in range(6, 11))  # m11 is nowhere


def tick_until(pool: EnginePool, now: float, end_s: float) -> list[str]:
    """Run the holder's rounds; return the models loaded from the store."""
    while now < end_s:
        load_ahead((pool,), now)
        now += TICK_S
    return [
        step.model
        for target in pool.targets.values()
        for step in target.steps
        if step.is_from_store
    ]


def sync(pool: EnginePool) -> None:
    for target in pool.targets.values():
        target.is_synced = True


# Models were never served: the first loads of a holder went to models that lay
# on targets whose entries it had not read yet.
def test_no_load_goes_to_a_model_of_a_target_that_is_not_known_yet() -> None:
    pool = EnginePool(terms())
    known = []
    now: float = 0
    loaded: list[str] = []
    for number in range(4):
        on_disk = FIRST_HALF if number < 3 else SECOND_HALF
        known.append(entry(f't{number}', on_disk=on_disk))
        pool.adopt(known, now)
        sync(pool)
        loaded = tick_until(pool, now, now + HEARTBEAT_S)
        now += HEARTBEAT_S
    assert now > QUIET_S
    assert not loaded
    loaded = tick_until(pool, now, now + QUIET_S + 2 * HEARTBEAT_S)
    assert loaded == ['m11']


def pool_that_lost(state: TargetState) -> EnginePool:
    """Return a pool whose only target with m6 to m10 has left the list."""
    stays = entry('t1', on_disk=FIRST_HALF)
    leaves = entry('t2', on_disk=(*SECOND_HALF, 'm11'), state=state)
    pool = make_pool(stays, leaves)
    pool.adopt((stays,), 0)
    pool.submit(make_job('m6', first_by_s=1), 0)
    return pool


# Loads that others waited for went to models that were back with the disk of
# a crashed target within a second.
def test_a_crashed_targets_models_are_loaded_when_it_does_not_return() -> None:
    pool = pool_that_lost(TargetState.READY)
    assert not tick_until(pool, 0, RETURN_S - TICK_S)
    pool.submit(make_job('m6', first_by_s=RETURN_S + 1), RETURN_S)
    assert tick_until(pool, RETURN_S, RETURN_S + TICK_S) == ['m6']


def test_a_leaving_targets_models_are_not_waited_for() -> None:
    pool = pool_that_lost(TargetState.DRAINING)
    assert tick_until(pool, 0, RETURN_S - TICK_S) == ['m6']


# Models were never served: a request that came just as the weight store was
# free took it, before models that many callers had been refused for.
def test_a_request_does_not_overtake_models_that_more_callers_want() -> None:
    names = (f't{number}' for number in range(8))
    pool = make_pool(*(entry(name, on_disk=FIRST_HALF) for name in names))
    pool.loads.gate.limit = 1
    first = make_job('m9')
    assert pool.submit(first, 1) is None
    for _ in range(4):
        assert isinstance(pool.submit(make_job('m8'), 2), Refusal)
    carry_out(pool, pool.targets[first.target], 1 + STORE_S)
    now = 1.1 + STORE_S
    pool.submit(make_job('m7', give_up_s=now + 60), now)
    assert tick_until(pool, now, now + TICK_S) == ['m8']
