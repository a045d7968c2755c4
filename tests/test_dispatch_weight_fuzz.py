"""Stateful fuzzing of the predicted copies of weights against actual disks."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mimosaworks.deployment import ResidentModel
from mimosaworks.dispatch import (
    EngineTarget,
    Job,
    Refusal,
    Step,
    apply_reported_models,
    preload_models,
)
from tests.dispatch_world import STORE_S, make_entry, make_job, make_pool

TARGET_COUNT = 3
# Number of models that fit on a disk.
DISK_MODELS = 3
MODEL_NAMES = tuple(f'm{number}' for number in range(9))
MODELS = st.sampled_from(MODEL_NAMES)


class WeightsMachine(RuleBasedStateMachine):
    """A pool whose loads evict copies; entries report that later or never."""

    @initialize()
    def create_pool(self) -> None:
        self.disk_copies = {
            f't{one}': list(MODEL_NAMES[one : one + DISK_MODELS])
            for one in range(TARGET_COUNT)
        }
        self.loaded_models: dict[str, list[str]] = {
            name: [] for name in self.disk_copies
        }
        entries = (
            make_entry(name, on_disk=tuple(disk))
            for name, disk in self.disk_copies.items()
        )
        self.pool = make_pool(*entries, disk_models=DISK_MODELS)
        self.now: float = 10
        self.open_jobs: list[Job] = []

    @rule(model=MODELS)
    def submit_request(self, model: str) -> None:
        self.now += 0.05
        job = make_job(model, now=self.now, deadline_s=self.now + 60)
        if not isinstance(self.pool.submit(job, self.now), Refusal):
            self.open_jobs.append(job)

    @rule(
        target_number=st.integers(0, TARGET_COUNT - 1), succeeds=st.booleans()
    )
    def run_next_order(self, target_number: int, *, succeeds: bool) -> None:
        name = f't{target_number}'
        target = self.pool.targets[name]
        if not target.steps:
            return
        step = target.steps.popleft()
        if succeeds and target.can_run_step(step):
            self.now += STORE_S if step.is_from_store else 0.1
            self._apply_step(name, step)
            for job in self.pool.record_finished_step(target, step, self.now):
                self.pool.grant(job, self.now)
            return
        displaced = self.pool.record_failed_step(target, step, self.now)
        self._sync_target(target)
        for job in displaced:
            self.pool.remove_job(job)
            self.open_jobs.remove(job)

    @rule()
    def end_all_requests(self) -> None:
        for job in self.open_jobs:
            self.pool.remove_job(job)
        self.open_jobs.clear()

    @rule()
    def preload(self) -> None:
        self.now += 5
        preload_models((self.pool,), self.now)

    @rule()
    def publish_entries(self) -> None:
        self.pool.apply_entries(
            [
                make_entry(name, *self.loaded_models[name], on_disk=tuple(disk))
                for name, disk in self.disk_copies.items()
            ],
            self.now,
        )

    def _apply_step(self, name: str, step: Step) -> None:
        loaded = self.loaded_models[name]
        if not step.is_load:
            loaded.remove(step.model)
            return
        disk = self.disk_copies[name]
        assert step.is_from_store == (step.model not in disk)
        loaded.append(step.model)
        kept_models = [model for model in disk if model != step.model]
        self.disk_copies[name] = [*kept_models[1 - DISK_MODELS :], step.model]

    def _sync_target(self, target: EngineTarget) -> None:
        residences = map(ResidentModel, self.loaded_models[target.entry.name])
        apply_reported_models(target, residences, target.order_count)
        target.is_synced = True


TestWeights = WeightsMachine.TestCase
TestWeights.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
