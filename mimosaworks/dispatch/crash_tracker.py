"""Counts the target crashes that requests with a fingerprint may cause."""

import enum
import functools
import math
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.target_crashes import (
    MAX_CRASHES,
    EntriesView,
    IncarnationCrashes,
    TargetCrash,
)
from mimosaworks.dispatch.unconfirmed_crashes import UnconfirmedCrashes

# From this number of crashes on, requests run one at a time.
MIN_CRASHES_SERIALIZED = 2
MIN_CRASHES_REFUSED = 3
# Successful answers that retract one crash.
SUCCESSES_TO_RETRACT = 5
SUSPECT_TTL_S = 600.0
EXPIRY_CHECK_INTERVAL_S = 1.0
MAX_SUSPECTS = 1000
# Entries that are kept between two runs of the suspect monitor, which
# writes them to the log.
MAX_LOG_ENTRIES = 200


class Verdict(enum.Enum):
    """How requests with a fingerprint are served; 'apart': one at a time."""

    SERVED = 'served'
    SERIALIZED = 'apart'
    REFUSED = 'refused'


@attrs.frozen
class CrashLogEntry:
    """A trial run or a retracted crash, and the reason, for the log.

    Its crash is None for a trial run.
    """

    fingerprint: str
    reason: str
    crash: TargetCrash | None = None


@attrs.define
class Suspect:
    """The crashes counted for requests with one fingerprint, by crash key.

    The suspect also counts the successful answers since its last retracted
    crash, the trial runs that were planned while its requests were refused,
    and how many of these succeeded. It has the time of its last crash or
    trial run, and the tracker's version with the trial run that is planned
    (0 without one). The last field is true once such a request succeeded at
    some target, as a request that crashes every target never does.
    """

    crashes: dict[str, TargetCrash] = attrs.field(factory=dict)
    success_count: int = 0
    trial_count: int = 0
    succeeded_trials: int = 0
    last_seen_s: float = 0
    planned_trial_version: int = 0
    has_succeeded: bool = False


def verdict_for_crash_count(crash_count: int) -> Verdict:
    """Return how requests are served that crashed this many targets."""
    if crash_count >= MIN_CRASHES_REFUSED:
        return Verdict.REFUSED
    return (
        Verdict.SERIALIZED
        if crash_count >= MIN_CRASHES_SERIALIZED
        else Verdict.SERVED
    )


@attrs.define
class CrashTracker:
    """The lease holder's record of requests that may crash targets.

    A crash counts at once. It is retracted by successful answers to requests
    with the same fingerprint, or once the target's entry has shown for long
    enough that the target still runs. version grows with each change.
    """

    version: int = 0
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    log_entries: deque[CrashLogEntry] = attrs.field(
        factory=functools.partial(deque, maxlen=MAX_LOG_ENTRIES)
    )
    incarnation_crashes: IncarnationCrashes = attrs.field(
        factory=IncarnationCrashes
    )
    _unverified: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _unconfirmed: UnconfirmedCrashes = attrs.field(factory=UnconfirmedCrashes)
    _next_expiry_check_s: float = 0
    _last_compared_s: float = -math.inf

    def get_verdict(self, fingerprint: str) -> Verdict:
        """Return how requests with this fingerprint are served."""
        suspect = self.suspects.get(fingerprint)
        return verdict_for_crash_count(
            0 if suspect is None else len(suspect.crashes)
        )

    def may_have_crashed_several(self, fingerprint: str) -> bool:
        """Return whether enough crashes to refuse are counted or unconfirmed.

        The targets' entries will show shortly whether these targets crashed.
        No request with this fingerprint was answered in the meantime.
        """
        suspect = self.suspects.get(fingerprint)
        crash_count = 0 if suspect is None else len(suspect.crashes)
        unconfirmed_count = self._unconfirmed.count_recent_targets(fingerprint)
        return (
            unconfirmed_count > 0
            and crash_count + unconfirmed_count >= MIN_CRASHES_REFUSED
        )

    def record_crash(
        self, crash: TargetCrash, entry: TargetEntry | None, now: float
    ) -> None:
        """Count a crash, or keep it until entries confirm it.

        entry is the target's registry entry. A draining target may cut the
        requests that it runs, so this does not count as a crash.
        """
        if entry is not None:
            if entry.state is TargetState.DRAINING:
                return
            crash = attrs.evolve(
                crash, incarnation=crash.incarnation or entry.incarnation
            )
        if crash.is_unconfirmed:
            self._unconfirmed.add(crash, now)
        else:
            self.incarnation_crashes.record_crash(crash)
            self._add_crash(crash, now)

    def record_success(self, fingerprint: str) -> None:
        """Count a successful answer, which may retract a crash."""
        self._unconfirmed.discard_answered(fingerprint)
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.success_count += 1
        suspect.has_succeeded = True
        # A request that crashes every target never succeeds in a trial run.
        is_trial_success = (
            suspect.trial_count > suspect.succeeded_trials
            and not suspect.planned_trial_version
        )
        suspect.succeeded_trials += is_trial_success
        if is_trial_success or suspect.success_count >= SUCCESSES_TO_RETRACT:
            suspect.success_count = 0
            self._retract_crash(
                fingerprint, next(iter(suspect.crashes)), 'answers'
            )

    def reconcile_entries(self, view: EntriesView, now: float) -> None:
        """Compare crashes with the targets' entries and expire old suspects."""
        # Entries that were compared before hold no new facts, also not about
        # crashes since they were read.
        if view.last_read_s > self._last_compared_s:
            self._last_compared_s = view.last_read_s
            self._compare_with_entries(view, now)
        if now > self._next_expiry_check_s:
            self._next_expiry_check_s = now + EXPIRY_CHECK_INTERVAL_S
            for fingerprint in list(self._find_expired(now)):
                self._remove_suspect(fingerprint)

    def import_suspect(
        self, fingerprint: str, suspect: Suspect, now: float
    ) -> None:
        """Merge a suspect that an earlier lease holder stored."""
        for crash in suspect.crashes.values():
            self._add_crash(crash, now)
        existing = self.suspects.get(fingerprint)
        if existing is not None:
            existing.success_count = max(
                existing.success_count, suspect.success_count
            )
            existing.trial_count = max(
                existing.trial_count, suspect.trial_count
            )
            existing.succeeded_trials = max(
                existing.succeeded_trials, suspect.succeeded_trials
            )
            existing.has_succeeded |= suspect.has_succeeded
            existing.last_seen_s = min(suspect.last_seen_s, now)

    def iter_suspects(self, min_crashes: int) -> Iterator[tuple[str, Suspect]]:
        """Yield fingerprints and suspects with at least this many crashes."""
        for fingerprint, suspect in self.suspects.items():
            if len(suspect.crashes) >= min_crashes:
                yield (fingerprint, suspect)

    def _add_crash(self, crash: TargetCrash, now: float) -> None:
        suspect = self.suspects.pop(crash.fingerprint, None) or Suspect()
        self.suspects[crash.fingerprint] = suspect
        suspect.has_succeeded |= crash.has_succeeded
        if crash.key in suspect.crashes:
            return
        self.version += 1
        suspect.last_seen_s = max(suspect.last_seen_s, now)
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes[crash.key] = crash
            self._unverified[crash.fingerprint, crash.key] = now
        if len(self.suspects) > MAX_SUSPECTS:
            self._remove_suspect(self._find_suspect_with_fewest_crashes())

    def _compare_with_entries(self, view: EntriesView, now: float) -> None:
        for suspect_key, recorded_s in list(self._unverified.items()):
            self._verify_crash(suspect_key, recorded_s, view)
        for crash in self._unconfirmed.pop_confirmed(view):
            self._add_crash(crash, now)

    def _verify_crash(
        self, suspect_key: tuple[str, str], recorded_s: float, view: EntriesView
    ) -> None:
        """Keep a crash that entries confirm; retract one that they refute."""
        fingerprint, crash_key = suspect_key
        if view.confirms_crash(
            self.suspects[fingerprint].crashes[crash_key], recorded_s
        ):
            self._unverified.pop(suspect_key)
        elif view.is_confirmation_overdue(recorded_s):
            self._retract_crash(fingerprint, crash_key, 'entry')

    def _find_suspect_with_fewest_crashes(self) -> str:
        """Return the oldest of the suspects with the fewest crashes."""
        return min(self.suspects, key=self._get_crash_count)

    def _get_crash_count(self, fingerprint: str) -> int:
        return len(self.suspects[fingerprint].crashes)

    def _retract_crash(
        self, fingerprint: str, crash_key: str, reason: str
    ) -> None:
        suspect = self.suspects[fingerprint]
        crash = suspect.crashes.pop(crash_key)
        self.log_entries.append(CrashLogEntry(fingerprint, reason, crash))
        self._unverified.pop((fingerprint, crash_key), None)
        self.version += 1
        if not suspect.crashes:
            self._remove_suspect(fingerprint)

    def _find_expired(self, now: float) -> Iterable[str]:
        for fingerprint, suspect in self.suspects.items():
            if now > suspect.last_seen_s + SUSPECT_TTL_S:
                yield fingerprint

    def _remove_suspect(self, fingerprint: str) -> None:
        suspect = self.suspects.pop(fingerprint)
        for crash_key in suspect.crashes:
            self._unverified.pop((fingerprint, crash_key), None)
        self.version += 1
