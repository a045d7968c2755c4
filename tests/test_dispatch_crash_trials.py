"""Trials of refused contents: when, how often, and stored before."""

from mimosaworks.dispatch import CrashBook, CrashTrials, Verdict
from mimosaworks.dispatch.crash_book import SUCCESSES_TO_RETRACT, SUSPECT_TTL_S
from mimosaworks.dispatch.crash_trials import SUCCEEDED_TRIAL_DELAY_S, TRIAL_S
from tests.test_dispatch_crash_book import POISON, crashed, end


def store(trials: CrashTrials) -> None:
    """Tell that the store has all of the book."""
    book = trials.book
    trials.note_stored(book.version, frozenset(book.suspects))


# Guards against a content that is refused for good though targets ended
# beside it by chance: it is tried once.
def test_a_refused_content_is_tried_once() -> None:
    trials = CrashTrials(crashed(3))
    book = trials.book
    tried_s = []
    for now in range(int(SUSPECT_TTL_S)):
        trials.plan(POISON, now)
        store(trials)
        if trials.has_stored_trial(POISON):
            trials.take(POISON, now)
            tried_s.append(now)
            book.note_end(end(3), None, now)
    assert tried_s == [TRIAL_S]


# Guards against a popular content that is refused for long because three
# targets ended beside it within moments.
def test_a_content_that_ran_whole_before_is_tried_sooner() -> None:
    book = CrashBook()
    for number in range(3):
        book.note_end(end(number, is_proven=number == 1), None, 0)
    trials = CrashTrials(book)
    tried_s = []
    for now in range(int(SUSPECT_TTL_S)):
        trials.plan(POISON, now)
        store(trials)
        if trials.has_stored_trial(POISON):
            trials.take(POISON, now)
            tried_s.append(now)
    assert tried_s == [
        SUCCEEDED_TRIAL_DELAY_S,
        SUCCEEDED_TRIAL_DELAY_S + TRIAL_S,
    ]


# Guards against a trial that its holder alone knew of, so that each new holder
# made it again: it crashes its target at once.
def test_a_trial_is_stored_before_it_is_made() -> None:
    trials = CrashTrials(crashed(3))
    book = trials.book
    store(trials)
    trials.plan(POISON, TRIAL_S)
    assert not trials.has_stored_trial(POISON)
    trials.note_stored(book.version, frozenset(('other',)))  # no room
    assert not trials.has_stored_trial(POISON)
    heir = CrashTrials(CrashBook())
    heir.book.adopt(POISON, book.suspects[POISON], TRIAL_S)
    heir.plan(POISON, TRIAL_S * 2)
    store(heir)
    assert not heir.has_stored_trial(POISON)
    store(trials)
    assert trials.has_stored_trial(POISON)


def test_a_trial_of_which_no_byte_was_sent_is_not_spent() -> None:
    trials = CrashTrials(crashed(3))
    trials.plan(POISON, TRIAL_S)
    store(trials)
    trials.take(POISON, TRIAL_S)
    assert not trials.has_stored_trial(POISON)
    trials.restore_trial(POISON)
    assert trials.has_stored_trial(POISON)


# Guards against a content that crashes now and then and whose trials follow
# each other at once.
def test_trials_that_end_whole_are_ever_more_seldom() -> None:
    trials = CrashTrials(crashed(3))
    book = trials.book
    tried_s = []
    for now in range(int(TRIAL_S * 25)):
        if book.judge(POISON) is not Verdict.REFUSED:
            book.note_end(end(10 + now), None, now)
        trials.plan(POISON, now)
        store(trials)
        if trials.has_stored_trial(POISON):
            trials.take(POISON, now)
            tried_s.append(now)
            book.note_answer(POISON)
    assert tried_s == [10, 51, 212]


def test_a_trial_that_ends_whole_clears_step_by_step() -> None:
    trials = CrashTrials(crashed(3))
    book = trials.book
    trials.plan(POISON, TRIAL_S)
    store(trials)
    trials.take(POISON, TRIAL_S)
    book.note_answer(POISON)
    assert book.judge(POISON) is Verdict.APART
    for _ in range(2 * SUCCESSES_TO_RETRACT):
        book.note_answer(POISON)
    assert not book.suspects
