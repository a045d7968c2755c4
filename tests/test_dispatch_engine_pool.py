"""Tests of the engine pool's choice of targets and loads, without network.

Each test is named after the load pattern or failure that it covers.
"""

import attrs
import pytest

from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import (
    Assignment,
    EnginePool,
    Refusal,
    Step,
    apply_reported_models,
)
from mimosaworks.dispatch.capacity_queue import CAPACITY_WAIT_S
from mimosaworks.dispatch.preload import (
    load_absent_models,
    load_requested_models,
)
from mimosaworks.dispatch.store_load_scheduler import (
    IDLE_AFTER_S,
    LOAD_REPORT_DELAY_S,
)
from mimosaworks.errors import ErrorKind
from tests.dispatch_world import (
    STORE_S,
    finish_steps,
    make_entry,
    make_job,
    make_pool,
)

STORE_STEP = Step(
    is_load=True, model='m5', is_from_store=True, duration_s=STORE_S
)


def submit_all(pool: EnginePool, *jobs: object, now: float = 0) -> list[object]:
    return [pool.submit(job, now) for job in jobs]  # type: ignore[arg-type]


def test_a_loaded_model_is_answered_at_once() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm1'))
    decision = pool.submit(make_job('m1'), 0)
    assert isinstance(decision, Assignment)
    assert decision.target == 't2'


def test_concurrent_requests_for_rare_models_are_spread_over_the_targets() -> (
    None
):
    pool = make_pool(*(make_entry(f't{one}', 'm0') for one in range(4)))
    jobs = [make_job(f'm{number}') for number in range(1, 5)]
    assert submit_all(pool, *jobs) == [None, None, None, None]
    assert {job.target for job in jobs} == {'t0', 't1', 't2', 't3'}


def test_a_rare_model_is_loaded_on_a_target_with_its_weights() -> None:
    pool = make_pool(
        make_entry('t1', 'm0', on_disk=('m0',)),
        make_entry('t2', 'm0', on_disk=('m5',)),
    )
    job = make_job('m5')
    pool.submit(job, 0)
    assert job.target == 't2'


def test_the_model_that_is_not_in_use_is_evicted() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1'))
    running = make_job('m0')
    pool.submit(running, 0)
    pool.submit(make_job('m2'), 0)
    orders = [(step.is_load, step.model) for step in pool.targets['t1'].steps]
    assert orders == [(False, 'm1'), (True, 'm2')]


def test_a_request_waits_until_its_model_is_loaded() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1'))
    job = make_job('m2')
    assert pool.submit(job, 0) is None
    assert finish_steps(pool, pool.targets['t1'], 0.6) == [job]
    assert pool.grant(job, 0.6).target == 't1'


def test_a_burst_for_absent_models_leaves_targets_for_loads_from_disk() -> None:
    # A target cannot load anything else during a load from the weight store.
    pool = make_pool(
        *(make_entry(f't{one}', 'm0', on_disk=('m0', 'm1')) for one in range(8))
    )
    pool.store_loads.budget.tokens = 100
    pool.store_loads.budget.loads_per_s = 100
    jobs = [make_job(f'm{number}') for number in range(2, 12)]
    decisions = submit_all(pool, *jobs)
    waiting_jobs = [
        job for job, one in zip(jobs, decisions, strict=True) if not one
    ]
    assert len(waiting_jobs) == 2
    refusals = [one for one in decisions if isinstance(one, Refusal)]
    assert {one.kind for one in refusals} == {ErrorKind.MODEL_NOT_READY}
    local_job = make_job('m1')
    assert pool.submit(local_job, 0) is None
    assert local_job.target not in {job.target for job in waiting_jobs}


def test_loads_from_the_weight_store_keep_to_its_rate() -> None:
    pool = make_pool(
        *(make_entry(f't{one}', 'm0', on_disk=()) for one in range(40))
    )
    for number in range(1, 12):
        pool.submit(make_job(f'm{number}'), 0)
    loads = [
        step
        for target in pool.targets.values()
        for step in target.steps
        if step.is_from_store
    ]
    # A new holder starts with an empty token bucket.
    assert not loads


def test_a_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=()))
    pool.store_loads.budget.tokens = 4
    decision = pool.submit(make_job('m3', deadline_s=STORE_S / 2), 0)
    assert isinstance(decision, Refusal)
    assert decision.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert decision.retry_after_s > 0
    assert not pool.targets['t1'].steps


def test_a_model_on_no_disk_is_preloaded_for_callers_that_retry() -> None:
    # Callers come one after the other and leave before a load from the weight
    # store would end: the load starts although none of them can wait for it.
    pool = make_pool(make_entry('t1', 'm0', on_disk=()))
    pool.store_loads.budget.tokens = 4
    refusal = pool.submit(make_job('m3', first_event_deadline_s=3), 0)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_s > 1
    load_requested_models(pool, 0)
    assert [step.model for step in pool.targets['t1'].steps] == ['m3']
    load_requested_models(pool, 1)
    assert len(pool.targets['t1'].steps) == 1
    later_job = make_job('m3', first_event_deadline_s=8, now=STORE_S - 1)
    assert pool.submit(later_job, STORE_S - 1) is None


def make_idle_pool(targets: int, **entry_fields: object) -> EnginePool:
    """Return a pool without requests whose targets have m0 and m1 loaded."""
    pool = make_pool(
        *(
            make_entry(f't{one}', 'm0', 'm1', **entry_fields)
            for one in range(targets)
        )
    )
    pool.store_loads.is_idle(0)
    pool.store_loads.budget.tokens = 100
    return pool


def queued_load_models(pool: EnginePool) -> list[str]:
    return [
        step.model
        for target in pool.targets.values()
        for step in target.steps
        if step.is_load
    ]


def test_weights_on_no_target_are_loaded_before_the_first_requests() -> None:
    # In the first hours of a deployment most models are on no target's disk.
    pool = make_idle_pool(8, on_disk=('m0', 'm1', 'm2', 'm3'))
    load_absent_models(pool, IDLE_AFTER_S / 2)
    assert not queued_load_models(pool)
    load_absent_models(pool, IDLE_AFTER_S * 2)
    load_absent_models(pool, IDLE_AFTER_S * 2 + 0.1)
    loaded_models = queued_load_models(pool)
    assert len(loaded_models) == pool.store_loads.concurrency.limit
    assert set(loaded_models).isdisjoint({'m0', 'm1', 'm2', 'm3'})
    assert len(set(loaded_models)) == len(loaded_models)


def test_weights_are_not_preloaded_while_requests_come() -> None:
    # A load keeps its target from other loads for seconds.
    pool = make_idle_pool(8, on_disk=('m0', 'm1'))
    pool.submit(make_job('m0', now=9), 9)
    load_absent_models(pool, 9 + IDLE_AFTER_S / 2)
    assert not queued_load_models(pool)


def test_the_last_concurrent_load_is_reserved_for_an_absent_model() -> None:
    # A burst for a model of one full target and for one that is on no target.
    full_entry = make_entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm2'))
    others = (
        make_entry(f't{one}', 'm0', on_disk=('m0',)) for one in range(2, 10)
    )
    pool = make_pool(full_entry, *others)
    pool.store_loads.budget.tokens = 100
    pool.store_loads.concurrency.limit = 2
    assert pool.submit(make_job('m4'), 0) is None
    local_job = make_job('m2', excluded=frozenset(('t1',)))
    assert isinstance(pool.submit(local_job, 0), Refusal)
    absent_job = make_job('m3')
    assert pool.submit(absent_job, 0) is None
    assert set(queued_load_models(pool)) == {'m3', 'm4'}


def test_the_model_with_the_highest_demand_is_loaded_first() -> None:
    # Requests for many rare models, and capacity to load few of them.
    pool = make_pool(make_entry('t1', 'm0', on_disk=()))
    pool.store_loads.budget.tokens = 0
    for model in ('m3', 'm4', 'm4', 'm4', 'm5', 'm5'):
        assert isinstance(pool.submit(make_job(model), 0), Refusal)
    pool.store_loads.budget.tokens = 4
    load_requested_models(pool, 0.1)
    assert queued_load_models(pool) == ['m4']


def test_the_retry_delay_covers_the_load_of_an_absent_model() -> None:
    # The weight store has no capacity for another 4 seconds.
    pool = make_pool(make_entry('t1', 'm0', on_disk=()), make_entry('t2', 'm0'))
    pool.targets['t2'].on_disk.clear()
    pool.store_loads.budget.tokens = 4
    pool.store_loads.concurrency.limit = 1
    pool.submit(make_job('m3'), 0)
    refusal = pool.submit(make_job('m4', now=2), 2)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_s == pytest.approx(STORE_S - 2 + STORE_S)


def test_a_prompt_that_should_be_read_by_now_delays_no_other() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    pool.submit(make_job('m0', parts=(('big', 30000),)), 0)
    delayed_job = make_job('m0')
    pool.submit(delayed_job, 0.1)
    undelayed_job = make_job('m0')
    pool.submit(undelayed_job, 5.0)
    assert (
        undelayed_job.estimated_first_event_s
        < delayed_job.estimated_first_event_s / 5
    )


def test_a_busy_model_gets_a_second_replica_when_its_queue_costs_more() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1'), make_entry('t2', 'm2', 'm3'))
    jobs = [
        make_job('m0', parts=((f'part-{number}', 9000),))
        for number in range(12)
    ]
    submit_all(pool, *jobs)
    assert {job.target for job in jobs} == {'t1', 't2'}


def test_prompts_with_a_shared_part_go_to_the_target_that_read_it() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm0'))
    shared = ('shared', 6000)
    first = make_job('m0', parts=(shared, ('a', 500)))
    pool.submit(first, 0)
    pool.record_first_event(first, 0.2)
    pool.remove_job(first)
    second = make_job('m0', parts=(shared, ('b', 500)))
    pool.submit(second, 1)
    assert second.target == first.target
    assert second.prefill_tokens == 500


def test_adapters_never_exceed_a_targets_adapter_slots() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    target = pool.targets['t1']
    for number in range(12):
        job = make_job('m0', f'a{number}')
        pool.submit(job, number)
        finish_steps(pool, target, number)
        assert target.adapter_count <= target.engine_cfg.adapter_slots
        pool.remove_job(job)


def test_adapters_in_use_are_not_evicted() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    target = pool.targets['t1']
    jobs = [make_job('m0', f'a{number}') for number in range(5)]
    for job in jobs[:4]:
        pool.submit(job, 0)
    finish_steps(pool, target, 0)
    assert isinstance(pool.submit(jobs[4], 0), Refusal)


def test_requests_waiting_on_a_draining_target_are_reassigned() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm1'))
    job = make_job('m2')
    pool.submit(job, 0)
    draining_target, remaining_target = (
        job.target,
        {'t1': 't2', 't2': 't1'}[job.target],
    )
    entries = [
        attrs.evolve(
            target.entry,
            state=(
                TargetState.DRAINING
                if name == draining_target
                else TargetState.READY
            ),
        )
        for name, target in pool.targets.items()
    ]
    assert pool.apply_entries(entries, 1) == [job]
    pool.remove_job(job)
    pool.submit(job, 1)
    assert job.target == remaining_target


def test_requests_waiting_on_a_crashed_target_are_reassigned() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm1'))
    job = make_job('m2')
    pool.submit(job, 0)
    restarted = [
        attrs.evolve(target.entry, incarnation=7, resident_models=())
        for target in pool.targets.values()
    ]
    assert pool.apply_entries(restarted, 1) == [job]
    assert not any(target.jobs for target in pool.targets.values())


def test_requests_of_a_load_that_takes_too_long_are_reassigned() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm1'))
    job = make_job('m2')
    pool.submit(job, 0)
    first_target = job.target
    assert not pool.collect_jobs_to_reassign(0.5)
    assert pool.collect_jobs_to_reassign(2.0) == [job]
    pool.remove_job(job)
    pool.submit(job, 2.0)
    assert job.target != first_target


# Guards against models that were never served: their requests were refused
# shortly before the end of a load that took longer than predicted because it
# shared the weight store.
def test_requests_wait_for_a_load_that_shares_the_weight_store() -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=()))
    first = make_job('m5', first_event_deadline_s=2 * STORE_S)
    impatient = make_job('m5', first_event_deadline_s=1.2 * STORE_S)
    assert pool.submit(first, 1) is None
    assert pool.submit(impatient, 1) is None
    assert pool.collect_jobs_to_reassign(1 + STORE_S + 2) == [impatient]
    pool.remove_job(impatient)
    later = make_job('m5', first_event_deadline_s=3 * STORE_S)
    assert pool.submit(later, 1 + STORE_S + 1) is None
    target = pool.targets['t1']
    assert finish_steps(pool, target, 1 + 1.5 * STORE_S) == [first, later]


def test_a_load_that_will_share_the_store_is_expected_later() -> None:
    pool = make_pool(make_entry('t1', on_disk=()), make_entry('t2', on_disk=()))
    pool.store_loads.concurrency.limit = 1
    for name in ('t1', 't2'):
        target = pool.targets[name]
        pool.enqueue_steps(target, (STORE_STEP,), 1)
        pool.store_loads.record_load_sent(target, target.steps.popleft(), 1)
    models = [target.models['m5'] for target in pool.targets.values()]
    load_times_s = [
        loaded.ready_s - 1 - LOAD_REPORT_DELAY_S for loaded in models
    ]
    assert load_times_s == pytest.approx([STORE_S, 2 * STORE_S])
    refusal = pool.submit(
        make_job('m5', first_event_deadline_s=1 + STORE_S / 2), 1
    )
    assert isinstance(refusal, Refusal)


def test_a_failed_order_drops_the_queue_behind_it() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1'))
    target = pool.targets['t1']
    job = make_job('m2')
    pool.submit(job, 0)
    unload = target.steps.popleft()
    assert pool.record_failed_step(target, unload, 1) == [job]
    assert not target.steps
    assert not target.is_synced
    assert not target.models['m1'].is_unloading


def test_an_adapter_is_not_loaded_for_a_model_that_is_gone() -> None:
    # The target restarts between the plan and the order.
    pool = make_pool(make_entry('t1', 'm0'))
    target = pool.targets['t1']
    job = make_job('m0', 'a1')
    pool.submit(job, 0)
    apply_reported_models(target, (), 0)
    step = target.steps.popleft()
    assert not target.can_run_step(step)
    assert pool.record_failed_step(target, step, 0) == [job]


def test_entries_do_not_replace_what_a_target_itself_reported() -> None:
    # Entries lack adapters that were loaded since the last heartbeat.
    pool = make_pool(make_entry('t1', 'm0'))
    target = pool.targets['t1']
    pool.submit(make_job('m0', 'a1'), 0)
    finish_steps(pool, target, 0)
    pool.apply_entries([target.entry], 30)
    assert set(target.models['m0'].adapters) == {'a1'}


def test_a_slow_target_is_avoided_after_some_answers() -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm0'))
    slow = pool.targets['t1']
    for _ in range(20):
        job = make_job('m0')
        pool.submit(job, 0)
        factor = 8.0 if job.target == 't1' else 1.0
        pool.record_first_event(job, job.estimated_first_event_s * factor)
        pool.remove_job(job)
    last = make_job('m0', parts=(('fresh', 4000),))
    pool.submit(last, 0)
    assert last.target == 't2'
    assert slow.health.slowdown > 1


# Guards against a model that was never served although a target had its weights
# on disk: each request was refused because of what that target was running.
def test_a_patient_request_waits_while_its_only_target_is_in_use() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    running = [make_job('m0'), make_job('m1')]
    submit_all(pool, *running)
    patient = make_job('m5', first_event_deadline_s=10)
    assert pool.submit(patient, 0.1) is None
    for job in running:
        pool.remove_job(job)
    for job in pool.collect_jobs_to_reassign(0.3):
        pool.remove_job(job)
        assert pool.submit(job, 0.3) is None
    assert finish_steps(pool, pool.targets['t1'], 1) == [patient]


def test_a_request_is_refused_after_a_long_wait_for_capacity() -> None:
    pool = make_pool(make_entry('t1', 'm0', 'm1', on_disk=('m0', 'm1', 'm5')))
    submit_all(pool, make_job('m0'), make_job('m1'))
    impatient = make_job('m5', first_event_deadline_s=0.7)
    patient = make_job('m5', first_event_deadline_s=2 * CAPACITY_WAIT_S)
    assert isinstance(pool.submit(impatient, 0.1), Refusal)
    assert pool.submit(patient, 0.1) is None
    assert pool.collect_jobs_to_reassign(CAPACITY_WAIT_S + 0.1) == [patient]
    pool.remove_job(patient)
    assert isinstance(pool.submit(patient, CAPACITY_WAIT_S + 0.1), Refusal)
    assert not pool.collect_jobs_to_reassign(CAPACITY_WAIT_S + 1)
