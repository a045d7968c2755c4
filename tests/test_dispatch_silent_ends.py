"""Unconfirmed crashes: requests that ended without an answer."""

import attrs
import pytest

from mimosaworks.dispatch import CrashTracker, EntriesView, Verdict
from mimosaworks.dispatch.target_crashes import MAX_CRASHES
from mimosaworks.dispatch.unconfirmed_crashes import (
    CONFIRMATION_WAIT_S,
    MAX_FINGERPRINTS,
    UnconfirmedCrashes,
)
from tests.test_dispatch_crash_book import (
    ENTRY_EXPIRY_S,
    POISON,
    make_crash,
    make_entries,
    make_tracker,
    make_view,
)


def make_unconfirmed(*target_numbers: int, now: float = 0) -> CrashTracker:
    """Return a tracker with unconfirmed crashes of these targets."""
    tracker = CrashTracker()
    for number in target_numbers:
        tracker.record_crash(make_crash(number, is_unconfirmed=True), None, now)
    return tracker


# Guards against a request that is sent to more targets while its callers
# disconnect before the targets crash: entries confirm a crash seconds later.
def test_a_request_is_held_while_three_targets_may_have_crashed() -> None:
    tracker = make_unconfirmed(0, 1)
    assert not tracker.may_have_crashed_several(POISON)
    tracker.record_crash(make_crash(2, is_unconfirmed=True), None, 1)
    assert tracker.may_have_crashed_several(POISON)
    assert not tracker.may_have_crashed_several('other')
    assert tracker.get_verdict(POISON) is Verdict.SERVED


# Guards against requests that are sent again before the entries of a store that
# is unavailable or stale can confirm a crash.
def test_a_hold_ends_once_entries_were_read_for_long_enough() -> None:
    tracker = make_unconfirmed(0, 1, 2)
    entries = make_entries('t0', 't1', 't2')
    slow_view = EntriesView(
        entries,
        CONFIRMATION_WAIT_S,
        CONFIRMATION_WAIT_S + 1,
        2 * CONFIRMATION_WAIT_S,
    )
    tracker.reconcile_entries(slow_view, CONFIRMATION_WAIT_S + 1)
    assert tracker.may_have_crashed_several(POISON)
    tracker.reconcile_entries(
        attrs.evolve(slow_view, last_read_s=2 * CONFIRMATION_WAIT_S),
        2 * CONFIRMATION_WAIT_S,
    )
    assert not tracker.may_have_crashed_several(POISON)


@pytest.mark.parametrize('counted_crashes', [1, 2])
def test_unconfirmed_and_counted_crashes_add_up(counted_crashes: int) -> None:
    tracker = make_tracker(counted_crashes)
    for number in range(counted_crashes, 3):
        assert not tracker.may_have_crashed_several(POISON)
        tracker.record_crash(make_crash(number, is_unconfirmed=True), None, 0)
    assert tracker.may_have_crashed_several(POISON)


def test_crashes_of_one_slow_target_hold_no_requests() -> None:
    tracker = CrashTracker()
    for _ in range(3):
        tracker.record_crash(make_crash(0, is_unconfirmed=True), None, 0)
    assert not tracker.may_have_crashed_several(POISON)


def test_a_complete_answer_ends_the_hold() -> None:
    tracker = make_unconfirmed(0, 1, 2)
    tracker.record_success(POISON)
    assert not tracker.may_have_crashed_several(POISON)
    tracker.reconcile_entries(make_view({}, 1), 1)
    assert tracker.get_verdict(POISON) is Verdict.SERVED


def test_confirmed_crashes_are_no_longer_unconfirmed() -> None:
    tracker = make_unconfirmed(0, 1, 2)
    tracker.reconcile_entries(make_view(make_entries('t1', 't2'), 1), 1)
    assert len(tracker.suspects[POISON].crashes) == 1
    assert tracker.may_have_crashed_several(POISON)
    tracker.reconcile_entries(
        make_view(make_entries('t1', 't2'), ENTRY_EXPIRY_S + 1),
        ENTRY_EXPIRY_S + 1,
    )
    assert not tracker.may_have_crashed_several(POISON)


def test_unconfirmed_crashes_are_bounded() -> None:
    pending = UnconfirmedCrashes()
    for number in range(MAX_CRASHES + 5):
        pending.add(make_crash(number, is_unconfirmed=True), 0)
    for number in range(MAX_FINGERPRINTS):
        pending.add(make_crash(0, f'one-{number}', is_unconfirmed=True), 0)
    confirmed_fingerprints = [
        crash.fingerprint for crash in pending.pop_confirmed(make_view({}, 1))
    ]
    assert len(confirmed_fingerprints) == MAX_FINGERPRINTS
    assert POISON not in confirmed_fingerprints
