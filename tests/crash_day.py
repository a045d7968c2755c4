"""A simulated day on which one request crashes every target that runs it.

Nodes, lease holder and store are the real ones except for the network: what
a node records reaches the holder with its next heartbeat, what the holder
knows reaches the store with its next periodic save.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import (
    Assignment,
    AssignmentRequest,
    CallOutcome,
    Dispatcher,
    EntriesView,
    PlainPool,
    ResendBudgetConfig,
    ResendBudgets,
    TargetCrash,
    Verdict,
    verdict_for_crash_count,
)
from mimosaworks.node.crash_view import CrashView, crash_of_note
from mimosaworks.node.program import ENTRY_LAPSE_HEARTBEATS, ENTRY_LAPSE_SLACK_S
from mimosaworks.node.stored_suspects import (
    SUSPECTS_ROW,
    StoredSuspects,
    SuspectSaver,
)
from mimosaworks.node.suspect_monitor import SuspectMonitor
from mimosaworks.platform import StoredRow
from mimosaworks.wire import Beat, BeatReply, CrashNote, NodeRow
from tests.dispatch_world import make_assignment_req, make_entry

POISON = 'poison'
SOUND = 'sound'
SERVICE = 'ledger'
REFUSAL_DELAY_S = 3.0
REFUSED_ENDS = 3
TARGETS = 3
NODES = 6
RESTART_S = 4.0
# Three heartbeats.
ENTRY_EXPIRY_S = 3.6
RUN_S = 0.01
CRASH_S = 0.06
TIME_LIMIT_S = 2.0
HEARTBEAT_S = 0.05
READ_INTERVAL_S = 0.4
SAVE_INTERVAL_S = 0.5
# Time from a late send until nodes are killed.
NODE_KILL_DELAY_S = 0.01
ELECTION_S = 2.0
POISON_INTERVAL_S = (0.2, 0.8)
SOUND_INTERVAL_S = 0.1
ROW_BYTES = 65536
NO_TARGETS: frozenset[str] = frozenset()
_RESENT_OUTCOMES = frozenset((CallOutcome.BROKEN, CallOutcome.FAILED))
_UNCONFIRMED_OUTCOMES = frozenset((
    CallOutcome.TIMED_OUT,
    CallOutcome.CALLER_LEFT,
))


@attrs.frozen
class DayFaults:
    """The other faults of a simulated day; times in seconds.

    Targets fail failure_share of the sends before they run them. Callers
    disconnect after caller_timeout_s, 0 for never. Crashed targets break no
    connection if keeps_connections. The store has a new incarnation within
    entry_delay_s; its answers are store_lag_s old, writes take write_s, and
    it is unavailable in its outages. killed_nodes are the nodes that are
    killed right after each late send: holder or all. There is no holder in
    the no_holder_spans.
    """

    failure_share: float = 0
    caller_timeout_s: float = 0
    keeps_connections: bool = False
    entry_delay_s: tuple[float, float] = (0.2, 0.6)
    store_lag_s: float = 0
    write_s: float = 0.01
    store_outages: tuple[tuple[float, float], ...] = ()
    no_holder_spans: tuple[tuple[float, float], ...] = ()
    killed_nodes: str = ''


@attrs.define(eq=False)
class DayNode:
    """A node: its crash view, and what its next heartbeat reports."""

    view: CrashView
    crash_notes: list[CrashNote] = attrs.field(factory=list)
    outcomes: list[tuple[str, CallOutcome]] = attrs.field(factory=list)
    fence: int = 0


@attrs.define(eq=False)
class DayHolder:
    """A lease holder with its dispatcher, and when it was elected."""

    fence: int
    elected_s: float
    dispatcher: Dispatcher
    is_saving: bool = False
    saver: SuspectSaver = attrs.field(factory=lambda: SuspectSaver(_epoch_s))
    suspect_monitor: SuspectMonitor = attrs.field(factory=SuspectMonitor)


@attrs.define(eq=False)
class Run:
    """A request that runs at a target."""

    node: DayNode
    ask: AssignmentRequest
    assignment: Assignment
    sent_s: float


def _epoch_s() -> float:
    return 1.7e9


@attrs.define(order=True)
class _ScheduledEvent:
    """A callback at a time; those of one time run in scheduling order."""

    at_s: float
    number: int
    callback: Callable[[], None] = attrs.field(order=False, eq=False)


@attrs.define(eq=False)
class CrashDay:
    """One simulated day.

    It records the times of the sends of the crashing request that reached a
    target, of its crashes, and of the answers to a harmless request.
    """

    faults: DayFaults
    rng: random.Random
    now: float = 0
    poison_send_times_s: list[float] = attrs.field(factory=list)
    crash_times_s: list[float] = attrs.field(factory=list)
    sound_served_times_s: list[float] = attrs.field(factory=list)
    nodes: list[DayNode] = attrs.field(factory=list)
    holder: DayHolder | None = None
    _stored_row: bytes = b'{}'
    _row_versions: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _incarnations: dict[str, int] = attrs.field(factory=dict)
    _restarted_s: dict[str, float] = attrs.field(factory=dict)
    _entries: dict[str, TargetEntry] = attrs.field(factory=dict)
    _last_read_s: float = 0
    _read_since_s: float = 0
    _runs: list[Run] = attrs.field(factory=list)
    _events: list[_ScheduledEvent] = attrs.field(factory=list)
    _event_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def play(self, day_s: float) -> None:
        """Simulate a day of this many seconds."""
        for number in range(TARGETS):
            self._incarnations[f't{number}'] = 1
            self._write_entry(f't{number}')
        self._start_nodes()
        self._elect_holder()
        for start_periodic in (
            self._send_heartbeats,
            self._read_entries,
            self._save_periodically,
        ):
            start_periodic()
        self._start_caller(POISON)
        self._start_caller(SOUND)
        for span in self.faults.no_holder_spans:
            self._schedule(span[0], self._kill_holder)
        while self._events and self._events[0].at_s < day_s:
            event = heapq.heappop(self._events)
            self.now = event.at_s
            event.callback()

    def find_late_sends(self) -> list[float]:
        """Return the times of sends long after the third crash."""
        if len(self.crash_times_s) < REFUSED_ENDS:
            return []
        late_from_s = self.crash_times_s[REFUSED_ENDS - 1] + REFUSAL_DELAY_S
        return [at_s for at_s in self.poison_send_times_s if at_s > late_from_s]

    def _schedule(self, wait_s: float, callback: Callable[[], None]) -> None:
        event = _ScheduledEvent(
            self.now + wait_s, next(self._event_numbers), callback
        )
        heapq.heappush(self._events, event)

    # Callers

    def _start_caller(self, fingerprint: str) -> None:
        interval_s = (
            SOUND_INTERVAL_S
            if fingerprint == SOUND
            else self.rng.uniform(*POISON_INTERVAL_S)
        )
        self._schedule(
            interval_s, functools.partial(self._start_caller, fingerprint)
        )
        if self.nodes:
            self._submit_request(self.rng.choice(self.nodes), fingerprint)

    def _submit_request(
        self,
        node: DayNode,
        fingerprint: str,
        excluded: frozenset[str] = NO_TARGETS,
    ) -> None:
        assignment_req = make_assignment_req(
            fingerprint=fingerprint,
            service=SERVICE,
            deadline_s=self.now + TIME_LIMIT_S,
            resends=len(excluded),
            excluded=excluded,
        )
        assignment = self._decide(node, assignment_req)
        if assignment is not None:
            self._send(Run(node, assignment_req, assignment, self.now))

    def _decide(
        self, node: DayNode, assignment_req: AssignmentRequest
    ) -> Assignment | None:
        if self.holder is None:
            return self._decide_standalone(node, assignment_req)
        dispatcher = self.holder.dispatcher
        refusal = dispatcher.admit(assignment_req, self.now)
        decision = refusal or dispatcher.submit(assignment_req, self.now)
        if not isinstance(decision, Assignment):
            dispatcher.withdraw_job(assignment_req.call_id, self.now)
            return None
        ended = dispatcher.crash_tracker.incarnation_crashes.count_crashes(
            decision.target, decision.incarnation
        )
        crashes = node.view.count_crashes(assignment_req.fingerprint)
        if (
            not decision.is_trial
            and verdict_for_crash_count(crashes) is Verdict.REFUSED
        ):
            dispatcher.record_outcome(
                assignment_req.call_id, CallOutcome.NOT_SENT, 0, self.now
            )
            return None
        return attrs.evolve(decision, crash_count=ended)

    def _decide_standalone(
        self, node: DayNode, assignment_req: AssignmentRequest
    ) -> Assignment | None:
        names = sorted(self._entries.keys() - assignment_req.excluded)
        is_suspect = (
            node.view.count_crashes(
                assignment_req.fingerprint, is_standalone=True
            )
            >= 2
        )
        if is_suspect or not names:
            return None
        chosen_entry = self._entries[self.rng.choice(names)]
        return Assignment(
            chosen_entry.name,
            chosen_entry.address,
            0,
            incarnation=chosen_entry.incarnation,
        )

    # Targets

    def _send(self, run: Run) -> None:
        target = run.assignment.target
        if self.now < self._restarted_s.get(target, 0):
            self._record_outcome(run, CallOutcome.UNREACHABLE)
            return
        if run.ask.fingerprint == SOUND:
            self._start_run(run, RUN_S, CallOutcome.ANSWERED)
            return
        self.poison_send_times_s.append(self.now)
        if self.faults.killed_nodes and self.find_late_sends():
            self._schedule(NODE_KILL_DELAY_S, self._kill_nodes)
        if self.rng.random() < self.faults.failure_share:
            self._record_outcome(run, CallOutcome.FAILED)
            return
        crash_target = functools.partial(
            self._crash_target, target, self._incarnations[target]
        )
        self._schedule(CRASH_S, crash_target)
        if self.faults.caller_timeout_s:
            self._start_run(
                run, self.faults.caller_timeout_s, CallOutcome.CALLER_LEFT
            )
        else:
            self._start_run(run, TIME_LIMIT_S, CallOutcome.TIMED_OUT)

    def _start_run(
        self, run: Run, duration_s: float, outcome: CallOutcome
    ) -> None:
        self._runs.append(run)
        self._schedule(
            duration_s, functools.partial(self._end_run, run, outcome)
        )

    def _end_run(self, run: Run, outcome: CallOutcome) -> None:
        if run in self._runs:
            self._runs.remove(run)
            self._record_outcome(run, outcome)

    def _crash_target(self, target: str, incarnation: int) -> None:
        if self._incarnations[target] != incarnation:
            return
        self.crash_times_s.append(self.now)
        self._incarnations[target] = incarnation + 1
        self._restarted_s[target] = self.now + RESTART_S
        expire_entry = functools.partial(
            self._expire_entry, target, incarnation
        )
        store_lag_s = self.faults.store_lag_s
        self._schedule(ENTRY_EXPIRY_S + store_lag_s, expire_entry)
        entry_delay_s = (
            RESTART_S
            + store_lag_s
            + self.rng.uniform(*self.faults.entry_delay_s)
        )
        self._schedule(
            entry_delay_s, functools.partial(self._write_entry, target)
        )
        if not self.faults.keeps_connections:
            cut_runs = [
                run for run in self._runs if run.assignment.target == target
            ]
            for run in cut_runs:
                self._end_run(run, CallOutcome.BROKEN)

    def _record_outcome(self, run: Run, outcome: CallOutcome) -> None:
        """Record at a node how a run ended; resend the request if allowed."""
        node, fingerprint = run.node, run.ask.fingerprint
        node.outcomes.append((run.ask.call_id, outcome))
        if outcome is CallOutcome.ANSWERED:
            node.view.record_success(fingerprint)
            self.sound_served_times_s.append(self.now)
        if outcome is CallOutcome.BROKEN or outcome in _UNCONFIRMED_OUTCOMES:
            self._record_crash(run, is_silent=outcome in _UNCONFIRMED_OUTCOMES)
        is_broken = outcome is CallOutcome.BROKEN
        may_resend = not is_broken or node.view.count_crashes(fingerprint) < 2
        if outcome in _RESENT_OUTCOMES and may_resend and not run.ask.resends:
            self._submit_request(
                node, fingerprint, frozenset((run.assignment.target,))
            )

    def _record_crash(self, run: Run, *, is_silent: bool) -> None:
        decision = run.assignment
        crash = TargetCrash(
            run.ask.fingerprint,
            decision.target,
            decision.incarnation,
            decision.crash_count,
            is_unconfirmed=is_silent,
        )
        note = run.node.view.record_crash(crash, run.sent_s, self.now)
        run.node.crash_notes.append(note)

    # The store

    def _is_store_down(self) -> bool:
        return _is_within(self.now, self.faults.store_outages)

    def _expire_entry(self, target: str, incarnation: int) -> None:
        entry = self._entries.get(target)
        if entry is not None and entry.incarnation == incarnation:
            self._entries.pop(target)

    def _write_entry(self, target: str) -> None:
        new_entry = make_entry(target, service=SERVICE)
        self._entries[target] = attrs.evolve(
            new_entry, incarnation=self._incarnations[target]
        )

    def _read_entries(self) -> None:
        self._schedule(READ_INTERVAL_S, self._read_entries)
        if self._is_store_down():
            self._read_since_s = self.now + READ_INTERVAL_S
            return
        self._last_read_s = self.now
        if self.holder is not None:
            self.holder.dispatcher.apply_entries(self._entries, self.now)

    def _save_periodically(self) -> None:
        self._schedule(SAVE_INTERVAL_S, self._save_periodically)
        self._save_suspects()

    def _save_suspects(self) -> None:
        holder = self.holder
        if holder is None or self._is_store_down():
            return
        tracker = holder.dispatcher.crash_tracker
        if holder.is_saving:
            return
        holder.is_saving = True
        rows = [
            change.content or b''
            for change in holder.saver.unsaved_rows(tracker, ROW_BYTES)
        ]
        finish_save = functools.partial(
            self._finish_save, holder, rows, self.now
        )
        self._schedule(self.faults.write_s, finish_save)

    def _finish_save(
        self, holder: DayHolder, rows: list[bytes], save_started_s: float
    ) -> None:
        holder.is_saving = False
        if holder is self.holder:
            self._stored_row = rows[0] if rows else self._stored_row
            saver = holder.saver
            saver.record_saved(save_started_s)
            holder.dispatcher.trial_planner.record_stored_suspects(
                saver.saved_version, saver.saved_fingerprints
            )

    # Nodes and holders

    def _start_nodes(self) -> None:
        self.nodes = [
            DayNode(CrashView(stored_suspects=StoredSuspects(_epoch_s)))
            for _ in range(NODES)
        ]
        self._runs.clear()
        self._read_rows()

    def _kill_nodes(self) -> None:
        if self.faults.killed_nodes == 'all':
            self.nodes = []
            self._runs.clear()
            self._schedule(1, self._start_nodes)
        self._kill_holder()

    def _kill_holder(self) -> None:
        if self.holder is not None:
            self.holder = None
            self._schedule(ELECTION_S, self._elect_holder)

    def _elect_holder(self) -> None:
        is_election_blocked = _is_within(self.now, self.faults.no_holder_spans)
        if not self.nodes or is_election_blocked or self._is_store_down():
            self._schedule(READ_INTERVAL_S, self._elect_holder)
            return
        self._read_rows()
        budget_cfg = ResendBudgetConfig(0.2, 52, 10)
        dispatcher = Dispatcher(ResendBudgets(budget_cfg, self.now))
        dispatcher.pools[SERVICE] = PlainPool()
        dispatcher.apply_entries(self._entries, self.now)
        fence = next(self._row_versions)
        stored_suspects = self.nodes[0].view.stored_suspects
        stored_suspects.import_into_tracker(dispatcher.crash_tracker, self.now)
        self.holder = DayHolder(fence, self.now, dispatcher)

    def _read_rows(self) -> None:
        row = StoredRow(
            SUSPECTS_ROW, next(self._row_versions), self._stored_row
        )
        for node in self.nodes:
            node.view.stored_suspects.apply_rows([row])

    def _send_heartbeats(self) -> None:
        self._schedule(HEARTBEAT_S, self._send_heartbeats)
        holder = self.holder
        if holder is None:
            return
        lapse_s = (
            ENTRY_EXPIRY_S * ENTRY_LAPSE_HEARTBEATS / 3 + ENTRY_LAPSE_SLACK_S
        )
        since_s = max(self._read_since_s, holder.elected_s)
        view = EntriesView(self._entries, since_s, self._last_read_s, lapse_s)
        holder.dispatcher.crash_tracker.reconcile_entries(view, self.now)
        for node in self.nodes:
            self._send_heartbeat(node, holder)
        if holder.suspect_monitor.update_rows(holder.dispatcher.crash_tracker):
            self._schedule(HEARTBEAT_S, self._save_suspects)

    def _send_heartbeat(self, node: DayNode, holder: DayHolder) -> None:
        is_first = node.fence != holder.fence
        node.fence = holder.fence
        crash_notes = (
            node.view.unsaved_notes() if is_first else tuple(node.crash_notes)
        )
        beat = Beat(NodeRow('n', '', '', ''), holder.fence, crashes=crash_notes)
        dispatcher = holder.dispatcher
        dispatcher.record_crashes(map(crash_of_note, crash_notes), self.now)
        for call, outcome in node.outcomes:
            dispatcher.record_outcome(call, outcome, RUN_S, self.now)
        node.crash_notes.clear()
        node.outcomes.clear()
        changes = holder.suspect_monitor.row_log.changes_since(
            0 if is_first else node.view.suspects_version
        )
        reply = BeatReply(
            is_holder=True,
            fence=holder.fence,
            suspects=changes.rows,
            suspects_gone=changes.removed_names,
            suspects_whole=changes.is_full_snapshot,
            suspects_version=holder.suspect_monitor.row_log.version,
            unsaved_s=self.now - holder.saver.saved_s,
        )
        node.view.apply_reply(reply, beat, self.now)


def _is_within(now: float, spans: tuple[tuple[float, float], ...]) -> bool:
    return any(begin_s <= now < end_s for begin_s, end_s in spans)
