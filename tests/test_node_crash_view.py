"""What a node knows of crashing contents, with a holder and without."""

import attrs
import pytest

from mimosaworks.dispatch import (
    CrashTracker,
    TargetCrash,
    TrialPlanner,
    Verdict,
)
from mimosaworks.dispatch.trial_planner import TRIAL_DELAY_S
from mimosaworks.node.crash_view import (
    MAX_KEPT_CRASHES,
    UNCONFIRMED_CRASH_TTL_S,
    CrashView,
    crash_of_note,
)
from mimosaworks.node.stored_suspects import (
    SUSPECTS_ROW,
    StoredSuspects,
    SuspectSaver,
    decode_suspects,
)
from mimosaworks.node.suspect_monitor import SuspectMonitor
from mimosaworks.platform import StoredRow
from mimosaworks.wire import Beat, BeatReply, NodeRow, SuspectRow

POISON = 'poison'
ROW_BYTES = 65536
EARLY_S = 10000


def beat(view: CrashView) -> Beat:
    return Beat(NodeRow('n1', '', '', ''), 1, crashes=view.unsaved_notes())


def see(view: CrashView, target: str, begun_s: float, now: float) -> str:
    note = view.record_crash(TargetCrash(POISON, target, 1), begun_s, now)
    return crash_of_note(note).key


def book_of(ends: int) -> CrashTracker:
    book = CrashTracker()
    for number in range(ends):
        book.record_crash(TargetCrash(POISON, f't{number}', 1), None, 5)
    return book


def stored_row(book: CrashTracker, max_bytes: int, epoch_s: float) -> bytes:
    """Return the row that a holder stores."""
    saver = SuspectSaver(lambda: epoch_s)
    changes = saver.unsaved_rows(book, max_bytes)
    return changes[0].content or b''


def trial_due_s(book: CrashTracker, since_s: float) -> float:
    """Return when a trial is planned that nobody has asked for before."""
    trials = TrialPlanner(book)
    now = since_s - EARLY_S
    while not book.suspects[POISON].planned_trial_version:
        now += 1
        trials.plan_trial_if_due(POISON, now)
    return now


def test_a_request_that_began_after_an_end_saw_another_one() -> None:
    view = CrashView()
    assert see(view, 't1', 0, 1) == 't1/1/0'
    assert see(view, 't1', 0.5, 1.1) == 't1/1/0'
    assert see(view, 't1', 1.5, 2) == 't1/1/1'
    assert view.count_crashes(POISON) == 2


# Guards against two ends that count as one: the store tells of the target's new
# birth late, and another node had seen the first of them.
def test_an_end_after_one_that_another_node_saw_is_another_end() -> None:
    book, first, second = CrashTracker(), CrashView(), CrashView()
    see(first, 't1', 0, 1)
    book.record_crash(crash_of_note(first.unsaved_notes()[0]), None, 1)
    ended = book.incarnation_crashes.count_crashes('t1', 1)
    second.record_crash(TargetCrash(POISON, 't1', 1, ended), 5, 6)
    book.record_crash(crash_of_note(second.unsaved_notes()[0]), None, 6)
    assert len(book.suspects[POISON].crashes) == 2
    assert book.incarnation_crashes.count_crashes('t1', 1) == 2
    assert book.incarnation_crashes.count_crashes('t1', 2) == 0


def test_what_was_seen_counts_at_once_and_before_a_holder_tells_it() -> None:
    view = CrashView()
    see(view, 't1', 0, 1)
    told = SuspectRow(POISON, ('t1/1/0', 't2/1/0'))
    reply = BeatReply(True, fence=1, suspects=(told,), suspects_whole=True)
    view.apply_reply(reply, beat(view), 2)
    assert view.count_crashes(POISON) == 2
    see(view, 't3', 3, 4)
    assert view.count_crashes(POISON) == 3
    assert view.count_crashes('other') == 0


# Guards against ends that only a holder knows which is lost before it stores
# them: its successor hears of them from the nodes that saw them.
def test_ends_are_told_to_each_holder_until_one_has_stored_them() -> None:
    view = CrashView()
    see(view, 't1', 0, 1)
    told = BeatReply(True, fence=1, unsaved_s=5)
    view.apply_reply(told, beat(view), 2)
    view.apply_reply(told, beat(view), 3)
    assert len(view.unsaved_notes()) == 1
    # A new holder has stored all it knows, before it heard of this end.
    view.apply_reply(BeatReply(True, fence=2, unsaved_s=0.1), beat(view), 4)
    assert len(view.unsaved_notes()) == 1
    view.apply_reply(BeatReply(True, fence=2, unsaved_s=0.1), beat(view), 5)
    assert not view.unsaved_notes()


def test_stored_ends_count_for_a_node_alone() -> None:
    view = CrashView()
    row = stored_row(book_of(3), ROW_BYTES, 0)
    view.stored_suspects.apply_rows([StoredRow(SUSPECTS_ROW, 7, row)])
    assert view.count_crashes(POISON, is_standalone=True) == 3
    assert view.count_crashes(POISON) == 0


def test_silent_ends_count_for_nobody_before_they_are_shown() -> None:
    view = CrashView()
    view.record_crash(TargetCrash(POISON, 't1', 1, is_unconfirmed=True), 0, 1)
    assert view.count_crashes(POISON) == 0
    assert view.unsaved_notes()[0].is_silent


# Guards against a popular content that a new holder takes for an unknown one,
# and refuses for long.
def test_a_node_tells_of_whole_answers_before_an_end() -> None:
    view = CrashView()
    see(view, 't1', 0, 1)
    view.record_success(POISON)
    see(view, 't2', 0, 1)
    assert [note.is_proven for note in view.unsaved_notes()] == [False, True]
    book = CrashTracker()
    for note in view.unsaved_notes():
        book.record_crash(crash_of_note(note), None, 5)
    row = stored_row(book, ROW_BYTES, 0)
    assert decode_suspects(row, 0)[POISON].has_succeeded


# Guards against silent ends that a new holder never hears of: the store has
# counted ends alone.
def test_silent_ends_are_kept_beyond_the_holders_row() -> None:
    view = CrashView()
    view.record_crash(TargetCrash(POISON, 't1', 1, is_unconfirmed=True), 0, 1)
    see(view, 't2', 0, 1)
    for now in (2, 3, UNCONFIRMED_CRASH_TTL_S):
        reply = BeatReply(True, fence=1, unsaved_s=0.1)
        view.apply_reply(reply, beat(view), now)
    assert [note.target for note in view.unsaved_notes()] == ['t1']
    reply = BeatReply(True, fence=1, unsaved_s=0.1)
    view.apply_reply(reply, beat(view), UNCONFIRMED_CRASH_TTL_S + 3)
    assert not view.unsaved_notes()


def test_what_a_node_saw_is_bounded() -> None:
    view = CrashView()
    for number in range(MAX_KEPT_CRASHES + 10):
        see(view, f't{number}', 0, 1)
    assert len(view.unsaved_notes()) == MAX_KEPT_CRASHES


# Guards against a loss of all nodes, with which all counts were lost.
def test_suspects_come_back_from_the_store_as_they_were() -> None:
    book = book_of(3)
    book.record_success(POISON)
    trials = TrialPlanner(book)
    trials.plan_trial_if_due(POISON, 70)
    trials.record_trial_start(POISON, 70)
    row = stored_row(book, ROW_BYTES, 1000)
    # The clock of another process began 400 s later.
    read = decode_suspects(row, 1400)[POISON]
    known = book.suspects[POISON]
    assert read == attrs.evolve(known, last_seen_s=known.last_seen_s - 400)


def test_rows_that_cannot_be_read_are_left_out() -> None:
    for content in (b'', b'[]', b'[1]', b'{"a": 1}', b'{"a": {"ends": [[]]}}'):
        assert decode_suspects(content, 0) == {}


def test_a_row_keeps_within_its_bytes_and_what_is_refused() -> None:
    book = book_of(3)
    for number in range(500):
        end = TargetCrash(f'one-{number}', 't1', 1)
        book.record_crash(end, None, 9)
    row = stored_row(book, 4096, 0)
    assert len(row) <= 4096
    assert POISON in decode_suspects(row, 0)


def test_only_news_are_saved_and_only_answered_ones_count() -> None:
    saver, book = SuspectSaver(), book_of(0)
    assert saver.unsaved_rows(book, ROW_BYTES) == ()
    saver.record_saved(1)
    book.record_crash(TargetCrash(POISON, 't1', 1), None, 2)
    for _ in range(2):  # the first write gets no answer
        changes = saver.unsaved_rows(book, ROW_BYTES)
        assert [change.name for change in changes] == [SUSPECTS_ROW]
    assert saver.saved_s == 1
    saver.record_saved(3)
    assert saver.unsaved_rows(book, ROW_BYTES) == ()


def test_a_stored_row_tells_a_new_holder() -> None:
    stored = StoredSuspects()
    row = stored_row(book_of(3), ROW_BYTES, 0)
    stored.apply_rows([StoredRow(SUSPECTS_ROW, 7, row)])
    stored.apply_rows([StoredRow(SUSPECTS_ROW, 6, b'{}')])
    book = CrashTracker()
    stored.import_into_tracker(book, 9)
    assert len(book.suspects[POISON].crashes) == 3


# Guards against a VM that has just started, whose clock was below 0 when the
# ends were noted.
@pytest.mark.parametrize('uptime_s', [1, 60, 604800])
def test_stored_ends_count_on_vms_of_any_uptime(uptime_s: float) -> None:
    clock_s = 5000.0
    row = stored_row(book_of(3), ROW_BYTES, 0)
    stored = StoredSuspects(lambda: clock_s - uptime_s)
    stored.apply_rows([StoredRow(SUSPECTS_ROW, 7, row)])
    book = CrashTracker()
    stored.import_into_tracker(book, uptime_s)
    # They were noted at 5.
    age_s = clock_s - 5
    trial_s = uptime_s - age_s + TRIAL_DELAY_S
    assert trial_due_s(book, uptime_s) == trial_s
    assert len(book.suspects[POISON].crashes) == 3


# Guards against a step of a VM's time of day that has contents forgotten, or
# refused for ever.
@pytest.mark.parametrize('step_s', [-5, -2, 2, 5])
def test_a_step_of_the_time_of_day_moves_trials_by_no_more(
    step_s: float,
) -> None:
    row = stored_row(book_of(3), ROW_BYTES, 0)
    stored = StoredSuspects(lambda: step_s)
    stored.apply_rows([StoredRow(SUSPECTS_ROW, 7, row)])
    book = CrashTracker()
    stored.import_into_tracker(book, 6)
    assert book.get_verdict(POISON) is Verdict.REFUSED
    trial_s = trial_due_s(book, 0)
    assert abs(trial_s - (5 + TRIAL_DELAY_S)) <= abs(step_s)


def test_nodes_are_told_of_contents_under_several_ends() -> None:
    watch, book = SuspectMonitor(), book_of(2)
    book.record_crash(TargetCrash('beside', 't0', 1), None, 5)
    watch.update_rows(book)
    assert set(watch.row_log.rows) == {POISON}
    for _ in range(5):
        book.record_success(POISON)
    watch.update_rows(book)
    assert not watch.row_log.rows
