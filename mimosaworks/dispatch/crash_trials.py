"""Trials of contents that are refused as they crashed several targets."""

import attrs

from mimosaworks.dispatch.crash_book import (
    BookNews,
    CrashBook,
    Suspect,
    Verdict,
)

TRIAL_S = 10.0  # after the last end, or the last trial
TRIAL_GROWTH = 4  # of that pause with each trial that succeeded
MAX_TRIALS = 1  # that did not succeed
# A content that succeeded before is more likely to be a bystander.
PROVEN_TRIAL_S = 1.0  # after the last end, for the first trial
PROVEN_MAX_TRIALS = 2


@attrs.define(eq=False)
class CrashTrials:
    """Plans the trials of the contents in a book.

    A trial is stored before it is made, so that no other holder repeats it:
    the next one takes a planned trial for made.
    """

    book: CrashBook
    _stored_version: int = 0
    _stored_marks: frozenset[str] = frozenset()

    def plan(self, mark: str, now: float) -> None:
        """Plan a trial of a refused content if one is due."""
        suspect = self.book.suspects[mark]
        if _is_due(suspect, now):
            suspect.trials += 1
            self.book.version += 1
            suspect.planned = self.book.version

    def may_try(self, mark: str) -> bool:
        """Tell whether a content has a trial that is stored."""
        suspect = self.book.suspects.get(mark)
        if suspect is None or not suspect.planned:
            return False
        is_stored = suspect.planned <= self._stored_version
        return is_stored and mark in self._stored_marks

    def take(self, mark: str, now: float) -> None:
        """Note that a planned trial is made."""
        suspect = self.book.suspects[mark]
        suspect.planned = 0
        suspect.noted_s = now
        self.book.news.append(BookNews(mark, 'trial'))
        self.book.version += 1

    def give_back(self, mark: str) -> None:
        """Note that no byte of a trial was sent."""
        if self.book.judge(mark) is Verdict.REFUSED:
            self.book.suspects[mark].planned = self._stored_version

    def note_stored(self, version: int, marks: frozenset[str]) -> None:
        """Note that the store has these contents as of a version."""
        self._stored_version = version
        self._stored_marks = marks


def _is_due(suspect: Suspect, now: float) -> bool:
    most = PROVEN_MAX_TRIALS if suspect.is_proven else MAX_TRIALS
    if suspect.planned or suspect.trials - suspect.passed >= most:
        return False
    growth: int = TRIAL_GROWTH**suspect.passed
    pause_s = TRIAL_S * growth
    if suspect.is_proven and not suspect.trials:
        pause_s = PROVEN_TRIAL_S
    return now >= suspect.noted_s + pause_s
