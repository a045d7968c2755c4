"""Makes jobs and targets for tests of the dispatcher's decisions."""

import itertools
from typing import Any

from mimosaworks.deployment import (
    EngineConfig,
    EngineModel,
    PromptPart,
    RequestProfile,
    ResidentModel,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch import (
    AssignmentRequest,
    EnginePool,
    EngineTarget,
    Job,
    Step,
)

SIZE_MB = 60.0
ADAPTER_MB = 1.0
# Two models with their adapters.
WEIGHTS_MB = 140.0
DISK_S = 0.5
STORE_S = 6.0
SLOTS = 8
_numbers = itertools.count()


def make_engine_cfg(
    models: int = 12, disk_models: int = 0, memory_models: int = 0
) -> EngineConfig:
    """Return the configuration of engines for models m0, m1 and so on.

    Their disks have capacity for copies of disk_models models and their
    memory for copies of memory_models models, for all by default.
    """
    engine_models = [
        EngineModel(
            f'm{number}', SIZE_MB, 20, ADAPTER_MB, STORE_S, DISK_S, DISK_S
        )
        for number in range(models)
    ]
    return EngineConfig(
        slots=64,
        kv_tokens=200000,
        weights_mb=WEIGHTS_MB,
        adapter_slots=4,
        loads_per_s=4.0,
        models={model.name: model for model in engine_models},
        disk_mb=disk_models * SIZE_MB,
        memory_copies_mb=memory_models * SIZE_MB,
    )


def make_entry(name: str, *models: str, **fields: Any) -> TargetEntry:
    """Return the entry of a target with these models, all on its disk."""
    on_disk = fields.pop('on_disk', tuple(f'm{one}' for one in range(12)))
    return TargetEntry(
        name=name,
        service=fields.pop('service', 'engines'),
        address=f'{name}:1',
        data_centre=fields.pop('data_centre', 'north'),
        slots=fields.pop('slots', SLOTS),
        state=fields.pop('state', TargetState.READY),
        resident_models=tuple(ResidentModel(model) for model in models),
        on_disk=on_disk,
        **fields,
    )


def make_pool(*entries: TargetEntry, **config: int) -> EnginePool:
    """Return a pool whose targets' reports were read.

    config has the parameters of the engines' configuration.
    """
    pool = EnginePool(make_engine_cfg(**config))
    pool.apply_entries(entries, 0)
    for target in pool.targets.values():
        target.is_synced = True
    return pool


def make_assignment_req(
    model: str = '', adapter: str = '', **fields: Any
) -> AssignmentRequest:
    """Return an assignment request of time 0, with a deadline of 10 s."""
    parts = tuple(
        PromptPart(part, tokens)
        for part, tokens in fields.pop('parts', (('own', 1000),))
    )
    tokens_in = sum(part.tokens for part in parts)
    return AssignmentRequest(
        call_id=f'call-{next(_numbers)}',
        node=fields.pop('node', 'node-1'),
        service=fields.pop('service', 'engines' if model else 'ledger'),
        workspace=fields.pop('workspace', 'agency'),
        cost=fields.pop('cost', 1.0),
        priority=fields.pop('priority', 0),
        profile=RequestProfile(model, adapter, tokens_in, 20, 20, parts),
        data_centre=fields.pop('data_centre', 'north'),
        latency_target_s=fields.pop('latency_target_s', 1.0),
        deadline_s=fields.pop('deadline_s', 10.0),
        first_event_deadline_s=fields.pop('first_event_deadline_s', 1000.0),
        **fields,
    )


def make_job(model: str = '', adapter: str = '', **fields: Any) -> Job:
    """Return a job that arrived at the time now (0 by default)."""
    now = fields.pop('now', 0)
    return Job(make_assignment_req(model, adapter, **fields), now)


def finish_steps(
    pool: EnginePool, target: EngineTarget, now: float
) -> list[Job]:
    """Let a target's queued orders succeed; return the jobs to grant."""
    ready: list[Job] = []
    while target.steps:
        step: Step = target.steps.popleft()
        assert target.can_run_step(step)
        ready.extend(pool.record_finished_step(target, step, now))
    return ready
