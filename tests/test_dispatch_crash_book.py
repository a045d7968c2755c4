"""Refuses a request after which several targets have ended."""

import attrs

from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import Assignment, CallOutcome, Dispatcher, Refusal
from mimosaworks.dispatch.crash_book import REMEMBER_S, CrashBook
from mimosaworks.dispatch.plain_pool import PlainPool
from mimosaworks.dispatch.resend_budget import ResendBudgets, ResendTerms
from mimosaworks.errors import ErrorKind
from tests.dispatch_world import entry, make_ask


def reborn(old: TargetEntry) -> TargetEntry:
    return attrs.evolve(old, born=old.born + 1)


def test_a_request_is_refused_after_its_second_crash() -> None:
    book = CrashBook()
    target = entry('t1')
    for _ in range(2):
        assert not book.is_refused('mark')
        book.note_broken('mark', target, 0)
        target = reborn(target)
        book.follow_entries({'t1': target}, 1)
    assert book.is_refused('mark')


def test_a_broken_connection_is_no_crash() -> None:
    book = CrashBook()
    target = entry('t1')
    for _ in range(3):
        book.note_broken('mark', target, 0)
        book.follow_entries({'t1': target}, 1)
    assert not book.is_refused('mark')


def test_one_crash_counts_once_for_a_request() -> None:
    book = CrashBook()
    target = entry('t1')
    book.note_broken('mark', target, 0)
    book.note_broken('mark', target, 0)
    book.follow_entries({}, 1)
    assert not book.is_refused('mark')


def test_a_target_that_leaves_later_was_not_crashed() -> None:
    book = CrashBook()
    book.note_broken('mark', entry('t1'), 0)
    book.follow_entries({'t1': entry('t1')}, REMEMBER_S + 1)
    assert not book.follow_entries({}, REMEMBER_S + 2)


def test_the_dispatcher_refuses_what_crashes_its_targets() -> None:
    dispatcher = Dispatcher(ResendBudgets(ResendTerms(0.2, 50, 10)))
    dispatcher.pools['ledger'] = PlainPool()
    target = entry('t1', service='ledger')
    for now in range(2):
        dispatcher.follow_entries({'t1': target}, now)
        ask = make_ask(mark='poison')
        assert dispatcher.admit(ask, now) == 0
        assert isinstance(dispatcher.submit(ask, now), Assignment)
        dispatcher.ended(ask.call, CallOutcome.BROKEN, 0.1, now)
        target = reborn(target)
    dispatcher.follow_entries({'t1': target}, 2)
    refused = dispatcher.admit(make_ask(mark='poison'), 2)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.CRASH_SUSPECT
    assert dispatcher.admit(make_ask(mark='other'), 2) == 0
