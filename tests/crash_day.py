"""A simulated day on which one content crashes every target that runs it.

Nodes, a holder and a store are those of the product but for the network:
what a node notes reaches the holder with its next beat, what a holder knows
reaches the store with its next renewal.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import (
    Ask,
    Assignment,
    CallOutcome,
    Dispatcher,
    EntriesView,
    PlainPool,
    ResendBudgets,
    ResendTerms,
    TargetEnd,
    Verdict,
    judge_ends,
)
from mimosaworks.node.crash_view import CrashView, crash_of_note
from mimosaworks.node.program import LAPSE_BEATS, LAPSE_SLACK_S
from mimosaworks.node.stored_suspects import (
    SUSPECTS_ROW,
    StoredSuspects,
    SuspectSaver,
)
from mimosaworks.node.suspect_watch import SuspectMonitor
from mimosaworks.platform import StoredRow
from mimosaworks.wire import Beat, BeatReply, CrashNote, NodeRow
from tests.dispatch_world import entry, make_ask

POISON = 'poison'
SOUND = 'sound'
SERVICE = 'ledger'
CONTACT_S = 3.0
REFUSED_ENDS = 3
TARGETS = 3
NODES = 6
DOWN_S = 4.0
LAPSED_S = 3.6  # three heartbeats
RUN_S = 0.01
CRASH_S = 0.06
TIME_LIMIT_S = 2.0
BEAT_S = 0.05
READ_S = 0.4
SAVE_S = 0.5
LOST_S = 0.01  # after a late send
ELECTED_S = 2.0
REPEAT_S = (0.2, 0.8)
SOUND_S = 0.1
ROW_BYTES = 65536
NOBODY: frozenset[str] = frozenset()
_RESENT = frozenset((CallOutcome.BROKEN, CallOutcome.FAILED))
_SILENT = frozenset((CallOutcome.TIMED_OUT, CallOutcome.CALLER_LEFT))


@attrs.frozen
class Trouble:
    """What else goes wrong; times in seconds.

    Targets fail failure_share of the sends before they run them. Callers
    leave after leave_s, 0 for never. Targets that are is_dark break no
    connection. The store has a new birth within shown_s; its answers are
    stale_s behind, writes take write_s, and it is gone in its silent spans.
    lost are the nodes that are killed right after each late send: holder or
    all. No holder is there in the alone spans.
    """

    failure_share: float = 0
    leave_s: float = 0
    is_dark: bool = False
    shown_s: tuple[float, float] = (0.2, 0.6)
    stale_s: float = 0
    write_s: float = 0.01
    silent: tuple[tuple[float, float], ...] = ()
    alone: tuple[tuple[float, float], ...] = ()
    lost: str = ''


@attrs.define(eq=False)
class DayNode:
    """A node: its view, and what it tells with its next beat."""

    view: CrashView
    notes: list[CrashNote] = attrs.field(factory=list)
    ends: list[tuple[str, CallOutcome]] = attrs.field(factory=list)
    fence: int = 0


@attrs.define(eq=False)
class DayHolder:
    """A holder's books; it was elected at begun_s."""

    fence: int
    begun_s: float
    dispatcher: Dispatcher
    is_saving: bool = False
    saver: SuspectSaver = attrs.field(factory=lambda: SuspectSaver(_epoch_s))
    watch: SuspectMonitor = attrs.field(factory=SuspectMonitor)


@attrs.define(eq=False)
class Run:
    """A request at a target."""

    node: DayNode
    ask: Ask
    assignment: Assignment
    begun_s: float


def _epoch_s() -> float:
    return 1.7e9


@attrs.define(order=True)
class _Due:
    """What happens at a time, in the order in which it was planned."""

    at_s: float
    number: int
    act: Callable[[], None] = attrs.field(order=False, eq=False)


@attrs.define(eq=False)
class CrashDay:
    """One day; arrivals are the sends of the content that reached a target.

    ended_s are the times at which it crashed one, served those at which a
    sound content was served.
    """

    trouble: Trouble
    rng: random.Random
    now: float = 0
    arrivals: list[float] = attrs.field(factory=list)
    ended_s: list[float] = attrs.field(factory=list)
    served_s: list[float] = attrs.field(factory=list)
    nodes: list[DayNode] = attrs.field(factory=list)
    holder: DayHolder | None = None
    _row: bytes = b'{}'
    _rows: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _births: dict[str, int] = attrs.field(factory=dict)
    _back_s: dict[str, float] = attrs.field(factory=dict)
    _entries: dict[str, TargetEntry] = attrs.field(factory=dict)
    _read_s: float = 0
    _since_s: float = 0
    _runs: list[Run] = attrs.field(factory=list)
    _queue: list[_Due] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def play(self, day_s: float) -> None:
        """Play the day."""
        for number in range(TARGETS):
            self._births[f't{number}'] = 1
            self._show(f't{number}')
        self._restart()
        self._elect()
        for step in (self._beat_all, self._read, self._save_often):
            step()
        self._call(POISON)
        self._call(SOUND)
        for span in self.trouble.alone:
            self._after(span[0], self._lose_holder)
        while self._queue and self._queue[0].at_s < day_s:
            due = heapq.heappop(self._queue)
            self.now = due.at_s
            due.act()

    def late(self) -> list[float]:
        """Return the sends that came long after the third crash."""
        if len(self.ended_s) < REFUSED_ENDS:
            return []
        late_s = self.ended_s[REFUSED_ENDS - 1] + CONTACT_S
        return [at_s for at_s in self.arrivals if at_s > late_s]

    def _after(self, wait_s: float, act: Callable[[], None]) -> None:
        due = _Due(self.now + wait_s, next(self._order), act)
        heapq.heappush(self._queue, due)

    # Callers

    def _call(self, mark: str) -> None:
        pause_s = SOUND_S if mark == SOUND else self.rng.uniform(*REPEAT_S)
        self._after(pause_s, functools.partial(self._call, mark))
        if self.nodes:
            self._try(self.rng.choice(self.nodes), mark)

    def _try(
        self, node: DayNode, mark: str, excluded: frozenset[str] = NOBODY
    ) -> None:
        ask = make_ask(
            mark=mark,
            service=SERVICE,
            give_up_s=self.now + TIME_LIMIT_S,
            resends=len(excluded),
            excluded=excluded,
        )
        assignment = self._decide(node, ask)
        if assignment is not None:
            self._send(Run(node, ask, assignment, self.now))

    def _decide(self, node: DayNode, ask: Ask) -> Assignment | None:
        if self.holder is None:
            return self._decide_alone(node, ask)
        dispatcher = self.holder.dispatcher
        refused = dispatcher.admit(ask, self.now)
        decided = refused or dispatcher.submit(ask, self.now)
        if not isinstance(decided, Assignment):
            dispatcher.withdraw(ask.call, self.now)
            return None
        ended = dispatcher.crashes.births.count(decided.target, decided.born)
        ends = node.view.count(ask.mark)
        if not decided.is_trial and judge_ends(ends) is Verdict.REFUSED:
            dispatcher.ended(ask.call, CallOutcome.NOT_SENT, 0, self.now)
            return None
        return attrs.evolve(decided, ended=ended)

    def _decide_alone(self, node: DayNode, ask: Ask) -> Assignment | None:
        names = sorted(self._entries.keys() - ask.excluded)
        is_suspect = node.view.count(ask.mark, is_alone=True) >= 2
        if is_suspect or not names:
            return None
        chosen = self._entries[self.rng.choice(names)]
        return Assignment(chosen.name, chosen.address, 0, born=chosen.born)

    # Targets

    def _send(self, run: Run) -> None:
        target = run.assignment.target
        if self.now < self._back_s.get(target, 0):
            self._finish(run, CallOutcome.UNREACHABLE)
            return
        if run.ask.mark == SOUND:
            self._begin(run, RUN_S, CallOutcome.ANSWERED)
            return
        self.arrivals.append(self.now)
        if self.trouble.lost and self.late():
            self._after(LOST_S, self._lose_nodes)
        if self.rng.random() < self.trouble.failure_share:
            self._finish(run, CallOutcome.FAILED)
            return
        crash = functools.partial(self._crash, target, self._births[target])
        self._after(CRASH_S, crash)
        if self.trouble.leave_s:
            self._begin(run, self.trouble.leave_s, CallOutcome.CALLER_LEFT)
        else:
            self._begin(run, TIME_LIMIT_S, CallOutcome.TIMED_OUT)

    def _begin(self, run: Run, ends_s: float, outcome: CallOutcome) -> None:
        self._runs.append(run)
        self._after(ends_s, functools.partial(self._end, run, outcome))

    def _end(self, run: Run, outcome: CallOutcome) -> None:
        if run in self._runs:
            self._runs.remove(run)
            self._finish(run, outcome)

    def _crash(self, target: str, born: int) -> None:
        if self._births[target] != born:
            return
        self.ended_s.append(self.now)
        self._births[target] = born + 1
        self._back_s[target] = self.now + DOWN_S
        lapse = functools.partial(self._lapse, target, born)
        stale_s = self.trouble.stale_s
        self._after(LAPSED_S + stale_s, lapse)
        shown_s = DOWN_S + stale_s + self.rng.uniform(*self.trouble.shown_s)
        self._after(shown_s, functools.partial(self._show, target))
        if not self.trouble.is_dark:
            cut = [run for run in self._runs if run.assignment.target == target]
            for run in cut:
                self._end(run, CallOutcome.BROKEN)

    def _finish(self, run: Run, outcome: CallOutcome) -> None:
        """Note at a node how a request left its target; resend it."""
        node, mark = run.node, run.ask.mark
        node.ends.append((run.ask.call, outcome))
        if outcome is CallOutcome.ANSWERED:
            node.view.note_answer(mark)
            self.served_s.append(self.now)
        if outcome is CallOutcome.BROKEN or outcome in _SILENT:
            self._note_end(run, is_silent=outcome in _SILENT)
        is_lost = outcome is CallOutcome.BROKEN
        may_resend = not is_lost or node.view.count(mark) < 2
        if outcome in _RESENT and may_resend and not run.ask.resends:
            self._try(node, mark, frozenset((run.assignment.target,)))

    def _note_end(self, run: Run, *, is_silent: bool) -> None:
        decided = run.assignment
        end = TargetEnd(
            run.ask.mark,
            decided.target,
            decided.born,
            decided.ended,
            is_silent=is_silent,
        )
        note = run.node.view.see(end, run.begun_s, self.now)
        run.node.notes.append(note)

    # The store

    def _is_silent(self) -> bool:
        return _is_within(self.now, self.trouble.silent)

    def _lapse(self, target: str, born: int) -> None:
        known = self._entries.get(target)
        if known is not None and known.born == born:
            self._entries.pop(target)

    def _show(self, target: str) -> None:
        made = entry(target, service=SERVICE)
        self._entries[target] = attrs.evolve(made, born=self._births[target])

    def _read(self) -> None:
        self._after(READ_S, self._read)
        if self._is_silent():
            self._since_s = self.now + READ_S
            return
        self._read_s = self.now
        if self.holder is not None:
            self.holder.dispatcher.follow_entries(self._entries, self.now)

    def _save_often(self) -> None:
        self._after(SAVE_S, self._save_often)
        self._save()

    def _save(self) -> None:
        holder = self.holder
        if holder is None or self._is_silent():
            return
        book = holder.dispatcher.crashes
        if holder.is_saving:
            return
        holder.is_saving = True
        rows = [
            change.content or b''
            for change in holder.saver.unsaved(book, ROW_BYTES)
        ]
        saved = functools.partial(self._saved, holder, rows, self.now)
        self._after(self.trouble.write_s, saved)

    def _saved(
        self, holder: DayHolder, rows: list[bytes], begun_s: float
    ) -> None:
        holder.is_saving = False
        if holder is self.holder:
            self._row = rows[0] if rows else self._row
            saver = holder.saver
            saver.note_saved(begun_s)
            holder.dispatcher.trials.note_stored(
                saver.saved_version, saver.saved_marks
            )

    # Nodes and holders

    def _restart(self) -> None:
        self.nodes = [
            DayNode(CrashView(stored=StoredSuspects(_epoch_s)))
            for _ in range(NODES)
        ]
        self._runs.clear()
        self._read_rows()

    def _lose_nodes(self) -> None:
        if self.trouble.lost == 'all':
            self.nodes = []
            self._runs.clear()
            self._after(1, self._restart)
        self._lose_holder()

    def _lose_holder(self) -> None:
        if self.holder is not None:
            self.holder = None
            self._after(ELECTED_S, self._elect)

    def _elect(self) -> None:
        is_alone = _is_within(self.now, self.trouble.alone)
        if not self.nodes or is_alone or self._is_silent():
            self._after(READ_S, self._elect)
            return
        self._read_rows()
        terms = ResendTerms(0.2, 52, 10)
        dispatcher = Dispatcher(ResendBudgets(terms, self.now))
        dispatcher.pools[SERVICE] = PlainPool()
        dispatcher.follow_entries(self._entries, self.now)
        fence = next(self._rows)
        stored = self.nodes[0].view.stored
        stored.tell(dispatcher.crashes, self.now)
        self.holder = DayHolder(fence, self.now, dispatcher)

    def _read_rows(self) -> None:
        row = StoredRow(SUSPECTS_ROW, next(self._rows), self._row)
        for node in self.nodes:
            node.view.stored.take_rows([row])

    def _beat_all(self) -> None:
        self._after(BEAT_S, self._beat_all)
        holder = self.holder
        if holder is None:
            return
        lapse_s = LAPSED_S * LAPSE_BEATS / 3 + LAPSE_SLACK_S
        since_s = max(self._since_s, holder.begun_s)
        view = EntriesView(self._entries, since_s, self._read_s, lapse_s)
        holder.dispatcher.crashes.follow_entries(view, self.now)
        for node in self.nodes:
            self._beat(node, holder)
        if holder.watch.update_rows(holder.dispatcher.crashes):
            self._after(BEAT_S, self._save)

    def _beat(self, node: DayNode, holder: DayHolder) -> None:
        is_first = node.fence != holder.fence
        node.fence = holder.fence
        notes = node.view.unsaved_notes() if is_first else tuple(node.notes)
        beat = Beat(NodeRow('n', '', '', ''), holder.fence, crashes=notes)
        dispatcher = holder.dispatcher
        dispatcher.note_ends(map(crash_of_note, notes), self.now)
        for call, outcome in node.ends:
            dispatcher.ended(call, outcome, RUN_S, self.now)
        node.notes.clear()
        node.ends.clear()
        changes = holder.watch.row_log.changes_since(
            0 if is_first else node.view.suspects_version
        )
        reply = BeatReply(
            is_holder=True,
            fence=holder.fence,
            suspects=changes.rows,
            suspects_gone=changes.removed_names,
            suspects_whole=changes.is_full_snapshot,
            suspects_version=holder.watch.row_log.version,
            unsaved_s=self.now - holder.saver.saved_s,
        )
        node.view.apply_reply(reply, beat, self.now)


def _is_within(now: float, spans: tuple[tuple[float, float], ...]) -> bool:
    return any(begin_s <= now < end_s for begin_s, end_s in spans)
