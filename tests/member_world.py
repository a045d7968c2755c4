"""A made-up world of members, a table and messages between them."""

from collections.abc import Callable

import attrs

from mimosaworks.configs import LogEntry, apply_entries
from mimosaworks.entities import Catalogue, Change, Workspace
from mimosaworks.members import Member, MemberRole, MemberState
from mimosaworks.members.barrier import Barrier
from mimosaworks.members.member_id import MemberId
from mimosaworks.members.schedule import Schedule
from mimosaworks.members.table_state import TableState
from mimosaworks.members.view import view_of
from mimosaworks.wire import PushAck
from tests.member_process import MemberProcess, run_plain

TABLE = 'table'
CLOCK_RATES = (0.9951, 0.998, 1.002, 1.0049)  # within the assumed drift


@attrs.define(eq=False)
class Message:
    """Something on its way; source and target are addresses or the table."""

    source: str
    target: str
    deliver: Callable[[], None]
    receiver: MemberProcess | None = None


@attrs.define
class World:
    """Messages wait in a pool until a rule delivers or loses them."""

    real_s: float = 1000.0
    is_out: bool = False
    log: list[LogEntry] = attrs.field(factory=list)
    view_version: int = 0
    rows: dict[str, Member] = attrs.field(factory=dict)
    processes: dict[str, MemberProcess] = attrs.field(factory=dict)
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    pool: list[Message] = attrs.field(factory=list)
    is_prompt: bool = True
    accepted: int = 0
    starts: int = 0

    def start(self, address: str) -> None:
        """Start a blank process where none runs."""
        self.starts += 1
        own = Member(
            address, address, MemberRole.ADMIN, 'dc', f'boot{self.starts}'
        )
        rate = CLOCK_RATES[self.starts % len(CLOCK_RATES)]
        self.processes[address] = MemberProcess(own, rate, lambda: self.real_s)

    def crash(self, address: str) -> None:
        """End a process without notice."""
        self.processes.pop(address).is_dead = True

    def leave(self, address: str) -> None:
        """Stop a process as planned."""
        proc = self.processes[address]
        proc.freshness.own = attrs.evolve(
            proc.freshness.own, state=MemberState.STOPPED
        )
        self._commit_row(proc, None)
        self.crash(address)

    def remove_dead(self, address: str) -> None:
        """Delete the rows of the members that a process knows to be dead."""
        evidence = self.processes[address].freshness.evidence
        dead = tuple(evidence.dead_since_s)
        self._send(address, TABLE, lambda: self._delete(dead))

    def ask(self, address: str, peer: str) -> None:
        """Send a freshness question."""
        proc = self.processes[address]
        asked_s = proc.now_s()
        question = proc.freshness.ask()

        def arrive(listener: MemberProcess) -> None:
            answer = run_plain(listener.core.on_ask(question))
            self._reply(
                peer,
                proc,
                lambda: proc.core.on_answer(asked_s, peer, answer),
            )

        self._call(proc, peer, arrive)

    def ask_all(self, address: str) -> None:
        """Ask all other members, then look at the full view."""
        proc = self.processes[address]
        for member in proc.freshness.view.members:
            if member.address != address:
                self.ask(address, member.address)
        self.check_full_view(address)

    def follow(self, address: str, schedule: Schedule) -> None:
        """Ask what the schedule says, as the poller does."""
        proc = self.processes[address]
        plan = schedule.due(proc.now_s(), proc.freshness)
        if plan.is_table_due:
            self.read_table(address)
        for peer in plan.peers:
            self.ask(address, peer)
        if plan.is_round_due:
            self.ask_all(address)

    def check_full_view(self, address: str) -> None:
        """Let a process judge the answers that it has."""
        proc = self.processes[address]
        proc.freshness.check_full_view(proc.now_s())

    def read_table(self, address: str) -> None:
        """Send a read of the table."""
        proc = self.processes[address]
        self._read(
            proc, lambda state: proc.freshness.on_table_read(state.asked_s)
        )

    def write(self, address: str) -> None:
        """Send a change, to be published once its reply is there."""
        proc = self.processes[address]
        base = proc.core.catalogue.version

        def arrive() -> None:
            if not self.is_out and base == len(self.log):
                name = f'w{base}'
                change = Change('workspace', name, Workspace(name, 1, 1))
                self.log.append(LogEntry(base + 1, (change,)))
                self._reply(TABLE, proc, lambda: self._publish(proc, base + 1))

        if proc.freshness.own.is_serving:
            self._send(address, TABLE, arrive)

    def join(self, address: str) -> None:
        """Register a joining process and open its barrier."""
        proc = self.processes[address]
        if proc.freshness.own.state == MemberState.JOINING:
            self._commit_row(proc, proc.freshness.own)
            self._publish(proc, 0)

    def push(self, address: str) -> None:
        """Push to members that have not confirmed, then look at the barrier."""
        proc = self.processes[address]
        if proc.barrier is None:
            if proc.publishing is not None:
                self._publish(proc, proc.publishing)
            return
        dead = proc.freshness.evidence.dead_since_s.keys()
        missing = proc.barrier.unconfirmed() - dead
        for peer in sorted(missing, key=lambda member: member.address):
            self._push(proc, proc.barrier, peer)
        self.check_barrier(address)

    def check_barrier(self, address: str) -> None:
        """Accept what has passed the barrier."""
        proc = self.processes[address]
        barrier = proc.barrier
        if barrier is None or not barrier.is_passed(
            proc.now_s(), proc.freshness.evidence.dead_since_s.keys()
        ):
            return
        own = proc.freshness.own
        if proc.publishing and own.is_serving:
            self.accepted = max(self.accepted, proc.publishing)
        if own.state == MemberState.JOINING:
            live = attrs.evolve(own, state=MemberState.LIVE)
            self._commit_row(proc, live)
        proc.publishing = None
        proc.barrier = None

    def deliver(self, index: int) -> None:
        """Deliver one message of the pool, unless it is cut off or waits."""
        message = self.pool.pop(index % len(self.pool))
        if (message.source, message.target) in self.cuts:
            return
        receiver = message.receiver
        if receiver is None and message.target != TABLE:
            receiver = self.processes.get(message.target)
        if receiver and receiver.is_frozen:
            message.receiver = receiver
            self.pool.append(message)
        elif not (receiver and receiver.is_dead):
            message.deliver()

    def outlive(self, survivors: set[str], restarted: set[str]) -> None:
        """Fail the table and all but the survivors; restart some, blank."""
        self.is_out = True
        for address in self.processes.keys() - survivors:
            self.crash(address)
        for address in sorted(restarted - self.processes.keys()):
            self.start(address)
        self.cuts.clear()
        self.thaw()

    def deliver_requests(self) -> None:
        """Deliver the requests that wait, and leave their replies waiting."""
        requests = [one for one in self.pool if one.receiver is None]
        for message in requests:
            self.deliver(self.pool.index(message))

    def isolate(self, group: set[str]) -> None:
        """Cut a group off from the table and from all others."""
        others = {TABLE, *self.processes} - group
        pairs = [(inner, outer) for inner in group for outer in others]
        self.cuts |= {
            pair
            for inner, outer in pairs
            for pair in ((inner, outer), (outer, inner))
        }

    def freeze(self, group: set[str]) -> None:
        """Freeze a group that has just sent its questions."""
        self.is_prompt = False
        for address in sorted(group):
            self.ask_all(address)
            self.read_table(address)
        self.deliver_requests()
        self.is_prompt = True
        for address in group:
            self.processes[address].is_frozen = True

    def thaw(self) -> None:
        """Let frozen processes go on, and handle what waits for them."""
        for proc in self.processes.values():
            proc.is_frozen = False
        waiting = list(self.pool)
        for message in waiting:
            if message.receiver and message in self.pool:
                self.deliver(self.pool.index(message))
                self.check()

    def recover(self, addresses: set[str]) -> None:
        """Mend all faults, start and join what is missing."""
        self.is_out = False
        self.is_prompt = True
        self.cuts.clear()
        self.thaw()
        for address in sorted(addresses - self.processes.keys()):
            self.start(address)
        self.join_all()
        rounds = 8
        while rounds and not self._is_recovered():
            self.run(1, 0.45)
            rounds -= 1

    def join_all(self) -> None:
        """Let the processes that have not joined try to."""
        for address in sorted(self.processes):
            proc = self.processes[address]
            if proc.freshness.own.state != MemberState.LIVE:
                self.join(address)
                self.push(address)

    def accept(self, address: str, wait_s: float) -> None:
        """Write, push, wait, and push again."""
        self.write(address)
        self.push(address)
        self.real_s += wait_s
        self.push(address)

    def run(self, rounds: int, period_s: float) -> None:
        """Let every process ask all and read the table for some rounds."""
        for _ in range(rounds):
            self.real_s += period_s
            for address in sorted(self.processes):
                if not self.processes[address].is_frozen:
                    self.ask_all(address)
                    self.read_table(address)
                    self.push(address)
            self.check()

    def check(self) -> None:
        """The oracle: an accepted version is in force everywhere."""
        for address, proc in self.processes.items():
            if proc.is_admitting():
                version = proc.core.catalogue.version
                assert version >= self.accepted, (
                    f'{address} admits at {version} < {self.accepted}'
                )

    def _is_recovered(self) -> bool:
        return all(proc.is_admitting() for proc in self.processes.values())

    def _publish(self, proc: MemberProcess, version: int) -> None:
        proc.publishing = version
        proc.barrier = None

        def opened(state: TableState) -> None:
            is_known = proc.core.catalogue.version >= version
            if is_known and proc.publishing == version:
                proc.barrier = Barrier(
                    proc.now_s(),
                    state.catalogue.version,
                    state.view,
                    proc.freshness.own.id,
                )

        self._read(proc, opened)

    def _push(
        self, proc: MemberProcess, barrier: Barrier, peer: MemberId
    ) -> None:
        pushed = proc.core.push_to(peer)

        def arrive(listener: MemberProcess) -> None:
            ack = run_plain(listener.core.on_push(pushed))

            def confirm() -> None:
                answered = proc.core.on_ack(peer, ack)
                barrier.on_ack(answered, ack.version, ack.view)

            self._reply(peer.address, proc, confirm)

        self._call(proc, peer.address, arrive)

    def _call(
        self,
        proc: MemberProcess,
        peer: str,
        arrive: Callable[[MemberProcess], None],
    ) -> None:
        def connect() -> None:
            listener = self.processes.get(peer)
            if listener:
                arrive(listener)
            else:
                self._reply(peer, proc, refuse)

        asked_s = proc.now_s()

        def refuse() -> None:
            proc.freshness.on_refused(asked_s, proc.now_s(), peer)

        self._send(proc.own.address, peer, connect)

    def _read(
        self, proc: MemberProcess, on_state: Callable[[TableState], None]
    ) -> None:
        asked_s = proc.now_s()

        def take(state: TableState) -> None:
            proc.core.take(state.catalogue, state.view, state.entries)
            on_state(state)

        def arrive() -> None:
            if self.is_out:
                self._reply(TABLE, proc, proc.freshness.on_table_failed)
            else:
                state = self._state(asked_s)
                self._reply(TABLE, proc, lambda: take(state))

        if (proc.own.address, TABLE) in self.cuts:
            proc.freshness.on_table_failed()
        self._send(proc.own.address, TABLE, arrive)

    def _state(self, asked_s: float) -> TableState:
        catalogue = apply_entries(Catalogue(), self.log)
        view = view_of(self.view_version, self.rows.values())
        return TableState(asked_s, catalogue, view, tuple(self.log))

    def _commit_row(self, proc: MemberProcess, row: Member | None) -> None:
        own = proc.own.id
        is_join = row is not None and row.state == MemberState.JOINING

        def arrive() -> None:
            current = self.rows.get(own.address)
            is_own = current is not None and current.id == own
            # A joining process replaces any row but its own; a late commit
            # of an ended process does nothing, as its assert fails.
            may_write = is_own != is_join and not (is_join and proc.is_dead)
            if may_write and not self.is_out:
                self._set_row(own.address, row)

        self._send(own.address, TABLE, arrive)

    def _delete(self, dead: tuple[MemberId, ...]) -> None:
        doomed = [row for row in self.rows.values() if row.id in dead]
        if not self.is_out:
            for row in doomed:
                self._set_row(row.address, None)

    def _set_row(self, address: str, row: Member | None) -> None:
        self.view_version += 1
        if row is None:
            self.rows.pop(address)
        else:
            self.rows[address] = row

    def _reply(
        self, source: str, proc: MemberProcess, deliver: Callable[[], None]
    ) -> None:
        message = Message(source, proc.own.address, deliver, proc)
        self._post(message)

    def _send(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        self._post(Message(source, target, deliver))

    def _post(self, message: Message) -> None:
        self.pool.append(message)
        if self.is_prompt:
            self.deliver(-1)
