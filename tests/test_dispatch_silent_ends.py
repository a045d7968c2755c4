"""Requests that ended without an answer, and the ends that they may show."""

import attrs
import pytest

from mimosaworks.dispatch import CrashBook, EntriesView, Verdict
from mimosaworks.dispatch.silent_ends import (
    CONFIRMATION_WAIT_S,
    MAX_FINGERPRINTS,
    UnconfirmedCrashes,
)
from mimosaworks.dispatch.target_ends import MAX_CRASHES
from tests.test_dispatch_crash_book import (
    LAPSE_S,
    POISON,
    alive,
    crashed,
    end,
    view,
)


def silent(*numbers: int, now: float = 0) -> CrashBook:
    """Return a book with silent ends under a content."""
    book = CrashBook()
    for number in numbers:
        book.note_end(end(number, is_silent=True), None, now)
    return book


# Guards against a content that goes on while its callers leave before its
# targets end: entries show an end seconds later.
def test_a_content_is_held_while_three_targets_may_have_ended() -> None:
    book = silent(0, 1)
    assert not book.may_have_crashed_several(POISON)
    book.note_end(end(2, is_silent=True), None, 1)
    assert book.may_have_crashed_several(POISON)
    assert not book.may_have_crashed_several('other')
    assert book.judge(POISON) is Verdict.SERVED


# Guards against a hold that ends before the entries of a store that is silent
# or behind can show an end.
def test_a_hold_ends_once_entries_were_read_for_long_enough() -> None:
    book = silent(0, 1, 2)
    living = alive('t0', 't1', 't2')
    slow = EntriesView(
        living,
        CONFIRMATION_WAIT_S,
        CONFIRMATION_WAIT_S + 1,
        2 * CONFIRMATION_WAIT_S,
    )
    book.follow_entries(slow, CONFIRMATION_WAIT_S + 1)
    assert book.may_have_crashed_several(POISON)
    book.follow_entries(
        attrs.evolve(slow, read_s=2 * CONFIRMATION_WAIT_S),
        2 * CONFIRMATION_WAIT_S,
    )
    assert not book.may_have_crashed_several(POISON)


@pytest.mark.parametrize('counted', [1, 2])
def test_silent_ends_are_held_beside_those_that_count(counted: int) -> None:
    book = crashed(counted)
    for number in range(counted, 3):
        assert not book.may_have_crashed_several(POISON)
        book.note_end(end(number, is_silent=True), None, 0)
    assert book.may_have_crashed_several(POISON)


def test_one_target_that_is_slow_holds_nothing() -> None:
    book = CrashBook()
    for _ in range(3):
        book.note_end(end(0, is_silent=True), None, 0)
    assert not book.may_have_crashed_several(POISON)


def test_a_whole_answer_ends_the_hold() -> None:
    book = silent(0, 1, 2)
    book.note_answer(POISON)
    assert not book.may_have_crashed_several(POISON)
    book.follow_entries(view({}, 1), 1)
    assert book.judge(POISON) is Verdict.SERVED


def test_what_entries_show_is_held_no_more() -> None:
    book = silent(0, 1, 2)
    book.follow_entries(view(alive('t1', 't2'), 1), 1)
    assert len(book.suspects[POISON].ends) == 1
    assert book.may_have_crashed_several(POISON)
    book.follow_entries(view(alive('t1', 't2'), LAPSE_S + 1), LAPSE_S + 1)
    assert not book.may_have_crashed_several(POISON)


def test_silent_ends_are_bounded() -> None:
    pending = UnconfirmedCrashes()
    for number in range(MAX_CRASHES + 5):
        pending.add(end(number, is_silent=True), 0)
    for number in range(MAX_FINGERPRINTS):
        pending.add(end(0, f'one-{number}', is_silent=True), 0)
    shown = [found.mark for found in pending.pop_confirmed(view({}, 1))]
    assert len(shown) == MAX_FINGERPRINTS
    assert POISON not in shown
