"""Tests of models that are loaded before they are requested."""

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import EnginePool, Refusal, preload_models
from mimosaworks.dispatch.store_load_scheduler import (
    CRASHED_TARGET_RETURN_S,
    IDLE_AFTER_S,
)
from tests.dispatch_world import (
    STORE_S,
    finish_steps,
    make_engine_cfg,
    make_entry,
    make_job,
    make_pool,
)

TICK_S = 0.05
HEARTBEAT_S = 1.2
FIRST_HALF = tuple(f'm{number}' for number in range(6))
# The model m11 is on no target.
SECOND_HALF = tuple(f'm{number}' for number in range(6, 11))


def run_ticks(pool: EnginePool, now: float, end_s: float) -> list[str]:
    """Run the holder's ticks; return the models loaded from the store."""
    while now < end_s:
        preload_models((pool,), now)
        now += TICK_S
    return [
        step.model
        for target in pool.targets.values()
        for step in target.steps
        if step.is_from_store
    ]


def mark_targets_synced(pool: EnginePool) -> None:
    for target in pool.targets.values():
        target.is_synced = True


# Guards against models that were never served: a new holder first loaded models
# that were on targets whose entries it had not read yet.
def test_models_of_targets_that_register_later_are_not_preloaded() -> None:
    pool = EnginePool(make_engine_cfg())
    known_entries = []
    now: float = 0
    loaded_models: list[str] = []
    for number in range(4):
        on_disk = FIRST_HALF if number < 3 else SECOND_HALF
        known_entries.append(make_entry(f't{number}', on_disk=on_disk))
        pool.apply_entries(known_entries, now)
        mark_targets_synced(pool)
        loaded_models = run_ticks(pool, now, now + HEARTBEAT_S)
        now += HEARTBEAT_S
    assert now > IDLE_AFTER_S
    assert not loaded_models
    loaded_models = run_ticks(pool, now, now + IDLE_AFTER_S + 2 * HEARTBEAT_S)
    assert loaded_models == ['m11']


def pool_after_target_removal(state: TargetState) -> EnginePool:
    """Return a pool whose only target with m6 to m10 has no entry any more."""
    remaining_entry = make_entry('t1', on_disk=FIRST_HALF)
    removed_entry = make_entry('t2', on_disk=(*SECOND_HALF, 'm11'), state=state)
    pool = make_pool(remaining_entry, removed_entry)
    pool.apply_entries((remaining_entry,), 0)
    pool.submit(make_job('m6', first_event_deadline_s=1), 0)
    return pool


# Guards against loads of models that a crashed target had on its disk and
# served again within a second, while other models waited for a load.
def test_a_crashed_targets_models_are_loaded_when_it_does_not_return() -> None:
    pool = pool_after_target_removal(TargetState.READY)
    assert not run_ticks(pool, 0, CRASHED_TARGET_RETURN_S - TICK_S)
    pool.submit(
        make_job('m6', first_event_deadline_s=CRASHED_TARGET_RETURN_S + 1),
        CRASHED_TARGET_RETURN_S,
    )
    assert run_ticks(
        pool, CRASHED_TARGET_RETURN_S, CRASHED_TARGET_RETURN_S + TICK_S
    ) == ['m6']


def test_models_of_a_drained_target_are_loaded_at_once() -> None:
    pool = pool_after_target_removal(TargetState.DRAINING)
    assert run_ticks(pool, 0, CRASHED_TARGET_RETURN_S - TICK_S) == ['m6']


# Guards against models that were never served: a request that came just when
# the weight store was free got the load, before models that many callers had
# been refused for.
def test_a_request_does_not_take_the_load_of_a_model_with_higher_demand() -> (
    None
):
    names = (f't{number}' for number in range(8))
    pool = make_pool(*(make_entry(name, on_disk=FIRST_HALF) for name in names))
    pool.store_loads.concurrency.limit = 1
    first = make_job('m9')
    assert pool.submit(first, 1) is None
    for _ in range(4):
        assert isinstance(pool.submit(make_job('m8'), 2), Refusal)
    finish_steps(pool, pool.targets[first.target], 1 + STORE_S)
    now = 1.1 + STORE_S
    pool.submit(make_job('m7', deadline_s=now + 60), now)
    assert run_ticks(pool, now, now + TICK_S) == ['m8']
