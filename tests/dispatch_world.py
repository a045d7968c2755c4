"""Makes jobs and targets for tests of the dispatcher's decisions."""

import itertools
from typing import Any

from mimosaworks.deployment import (
    CallFacts,
    EngineModel,
    EngineTerms,
    PromptPart,
    Residence,
    TargetEntry,
    TargetState,
)
from mimosaworks.dispatch import Ask, EnginePool, EngineTarget, Job, Step

SIZE_MB = 60.0
ADAPTER_MB = 1.0
# Two models with their adapters.
WEIGHTS_MB = 140.0
DISK_S = 0.5
STORE_S = 6.0
SLOTS = 8
_numbers = itertools.count()


def terms(
    models: int = 12, disk_models: int = 0, memory_models: int = 0
) -> EngineTerms:
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
    return EngineTerms(
        slots=64,
        kv_tokens=200000,
        weights_mb=WEIGHTS_MB,
        adapter_slots=4,
        loads_per_s=4.0,
        models={model.name: model for model in engine_models},
        disk_mb=disk_models * SIZE_MB,
        copies_mb=memory_models * SIZE_MB,
    )


def entry(name: str, *models: str, **facts: Any) -> TargetEntry:
    """Return the entry of a target with these models, all on its disk."""
    on_disk = facts.pop('on_disk', tuple(f'm{one}' for one in range(12)))
    return TargetEntry(
        name=name,
        service=facts.pop('service', 'engines'),
        address=f'{name}:1',
        data_centre=facts.pop('data_centre', 'north'),
        slots=facts.pop('slots', SLOTS),
        state=facts.pop('state', TargetState.READY),
        residences=tuple(Residence(model) for model in models),
        on_disk=on_disk,
        **facts,
    )


def make_pool(*entries: TargetEntry, **limits: int) -> EnginePool:
    """Return a pool whose targets' reports were read.

    limits are the parameters of the engines' configuration.
    """
    pool = EnginePool(terms(**limits))
    pool.adopt(entries, 0)
    for target in pool.targets.values():
        target.is_synced = True
    return pool


def make_ask(model: str = '', adapter: str = '', **facts: Any) -> Ask:
    """Return an assignment request of time 0, with a deadline of 10 s."""
    parts = tuple(
        PromptPart(part, tokens)
        for part, tokens in facts.pop('parts', (('own', 1000),))
    )
    tokens_in = sum(part.tokens for part in parts)
    return Ask(
        call=f'call-{next(_numbers)}',
        node=facts.pop('node', 'node-1'),
        service=facts.pop('service', 'engines' if model else 'ledger'),
        workspace=facts.pop('workspace', 'agency'),
        cost=facts.pop('cost', 1.0),
        priority=facts.pop('priority', 0),
        facts=CallFacts(model, adapter, tokens_in, 20, 20, parts),
        data_centre=facts.pop('data_centre', 'north'),
        target_s=facts.pop('target_s', 1.0),
        give_up_s=facts.pop('give_up_s', 10.0),
        first_by_s=facts.pop('first_by_s', 1000.0),
        **facts,
    )


def make_job(model: str = '', adapter: str = '', **facts: Any) -> Job:
    """Return a job that arrived at the time now (0 by default)."""
    now = facts.pop('now', 0)
    return Job(make_ask(model, adapter, **facts), now)


def carry_out(pool: EnginePool, target: EngineTarget, now: float) -> list[Job]:
    """Let a target's queued orders succeed; return the jobs to grant."""
    ready: list[Job] = []
    while target.steps:
        step: Step = target.steps.popleft()
        assert target.allows(step)
        ready.extend(pool.step_done(target, step, now))
    return ready
