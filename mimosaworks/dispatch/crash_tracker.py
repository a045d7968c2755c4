"""Counts the target crashes that requests with a fingerprint may cause."""

import functools
import math
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.suspect import (
    ProvenParts,
    Suspect,
    find_explained,
    is_explained,
)
from mimosaworks.dispatch.suspect_keys import (
    MIN_CRASHES_REFUSED,
    Verdict,
    is_part_key,
)
from mimosaworks.dispatch.target_crashes import (
    MAX_CRASHES,
    EntriesView,
    IncarnationCrashes,
    TargetCrash,
)
from mimosaworks.dispatch.unconfirmed_crashes import UnconfirmedCrashes

# Successful answers that retract one crash.
SUCCESSES_TO_RETRACT = 5
SUSPECT_TTL_S = 600.0
EXPIRY_CHECK_INTERVAL_S = 1.0
MAX_SUSPECTS = 1000
# Entries that are kept between two runs of the suspect monitor, which
# writes them to the log.
MAX_LOG_ENTRIES = 200


@attrs.frozen
class CrashLogEntry:
    """A trial run or a retracted crash, and the reason, for the log.

    Its crash is None for a trial run.
    """

    fingerprint: str
    reason: str
    crash: TargetCrash | None = None


@attrs.define
class CrashTracker:
    """The lease holder's record of requests that may crash targets.

    Crashes count under each of a request's suspect keys: the fingerprint and
    the parts of its prompt. A crash counts at once. It is retracted by
    successful answers to requests with the same key, or once the target's
    entry has shown for long enough that the target still runs. version grows
    with each change.
    """

    version: int = 0
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    log_entries: deque[CrashLogEntry] = attrs.field(
        factory=functools.partial(deque, maxlen=MAX_LOG_ENTRIES)
    )
    incarnation_crashes: IncarnationCrashes = attrs.field(
        factory=IncarnationCrashes
    )
    _proven_parts: ProvenParts = attrs.field(factory=ProvenParts)
    _unverified: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _unconfirmed: UnconfirmedCrashes = attrs.field(factory=UnconfirmedCrashes)
    _next_expiry_check_s: float = 0
    _last_compared_s: float = -math.inf

    def get_verdict(self, key: str) -> Verdict:
        """Return how requests with this suspect key are served."""
        suspect = self.suspects.get(key)
        return Verdict.SERVED if suspect is None else suspect.verdict(key)

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
        """Count a successful answer, which may retract crashes."""
        self._unconfirmed.discard_answered(fingerprint)
        suspect = self.suspects.get(fingerprint)
        if is_part_key(fingerprint):
            self._proven_parts.record(fingerprint)
        if suspect is None:
            return
        if is_part_key(fingerprint):
            # A part that crashes targets does so at each of them.
            self._retract_crashes(fingerprint, suspect.crashes, 'answers')
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
            known_crash = attrs.evolve(
                crash, has_succeeded=suspect.has_succeeded
            )
            self._add_crash(known_crash, now)
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
            existing.last_seen_s = min(suspect.last_seen_s, now)

    def iter_suspects(self, min_crashes: int) -> Iterator[tuple[str, Suspect]]:
        """Yield fingerprints and suspects with at least this many crashes."""
        for fingerprint, suspect in self.suspects.items():
            if len(suspect.crashes) >= min_crashes:
                yield (fingerprint, suspect)

    def _add_crash(self, crash: TargetCrash, now: float) -> None:
        suspect = self.suspects.pop(crash.fingerprint, None) or Suspect()
        self.suspects[crash.fingerprint] = suspect
        suspect.has_succeeded |= (
            crash.has_succeeded
            or self._proven_parts.contains(crash.fingerprint)
        )
        if is_explained(crash, self.suspects):
            if not suspect.crashes:
                self.suspects.pop(crash.fingerprint)
            return
        if crash.key in suspect.crashes:
            return
        self.version += 1
        suspect.last_seen_s = max(suspect.last_seen_s, now)
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes[crash.key] = crash
            self._unverified[crash.fingerprint, crash.key] = now
        for key, explained in find_explained(crash, self.suspects):
            self._retract_crashes(key, explained, 'blamed part')
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

    def _retract_crashes(
        self, fingerprint: str, crash_keys: Iterable[str], reason: str
    ) -> None:
        for crash_key in tuple(crash_keys):
            self._retract_crash(fingerprint, crash_key, reason)

    def _find_expired(self, now: float) -> Iterable[str]:
        for fingerprint, suspect in self.suspects.items():
            if now > suspect.last_seen_s + SUSPECT_TTL_S:
                yield fingerprint

    def _remove_suspect(self, fingerprint: str) -> None:
        suspect = self.suspects.pop(fingerprint)
        for crash_key in suspect.crashes:
            self._unverified.pop((fingerprint, crash_key), None)
        self.version += 1
