"""Tests of the predicted copies of weights on targets."""

import attrs

from mimosaworks.dispatch import (
    Refusal,
    Step,
    preload_models,
    with_current_duration,
)
from mimosaworks.dispatch.load_time import expected_load_s, needs_store_load
from mimosaworks.dispatch.store_load_scheduler import IDLE_AFTER_S
from mimosaworks.dispatch.weight_copies import disk_after_load
from tests.dispatch_world import (
    DISK_S,
    STORE_S,
    finish_steps,
    make_engine_cfg,
    make_entry,
    make_job,
    make_pool,
)

# All copies that fit on a disk, the least recently used first.
FULL_DISK = ('m0', 'm1', 'm2')


def test_a_load_evicts_the_least_recently_used_copy() -> None:
    full_cfg = make_engine_cfg(disk_models=3)
    assert disk_after_load(FULL_DISK, full_cfg.models['m5'], full_cfg) == [
        'm1',
        'm2',
        'm5',
    ]
    assert disk_after_load(FULL_DISK, full_cfg.models['m0'], full_cfg) == [
        'm1',
        'm2',
        'm0',
    ]
    unknown_cfg = make_engine_cfg()
    assert disk_after_load(
        FULL_DISK, unknown_cfg.models['m5'], unknown_cfg
    ) == [
        *FULL_DISK,
        'm5',
    ]


# Guards against requests that waited for weights that an earlier load had
# evicted from the disk: their loads used the weight store without being
# counted.
def test_a_load_does_not_count_on_copies_that_an_earlier_load_evicts() -> None:
    pool = make_pool(make_entry('t1', on_disk=FULL_DISK), disk_models=3)
    target = pool.targets['t1']
    pool.submit(make_job('m5'), 1)
    assert [step.is_from_store for step in target.steps] == [True]
    refusal = pool.submit(make_job('m0'), 1)
    assert isinstance(refusal, Refusal)
    patient = make_job('m2')
    assert pool.submit(patient, 1) is None
    assert needs_store_load(target, target.engine_cfg.models['m0'])
    assert not needs_store_load(target, target.engine_cfg.models['m2'])
    finish_steps(pool, target, 1 + STORE_S)
    pool.remove_job(patient)
    pool.submit(patient, 1 + STORE_S)
    assert [step.is_from_store for step in target.steps] == [False]
    finish_steps(pool, target, 2 + STORE_S)
    assert target.on_disk == ['m1', 'm5', 'm2']


# The same fault, with a copy that was evicted in another way after the load was
# planned.
def test_a_load_from_disk_is_not_sent_once_its_copy_is_evicted() -> None:
    pool = make_pool(make_entry('t1', on_disk=FULL_DISK), disk_models=3)
    target = pool.targets['t1']
    pool.submit(make_job('m0'), 1)
    step = target.steps[0]
    assert target.can_run_step(step)
    pool.apply_entries((make_entry('t1', on_disk=('m1', 'm2', 'm4')),), 2)
    assert not target.can_run_step(step)


def test_an_entry_older_than_a_load_does_not_restore_evicted_copies() -> None:
    pool = make_pool(make_entry('t1', on_disk=FULL_DISK), disk_models=3)
    target = pool.targets['t1']
    pool.submit(make_job('m5'), 1)
    finish_steps(pool, target, 1 + STORE_S)
    pool.apply_entries(
        (make_entry('t1', 'm5', on_disk=FULL_DISK),), 1.1 + STORE_S
    )
    assert target.on_disk == ['m1', 'm2', 'm5']


# Guards against models that were never served because loads of other models
# evicted their last copies from the targets' disks.
def test_a_load_goes_where_it_evicts_no_last_copy() -> None:
    pool = make_pool(
        make_entry('t1', on_disk=('m0', 'm1', 'm2')),
        make_entry('t2', on_disk=('m1', 'm3', 'm4')),
        make_entry('t3', on_disk=('m2', 'm3', 'm4')),
        disk_models=3,
    )
    pool.submit(make_job('m8'), 1)
    assert not pool.targets['t1'].steps
    assert pool.targets['t2'].steps or pool.targets['t3'].steps


def test_no_preload_evicts_the_last_copy_of_another_model() -> None:
    pool = make_pool(make_entry('t1', on_disk=FULL_DISK), disk_models=3)
    for tick in range(int(4 * IDLE_AFTER_S)):
        preload_models((pool,), float(tick))
    assert not pool.targets['t1'].steps


# Guards against engines that refused requests and orders for half a second
# after each load that was expected from memory but came from the disk.
def test_a_load_evicts_the_oldest_copy_from_memory() -> None:
    pool = make_pool(make_entry('t1', in_memory=('m0', 'm1')), memory_models=2)
    target = pool.targets['t1']
    target.engine_cfg = attrs.evolve(
        target.engine_cfg,
        models={
            name: attrs.evolve(model, memory_load_s=DISK_S / 2)
            for name, model in target.engine_cfg.models.items()
        },
    )
    pool.submit(make_job('m5'), 1)
    assert expected_load_s(target, target.engine_cfg.models['m1']) == DISK_S / 2
    assert expected_load_s(target, target.engine_cfg.models['m0']) == DISK_S
    finish_steps(pool, target, 1 + DISK_S)
    assert target.in_memory == ['m1', 'm5']


def test_a_load_whose_copy_left_memory_gets_the_disk_load_time() -> None:
    pool = make_pool(make_entry('t1', in_memory=('m5',)), memory_models=2)
    target = pool.targets['t1']
    planned = Step(is_load=True, model='m5', duration_s=DISK_S / 2)
    target.in_memory.clear()
    assert with_current_duration(target, planned).duration_s == DISK_S
