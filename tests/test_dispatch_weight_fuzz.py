"""Stateful fuzzing of the books about copies of weights against real disks."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mimosaworks.deployment import Residence
from mimosaworks.dispatch import (
    EngineTarget,
    Job,
    Refusal,
    Step,
    adopt_models,
    load_ahead,
)
from tests.dispatch_world import STORE_S, entry, make_job, make_pool

TARGETS = 3
ON_DISK = 3  # models that fit a disk
MODEL_NAMES = tuple(f'm{number}' for number in range(9))
MODELS = st.sampled_from(MODEL_NAMES)


class WeightsMachine(RuleBasedStateMachine):
    """Loads push copies out; entries tell of it later, or not at all."""

    @initialize()
    def open(self) -> None:
        self.disks = {
            f't{one}': list(MODEL_NAMES[one : one + ON_DISK])
            for one in range(TARGETS)
        }
        self.held: dict[str, list[str]] = {name: [] for name in self.disks}
        entries = (
            entry(name, on_disk=tuple(disk))
            for name, disk in self.disks.items()
        )
        self.pool = make_pool(*entries, disk_models=ON_DISK)
        self.now: float = 10
        self.open_jobs: list[Job] = []

    @rule(model=MODELS)
    def ask(self, model: str) -> None:
        self.now += 0.05
        job = make_job(model, now=self.now, give_up_s=self.now + 60)
        if not isinstance(self.pool.submit(job, self.now), Refusal):
            self.open_jobs.append(job)

    @rule(place=st.integers(0, TARGETS - 1), is_done=st.booleans())
    def carry_out(self, place: int, *, is_done: bool) -> None:
        name = f't{place}'
        target = self.pool.targets[name]
        if not target.steps:
            return
        step = target.steps.popleft()
        if is_done and target.allows(step):
            self.now += STORE_S if step.is_from_store else 0.1
            self._apply(name, step)
            for job in self.pool.step_done(target, step, self.now):
                self.pool.grant(job, self.now)
            return
        displaced = self.pool.step_failed(target, step, self.now)
        self._sync(target)
        for job in displaced:
            self.pool.drop(job)
            self.open_jobs.remove(job)

    @rule()
    def end_all(self) -> None:
        for job in self.open_jobs:
            self.pool.drop(job)
        self.open_jobs.clear()

    @rule()
    def look_ahead(self) -> None:
        self.now += 5
        load_ahead((self.pool,), self.now)

    @rule()
    def publish(self) -> None:
        self.pool.adopt(
            [
                entry(name, *self.held[name], on_disk=tuple(disk))
                for name, disk in self.disks.items()
            ],
            self.now,
        )

    def _apply(self, name: str, step: Step) -> None:
        held = self.held[name]
        if not step.is_load:
            held.remove(step.model)
            return
        disk = self.disks[name]
        assert step.is_from_store == (step.model not in disk)
        held.append(step.model)
        kept = [model for model in disk if model != step.model]
        self.disks[name] = [*kept[1 - ON_DISK :], step.model]

    def _sync(self, target: EngineTarget) -> None:
        residences = map(Residence, self.held[target.entry.name])
        adopt_models(target, residences, target.orders)
        target.is_synced = True


TestWeights = WeightsMachine.TestCase
TestWeights.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
