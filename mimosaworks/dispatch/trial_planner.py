"""Trial runs of requests that are refused after they crashed targets."""

from collections.abc import Iterable

import attrs

from mimosaworks.dispatch.crash_tracker import (
    CrashLogEntry,
    CrashTracker,
)
from mimosaworks.dispatch.suspect import Suspect
from mimosaworks.dispatch.suspect_keys import Verdict

# Delay of a trial run after the last crash or the last trial run.
TRIAL_DELAY_S = 10.0
# Factor by which each trial run that succeeded makes that delay longer.
TRIAL_DELAY_GROWTH = 4
MAX_FAILED_TRIALS = 1
# Requests with a fingerprint that succeeded before probably only ran beside
# the request that crashed the target, so that their first trial run comes
# sooner after the last crash.
TRIAL_DELAY_AFTER_SUCCESS_S = 1.0
MAX_FAILED_TRIALS_AFTER_SUCCESS = 2


@attrs.define(eq=False)
class TrialPlanner:
    """Plans trial runs of refused suspects; used by the dispatcher.

    A trial run is stored before it is made, so that no other lease holder
    repeats it: the next holder counts a planned trial run as made.
    """

    tracker: CrashTracker
    _stored_version: int = 0
    _stored_fingerprints: frozenset[str] = frozenset()

    def plan_trial_if_due(self, fingerprint: str, now: float) -> None:
        """Plan a trial run for a refused fingerprint if one is due."""
        suspect = self.tracker.suspects[fingerprint]
        if _is_trial_due(suspect, now):
            suspect.trial_count += 1
            self.tracker.version += 1
            suspect.planned_trial_version = self.tracker.version

    def has_stored_trials(self, keys: Iterable[str]) -> bool:
        """Return whether a trial run of a request with refused keys is stored.

        It has to be planned for each of them.
        """
        return all(self.has_stored_trial(key) for key in keys)

    def has_stored_trial(self, fingerprint: str) -> bool:
        """Return whether a planned trial run is stored and may be made."""
        suspect = self.tracker.suspects.get(fingerprint)
        if suspect is None or not suspect.planned_trial_version:
            return False
        is_stored = suspect.planned_trial_version <= self._stored_version
        return is_stored and fingerprint in self._stored_fingerprints

    def record_trial_start(self, fingerprint: str, now: float) -> None:
        """Record that a planned trial run is made."""
        suspect = self.tracker.suspects[fingerprint]
        suspect.planned_trial_version = 0
        suspect.last_seen_s = now
        self.tracker.log_entries.append(CrashLogEntry(fingerprint, 'trial'))
        self.tracker.version += 1

    def restore_trial(self, fingerprint: str) -> None:
        """Make a trial run available again of which no byte was sent."""
        if self.tracker.get_verdict(fingerprint) is Verdict.REFUSED:
            self.tracker.suspects[
                fingerprint
            ].planned_trial_version = self._stored_version

    def record_stored_suspects(
        self, version: int, fingerprints: frozenset[str]
    ) -> None:
        """Record that the store holds these fingerprints as of a version."""
        self._stored_version = version
        self._stored_fingerprints = fingerprints


def _is_trial_due(suspect: Suspect, now: float) -> bool:
    max_trials = (
        MAX_FAILED_TRIALS_AFTER_SUCCESS
        if suspect.has_succeeded
        else MAX_FAILED_TRIALS
    )
    if (
        suspect.planned_trial_version
        or suspect.trial_count - suspect.succeeded_trials >= max_trials
    ):
        return False
    backoff_factor: int = TRIAL_DELAY_GROWTH**suspect.succeeded_trials
    delay_s = TRIAL_DELAY_S * backoff_factor
    if suspect.has_succeeded and not suspect.trial_count:
        delay_s = TRIAL_DELAY_AFTER_SUCCESS_S
    return now >= suspect.last_seen_s + delay_s
