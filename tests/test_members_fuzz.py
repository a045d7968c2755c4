"""Stateful fuzzing of freshness and the barrier in a made-up world."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mimosaworks.members.poller import TICK_S
from mimosaworks.members.schedule import Schedule
from tests.member_world import TABLE, World

ADDRESSES = ('a0', 'a1', 'a2', 'a3', 'a4')
addresses = st.sampled_from(ADDRESSES)
groups = st.sets(addresses, max_size=3)
waits_s = st.sampled_from((0.02, 0.3, 0.7, 1.2, 2.99, 3.0, 3.016, 3.1))
link_ends = st.sampled_from((*ADDRESSES, TABLE))


class MembersMachine(RuleBasedStateMachine):
    """Faults, messages and changes in any order.

    A rule whose process is not there, or frozen, does nothing.
    """

    world: World
    versions: dict[str, int]

    @initialize(count=st.integers(3, 5))
    def start_members(self, count: int) -> None:
        self.world = World()
        self.versions = {}
        for address in ADDRESSES[:count]:
            self.world.start(address)
            self.world.join(address)
            self.world.push(address)
            self.world.push(address)
        self.world.run(2, 0.3)

    @invariant()
    def no_member_admits_under_a_version_below_an_accepted_one(self) -> None:
        self.world.check()

    @invariant()
    def versions_never_decrease(self) -> None:
        newer = {
            proc.own.boot_nonce: proc.core.catalogue.version
            for proc in self.world.processes.values()
        }
        assert all(
            newer.get(nonce, version) >= version
            for nonce, version in self.versions.items()
        )
        self.versions = newer

    @rule(wait_s=waits_s)
    def time_passes(self, wait_s: float) -> None:
        self.world.real_s += wait_s

    @rule(is_out=st.booleans())
    def table_goes_out_or_comes_back(self, is_out: bool) -> None:
        self.world.is_out = is_out

    @rule(is_prompt=st.booleans())
    def messages_wait_or_do_not(self, is_prompt: bool) -> None:
        self.world.is_prompt = is_prompt

    @rule(source=link_ends, sink=link_ends)
    def link_is_cut_one_way(self, source: str, sink: str) -> None:
        self.world.cuts.add((source, sink))

    @rule(group=groups)
    def group_is_isolated(self, group: set[str]) -> None:
        self.world.isolate(group & self.world.processes.keys())

    @rule()
    def links_heal(self) -> None:
        self.world.cuts.clear()

    @rule(group=groups)
    def group_freezes_after_asking(self, group: set[str]) -> None:
        self.world.freeze(group & self._running())

    @rule()
    def frozen_processes_go_on(self) -> None:
        self.world.thaw()

    @rule(group=groups)
    def processes_crash(self, group: set[str]) -> None:
        for address in sorted(group & self.world.processes.keys()):
            self.world.crash(address)

    @rule(address=addresses)
    def process_starts_blank(self, address: str) -> None:
        if address not in self.world.processes:
            self.world.start(address)

    @rule(address=addresses)
    def process_stops_as_planned(self, address: str) -> None:
        if address in self._running():
            self.world.leave(address)

    @rule(survivors=groups, restarted=groups)
    def table_and_others_fail(
        self, survivors: set[str], restarted: set[str]
    ) -> None:
        self.world.outlive(survivors, restarted)
        self.world.run(4, 0.3)

    @rule(
        group=st.sets(addresses, min_size=1, max_size=3),
        address=addresses,
        is_frozen=st.booleans(),
        is_restarted=st.booleans(),
        wait_s=st.sampled_from((3.0, 3.016, 3.05)),
    )
    def group_misses_a_change_and_outlives_the_others(
        self,
        group: set[str],
        address: str,
        is_frozen: bool,
        is_restarted: bool,
        wait_s: float,
    ) -> None:
        self.all_recovers()
        if is_frozen:
            self.group_freezes_after_asking(group)
        else:
            self.group_is_isolated(group)
        self.member_has_a_change_accepted(address, wait_s)
        self.world.check()
        self.frozen_processes_go_on()
        restarted = set(ADDRESSES) if is_restarted else set()
        self.world.outlive(group, restarted)
        self.world.run(6, 0.3)

    @rule()
    def all_recovers(self) -> None:
        self.world.recover(set(ADDRESSES))

    @rule(rounds=st.integers(1, 8), period_s=st.sampled_from((0.1, 0.4)))
    def members_keep_asking(self, rounds: int, period_s: float) -> None:
        self.world.run(rounds, period_s)

    @rule()
    def processes_try_to_join(self) -> None:
        self.world.join_all()

    @rule(address=addresses)
    def member_asks_all(self, address: str) -> None:
        if address in self._running():
            self.world.ask_all(address)

    @rule(address=addresses)
    def member_reads_the_table(self, address: str) -> None:
        if address in self._running():
            self.world.read_table(address)

    @rule(address=addresses)
    def member_removes_the_dead(self, address: str) -> None:
        if address in self._running():
            self.world.remove_dead(address)

    @rule(address=addresses)
    def member_writes(self, address: str) -> None:
        if address in self._running():
            self.world.write(address)

    @rule(address=addresses)
    def member_pushes(self, address: str) -> None:
        if address in self._running():
            self.world.push(address)

    @rule(address=addresses, wait_s=waits_s)
    def member_has_a_change_accepted(self, address: str, wait_s: float) -> None:
        if address in self._running():
            self.world.accept(address, wait_s)

    @precondition(lambda machine: machine.world.pool)
    @rule(index=st.integers(0, 99), is_lost=st.booleans())
    def message_arrives_late_or_never(self, index: int, is_lost: bool) -> None:
        if is_lost:
            self.world.pool.pop(index % len(self.world.pool))
        else:
            self.world.deliver(index)

    def _running(self) -> set[str]:
        return {
            address
            for address, proc in self.world.processes.items()
            if not proc.is_frozen
        }


MembersMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=50,
    stateful_step_count=40,
)
TestMembers = MembersMachine.TestCase


def test_in_a_plain_outage_no_member_stops_serving() -> None:
    world = World()
    for address in ADDRESSES:
        world.start(address)
        world.join(address)
        world.push(address)
        world.push(address)
    schedules = {peer: Schedule() for peer in ADDRESSES}
    for tick in range(400):
        world.is_out = tick >= 20
        world.real_s += TICK_S
        for name in ADDRESSES:
            world.follow(name, schedules[name])
        procs = world.processes.values()
        assert tick < 8 or all(proc.is_admitting() for proc in procs)
