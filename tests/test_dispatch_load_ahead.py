"""Which models are loaded before they are asked for."""

from mimosaworks.dispatch import EnginePool, load_ahead
from mimosaworks.dispatch.store_loads import QUIET_S
from tests.dispatch_world import entry, terms

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
