"""Stateful fuzzing of placement against an oracle at the targets."""

import logging
import os
from collections import Counter
from random import Random

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.placement_world import MODEL_SIZES, TARGETS, World

# MIMOSA_FUZZ_EXAMPLES makes a longer run; the seed stays fixed.
EXAMPLES = int(os.environ.get('MIMOSA_FUZZ_EXAMPLES', '40'))
STEPS = 30
HEAL_S = 60.0

COUNTS: Counter[str] = Counter()

names = st.sampled_from(sorted(TARGETS))
seconds = st.sampled_from([1.0, 3.0, 6.0, 10.0])
levels = st.sampled_from([0, 0.02, 0.1, 0.25])


class PlacementMachine(RuleBasedStateMachine):
    """Injects faults at any time; World.check runs after each event."""

    @initialize(rng=st.randoms(use_true_random=True))
    def start(self, rng: Random) -> None:
        self.world = World(rng)
        self.world.demand = {'m1'}
        self.world.churn = 0.2
        self.world.run(3)

    @rule(length=seconds, level=levels)
    def run_on(self, length: float, level: float) -> None:
        self.world.faults = level
        self.world.run(length)

    @rule(length=seconds)
    def pause_holder(self, length: float) -> None:
        proc = self.world.holder()
        proc.is_paused = True
        self.world.run(length)
        self.world.resume(proc)

    @rule(name=names, level=levels)
    def pause_holder_while_a_target_restarts(
        self, name: str, level: float
    ) -> None:
        self.world.faults = level
        proc = self.world.holder()
        proc.is_paused = True
        self.world.run(8)
        self.world.targets[name].restart()
        self.world.run(8)
        self.world.resume(proc)

    @rule(length=seconds)
    def crash_holder(self, length: float) -> None:
        self.world.crash(self.world.holder())
        self.world.run(length)

    @rule(name=names, length=seconds)
    def restart_target(self, name: str, length: float) -> None:
        target = self.world.targets[name]
        target.is_up = False
        target.restart()
        self.world.run(length)
        target.is_up = True

    @rule(name=names, length=seconds)
    def cut_holder_off(self, name: str, length: float) -> None:
        self.world.cut_links = {(self.world.holder().name, name)}
        self.world.run(length)
        self.world.cut_links = set()

    @rule(length=seconds)
    def fail_table(self, length: float) -> None:
        self.world.table.is_unavailable = True
        self.world.run(length)
        self.world.table.is_unavailable = False

    def teardown(self) -> None:
        """Without faults a requested model gets ready, then all is unloaded."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.faults = 0
        world.churn = 0
        world.models = set(MODEL_SIZES)
        world.demand = {'m3'}
        world.run(HEAL_S)
        loaded = [target.loaded for target in world.targets.values()]
        assert any('m3' in models for models in loaded), 'm3 was never loaded'
        world.demand = set()
        world.run(HEAL_S)
        assert not world.table.intents(), 'a reservation never ended'
        COUNTS['loads'] += world.loads
        COUNTS['holders'] += world.holder().placer.lease.fence
        COUNTS['seconds'] += int(world.now_s)


def test_targets_hold_only_what_was_decided_and_what_fits() -> None:
    run_state_machine_as_test(
        PlacementMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            database=None,
            # A failing run takes minutes to shrink; its steps are printed.
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
    # The faults test nothing unless the lease often changes its holder.
    assert COUNTS['holders'] > EXAMPLES
    logging.info('%d examples: %s', EXAMPLES, COUNTS)
