"""Stateful fuzzing of the engine pool against simulated targets."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mimosaworks.deployment import ResidentModel
from mimosaworks.dispatch import Assignment, Job, Refusal, apply_reported_models
from tests.dispatch_world import (
    ADAPTER_MB,
    SIZE_MB,
    WEIGHTS_MB,
    make_entry,
    make_job,
    make_pool,
)

TARGET_COUNT = 3
MODELS = st.sampled_from([f'm{number}' for number in range(6)])
HeldModels = dict[str, set[str]]
ADAPTERS = st.sampled_from(['', '', 'a1', 'a2', 'a3', 'a4', 'a5'])


class EnginePoolMachine(RuleBasedStateMachine):
    """A pool whose orders succeed, fail or take effect without an answer."""

    @initialize()
    def create_pool(self) -> None:
        self.pool = make_pool(
            *(make_entry(f't{one}') for one in range(TARGET_COUNT))
        )
        self.pool.store_loads.budget.loads_per_s = 100
        self.now: float = 0
        # The actual models and adapters of each target.
        self.held_models: dict[str, HeldModels] = {
            name: {} for name in self.pool.targets
        }
        self.open_jobs: list[Job] = []

    @rule(model=MODELS, adapter=ADAPTERS)
    def submit_request(self, model: str, adapter: str) -> None:
        self.now += 0.05
        job = make_job(model, adapter, now=self.now, deadline_s=self.now + 60)
        decision = self.pool.submit(job, self.now)
        if not isinstance(decision, Refusal):
            self.open_jobs.append(job)
        if isinstance(decision, Assignment):
            held = self.held_models[decision.target]
            assert model in held
            assert not adapter or adapter in held[model]

    @rule(
        target_number=st.integers(0, TARGET_COUNT - 1),
        outcome_number=st.integers(0, 9),
    )
    def run_next_order(self, target_number: int, outcome_number: int) -> None:
        self.now += 0.1
        target = self.pool.targets[f't{target_number}']
        if not target.is_synced:
            self._sync_target(f't{target_number}')
        if not target.steps:
            return
        step = target.steps.popleft()
        if outcome_number > 1 and target.can_run_step(step):
            self._apply_step(f't{target_number}', step)
            for job in self.pool.record_finished_step(target, step, self.now):
                self.pool.grant(job, self.now)
            return
        if outcome_number == 0 and target.can_run_step(step):
            # The target carried out the order, but the answer was lost.
            self._apply_step(f't{target_number}', step)
        displaced = self.pool.record_failed_step(target, step, self.now)
        self._sync_target(f't{target_number}')
        for job in displaced:
            self.pool.remove_job(job)
            self.open_jobs.remove(job)

    @rule(random_source=st.randoms(use_true_random=False))
    def end_granted_request(self, random_source: object) -> None:
        granted = [job for job in self.open_jobs if job.is_granted]
        if granted:
            job = random_source.choice(granted)  # type: ignore[attr-defined]
            self.open_jobs.remove(job)
            self.pool.remove_job(job)

    @rule(target_number=st.integers(0, TARGET_COUNT - 1))
    def crash_target(self, target_number: int) -> None:
        self.now += 1
        name = f't{target_number}'
        crashed = self.pool.targets[name].entry
        incarnation = crashed.incarnation + 1
        entries = [
            attrs.evolve(
                target.entry,
                incarnation=incarnation
                if key == name
                else target.entry.incarnation,
                resident_models=(),
            )
            for key, target in self.pool.targets.items()
        ]
        self.held_models[name] = {}
        displaced = self.pool.apply_entries(entries, self.now)
        self.open_jobs = [
            job
            for job in self.open_jobs
            if job not in displaced and job.target != name
        ]
        self._sync_target(name)

    @invariant()
    def no_target_is_overcommitted(self) -> None:
        for models in getattr(self, 'held_models', {}).values():
            adapters = sum(len(held) for held in models.values())
            used_mb = len(models) * SIZE_MB + adapters * ADAPTER_MB
            assert used_mb <= WEIGHTS_MB
            assert adapters <= 4

    @invariant()
    def models_in_use_stay_loaded(self) -> None:
        for job in getattr(self, 'open_jobs', ()):
            profile = job.assignment_req.profile
            if job.is_granted:
                assert profile.model in self.held_models[job.target]

    def _apply_step(self, name: str, step: object) -> None:
        held = self.held_models[name]
        model, adapter = step.model, step.adapter  # type: ignore[attr-defined]
        if step.is_load:  # type: ignore[attr-defined]
            if adapter:
                held[model].add(adapter)
            else:
                held[model] = set()
        elif adapter:
            held.get(model, set()).discard(adapter)
        else:
            held.pop(model, None)

    def _sync_target(self, name: str) -> None:
        target = self.pool.targets[name]
        residences = [
            ResidentModel(model, tuple(sorted(adapters)))
            for model, adapters in self.held_models[name].items()
        ]
        apply_reported_models(target, residences, target.order_count + 1)
        target.is_synced = True


TestEnginePool = EnginePoolMachine.TestCase
TestEnginePool.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True
)
