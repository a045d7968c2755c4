"""Trial runs of requests that are refused after they crashed targets."""

import attrs

from mimosaworks.dispatch.crash_book import (
    BookNews,
    CrashBook,
    Suspect,
    Verdict,
)

# Delay of a trial run after the last crash or the last trial run.
TRIAL_S = 10.0
# Factor by which each trial run that succeeded makes that delay longer.
TRIAL_DELAY_GROWTH = 4
MAX_FAILED_TRIALS = 1
# Requests with a fingerprint that succeeded before probably only ran beside
# the request that crashed the target, so that their first trial run comes
# sooner after the last crash.
TRIAL_DELAY_AFTER_SUCCESS_S = 1.0
MAX_FAILED_TRIALS_AFTER_SUCCESS = 2


@attrs.define(eq=False)
class CrashTrials:
    """Plans trial runs of refused suspects; used by the dispatcher.

    A trial run is stored before it is made, so that no other lease holder
    repeats it: the next holder counts a planned trial run as made.
    """

    book: CrashBook
    _stored_version: int = 0
    _stored_fingerprints: frozenset[str] = frozenset()

    def plan(self, fingerprint: str, now: float) -> None:
        """Plan a trial run for a refused fingerprint if one is due."""
        suspect = self.book.suspects[fingerprint]
        if _is_trial_due(suspect, now):
            suspect.trials += 1
            self.book.version += 1
            suspect.planned = self.book.version

    def has_stored_trial(self, fingerprint: str) -> bool:
        """Return whether a planned trial run is stored and may be made."""
        suspect = self.book.suspects.get(fingerprint)
        if suspect is None or not suspect.planned:
            return False
        is_stored = suspect.planned <= self._stored_version
        return is_stored and fingerprint in self._stored_fingerprints

    def take(self, fingerprint: str, now: float) -> None:
        """Record that a planned trial run is made."""
        suspect = self.book.suspects[fingerprint]
        suspect.planned = 0
        suspect.noted_s = now
        self.book.news.append(BookNews(fingerprint, 'trial'))
        self.book.version += 1

    def restore_trial(self, fingerprint: str) -> None:
        """Make a trial run available again of which no byte was sent."""
        if self.book.judge(fingerprint) is Verdict.REFUSED:
            self.book.suspects[fingerprint].planned = self._stored_version

    def note_stored(self, version: int, fingerprints: frozenset[str]) -> None:
        """Record that the store holds these fingerprints as of a version."""
        self._stored_version = version
        self._stored_fingerprints = fingerprints


def _is_trial_due(suspect: Suspect, now: float) -> bool:
    max_trials = (
        MAX_FAILED_TRIALS_AFTER_SUCCESS
        if suspect.is_proven
        else MAX_FAILED_TRIALS
    )
    if suspect.planned or suspect.trials - suspect.passed >= max_trials:
        return False
    backoff_factor: int = TRIAL_DELAY_GROWTH**suspect.passed
    delay_s = TRIAL_S * backoff_factor
    if suspect.is_proven and not suspect.trials:
        delay_s = TRIAL_DELAY_AFTER_SUCCESS_S
    return now >= suspect.noted_s + delay_s
