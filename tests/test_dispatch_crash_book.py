"""Crashes by fingerprint: counted, confirmed, retracted, expired."""

import attrs
import pytest

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch import CrashTracker, EntriesView, TargetCrash, Verdict
from mimosaworks.dispatch.crash_tracker import (
    EXPIRY_CHECK_INTERVAL_S,
    MAX_SUSPECTS,
    MIN_CRASHES_REFUSED,
    SUCCESSES_TO_RETRACT,
    SUSPECT_TTL_S,
)
from mimosaworks.dispatch.target_crashes import MAX_CRASHES
from tests.dispatch_world import make_entry

POISON = 'poison'
ENTRY_EXPIRY_S = 6.0


def make_crash(
    number: int, fingerprint: str = POISON, **fields: bool
) -> TargetCrash:
    """Return a crash of the target with this number."""
    return TargetCrash(fingerprint, f't{number}', 1, **fields)


def make_entries(*names: str, incarnation: int = 1) -> dict[str, TargetEntry]:
    return {
        name: attrs.evolve(make_entry(name), incarnation=incarnation)
        for name in names
    }


def make_view(entries: dict[str, TargetEntry], read_s: float) -> EntriesView:
    return EntriesView(entries, 0, read_s, ENTRY_EXPIRY_S)


def make_tracker(crashes: int, fingerprint: str = POISON) -> CrashTracker:
    """Return a tracker that counts this many crashes of a fingerprint."""
    tracker = CrashTracker()
    for number in range(crashes):
        tracker.record_crash(make_crash(number, fingerprint), None, 0)
    return tracker


@pytest.mark.parametrize(
    ('crashes', 'verdict'),
    [
        (0, Verdict.SERVED),
        (1, Verdict.SERVED),
        (2, Verdict.SERIALIZED),
        (3, Verdict.REFUSED),
        (4, Verdict.REFUSED),
    ],
)
def test_a_fingerprint_is_refused_from_its_third_crash_on(
    crashes: int, verdict: Verdict
) -> None:
    tracker = make_tracker(crashes)
    assert tracker.get_verdict(POISON) is verdict
    assert tracker.get_verdict('other') is Verdict.SERVED


def test_a_crash_is_retracted_if_its_target_still_runs() -> None:
    tracker = make_tracker(3)
    entries = make_entries('t0', 't1', 't2')
    tracker.reconcile_entries(
        make_view(entries, ENTRY_EXPIRY_S), ENTRY_EXPIRY_S
    )
    assert tracker.get_verdict(POISON) is Verdict.REFUSED
    tracker.reconcile_entries(
        make_view(entries, ENTRY_EXPIRY_S + 0.1), ENTRY_EXPIRY_S + 0.1
    )
    assert tracker.get_verdict(POISON) is Verdict.SERVED


def test_a_crash_that_entries_confirm_stays_counted() -> None:
    tracker = make_tracker(3)
    restarted_entries = make_entries(
        't0', 't1', incarnation=2
    )  # t2 was removed
    tracker.reconcile_entries(make_view(restarted_entries, 1), 1)
    old_entries = make_entries('t0', 't1', 't2')
    tracker.reconcile_entries(make_view(old_entries, 9), 9)
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


def test_entries_read_before_a_crash_do_not_confirm_it() -> None:
    tracker = CrashTracker()
    tracker.record_crash(make_crash(0), None, 10)
    tracker.reconcile_entries(make_view({}, 9), 11)
    tracker.reconcile_entries(make_view(make_entries('t0'), 30), 30)
    assert not tracker.suspects


# Guards against crashes that are retracted because the store is unavailable,
# so that no new entry is read.
def test_crashes_stay_counted_while_the_store_is_unavailable() -> None:
    tracker = make_tracker(3)
    old_entries = make_entries('t0', 't1', 't2')
    for now in range(1, 40):
        tracker.reconcile_entries(
            EntriesView(old_entries, 0, 0.5, ENTRY_EXPIRY_S), now
        )
    assert len(tracker.suspects[POISON].crashes) == 3
    # The store is read again from 40 s on, and entries need time to expire.
    tracker.reconcile_entries(
        EntriesView(old_entries, 40, 42, ENTRY_EXPIRY_S), 42
    )
    assert len(tracker.suspects[POISON].crashes) == 3
    restarted_entries = make_entries('t0', 't1', 't2', incarnation=2)
    tracker.reconcile_entries(
        EntriesView(restarted_entries, 40, 43, ENTRY_EXPIRY_S), 43
    )
    tracker.reconcile_entries(
        EntriesView(old_entries, 40, 50, ENTRY_EXPIRY_S), 50
    )
    assert len(tracker.suspects[POISON].crashes) == 3


# Guards against three crashes of a target that count once because its new
# entry is not read in between, so that all have the same known incarnation.
def test_crashes_of_one_incarnation_count_each() -> None:
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(TargetCrash(POISON, 't1', 1, number), None, number)
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


def test_a_crash_reported_by_several_nodes_counts_once() -> None:
    tracker = CrashTracker()
    for _ in range(3):
        tracker.record_crash(make_crash(1), None, 0)
    assert tracker.get_verdict(POISON) is Verdict.SERVED


# Guards against crashes that break no connection and are not counted: requests
# end without an answer, or their callers disconnect first.
def test_an_unconfirmed_crash_counts_once_entries_confirm_it() -> None:
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(make_crash(number, is_unconfirmed=True), None, 0)
    tracker.reconcile_entries(make_view(make_entries('t0', 't1', 't2'), 1), 1)
    assert tracker.get_verdict(POISON) is Verdict.SERVED
    tracker.reconcile_entries(make_view({}, 4), 4)
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


def test_an_unconfirmed_crash_of_a_running_target_never_counts() -> None:
    tracker = CrashTracker()
    tracker.record_crash(make_crash(0, is_unconfirmed=True), None, 0)
    tracker.reconcile_entries(
        make_view(make_entries('t0'), ENTRY_EXPIRY_S + 1), ENTRY_EXPIRY_S + 1
    )
    tracker.reconcile_entries(
        make_view({}, ENTRY_EXPIRY_S + 2), ENTRY_EXPIRY_S + 2
    )
    assert not tracker.suspects


def test_a_draining_target_has_not_crashed() -> None:
    tracker = CrashTracker()
    draining_entry = attrs.evolve(make_entry('t0'), state=TargetState.DRAINING)
    tracker.record_crash(make_crash(0), draining_entry, 0)
    tracker.record_crash(make_crash(0, is_unconfirmed=True), draining_entry, 0)
    tracker.reconcile_entries(make_view({}, 1), 1)
    assert not tracker.suspects


def test_an_unknown_incarnation_is_taken_from_the_entry() -> None:
    tracker = CrashTracker()
    tracker.record_crash(
        TargetCrash(POISON, 't0', 0), make_entries('t0')['t0'], 0
    )
    tracker.reconcile_entries(
        make_view(make_entries('t0'), ENTRY_EXPIRY_S + 1), ENTRY_EXPIRY_S + 1
    )
    assert not tracker.suspects


# Guards against refused bystanders: sixty other requests ran on the target that
# one request crashed, and succeed elsewhere.
def test_bystanders_of_one_crash_are_served() -> None:
    tracker = CrashTracker()
    bystanders = [f'beside-{number}' for number in range(60)]
    for fingerprint in bystanders:
        tracker.record_crash(make_crash(0, fingerprint), None, 0)
    for number in range(3):
        tracker.record_crash(make_crash(number), None, 0)
    assert {tracker.get_verdict(mark) for mark in bystanders} == {
        Verdict.SERVED
    }
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


# Guards against a request that crashes every other target and whose crash is
# retracted by one successful answer each time.
def test_occasional_successes_do_not_prevent_a_refusal() -> None:
    tracker = CrashTracker()
    for number in range(MIN_CRASHES_REFUSED):
        tracker.record_crash(make_crash(number), None, number)
        tracker.record_success(POISON)
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


def test_many_successes_clear_a_suspect() -> None:
    tracker = CrashTracker()
    for number in range(20):
        tracker.record_crash(make_crash(number), None, number)
        for _ in range(SUCCESSES_TO_RETRACT):
            tracker.record_success(POISON)
    assert not tracker.suspects


# Guards against successes before a crash that retract it: a request that had
# succeeded ten times crashed five targets before it was refused.
def test_successes_before_a_crash_do_not_retract_it() -> None:
    tracker = CrashTracker()
    for number in range(MIN_CRASHES_REFUSED):
        tracker.record_success(POISON)
        tracker.record_crash(make_crash(number, has_succeeded=True), None, 0)
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


def test_suspects_expire() -> None:
    tracker = make_tracker(2)
    tracker.reconcile_entries(make_view({}, 1), 1)
    tracker.reconcile_entries(make_view({}, SUSPECT_TTL_S), SUSPECT_TTL_S)
    assert POISON in tracker.suspects
    expired_s = SUSPECT_TTL_S + EXPIRY_CHECK_INTERVAL_S + 0.1
    tracker.reconcile_entries(make_view({}, expired_s), expired_s)
    assert not tracker.suspects


def test_the_tracker_is_bounded_and_keeps_refused_suspects() -> None:
    tracker = make_tracker(3)
    for number in range(MAX_SUSPECTS + 50):
        tracker.record_crash(make_crash(7, f'one-{number}'), None, 1)
    for number in range(MAX_CRASHES + 5):
        tracker.record_crash(make_crash(number), None, 2)
    assert len(tracker.suspects) == MAX_SUSPECTS
    assert len(tracker.suspects[POISON].crashes) == MAX_CRASHES
    assert 'one-0' not in tracker.suspects
    tracker.reconcile_entries(make_view({}, 3), 3)
    assert tracker.get_verdict(POISON) is Verdict.REFUSED


def test_a_new_holder_merges_the_suspects_of_the_last_one() -> None:
    old, new = make_tracker(2), CrashTracker()
    new.record_crash(make_crash(5), None, 0)
    for fingerprint, suspect in old.suspects.items():
        new.import_suspect(fingerprint, suspect, 1)
        new.import_suspect(fingerprint, suspect, 1)
    assert new.get_verdict(POISON) is Verdict.REFUSED
