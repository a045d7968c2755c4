"""Counts the target crashes that requests with a fingerprint may cause."""

import enum
import functools
import math
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.silent_ends import UnconfirmedCrashes
from mimosaworks.dispatch.target_ends import (
    MAX_CRASHES,
    EndedBirths,
    EntriesView,
    TargetEnd,
)

# From this number of crashes on, requests run one at a time.
APART_ENDS = 2
REFUSED_ENDS = 3
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
    APART = 'apart'
    REFUSED = 'refused'


@attrs.frozen
class BookNews:
    """A trial run or a retracted crash, and the reason, for the log.

    Its crash is None for a trial run.
    """

    mark: str
    reason: str
    end: TargetEnd | None = None


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

    ends: dict[str, TargetEnd] = attrs.field(factory=dict)
    answers: int = 0
    trials: int = 0
    passed: int = 0
    noted_s: float = 0
    planned: int = 0
    is_proven: bool = False


def judge_ends(crash_count: int) -> Verdict:
    """Return how requests are served that crashed this many targets."""
    if crash_count >= REFUSED_ENDS:
        return Verdict.REFUSED
    return Verdict.APART if crash_count >= APART_ENDS else Verdict.SERVED


@attrs.define
class CrashBook:
    """The lease holder's record of requests that may crash targets.

    A crash counts at once. It is retracted by successful answers to requests
    with the same fingerprint, or once the target's entry has shown for long
    enough that the target still runs. version grows with each change.
    """

    version: int = 0
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    news: deque[BookNews] = attrs.field(
        factory=functools.partial(deque, maxlen=MAX_LOG_ENTRIES)
    )
    births: EndedBirths = attrs.field(factory=EndedBirths)
    _unverified: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _unconfirmed: UnconfirmedCrashes = attrs.field(factory=UnconfirmedCrashes)
    _next_expiry_check_s: float = 0
    _last_compared_s: float = -math.inf

    def judge(self, fingerprint: str) -> Verdict:
        """Return how requests with this fingerprint are served."""
        suspect = self.suspects.get(fingerprint)
        return judge_ends(0 if suspect is None else len(suspect.ends))

    def may_have_crashed_several(self, fingerprint: str) -> bool:
        """Return whether enough crashes to refuse are counted or unconfirmed.

        The targets' entries will show shortly whether these targets crashed.
        No request with this fingerprint was answered in the meantime.
        """
        suspect = self.suspects.get(fingerprint)
        crash_count = 0 if suspect is None else len(suspect.ends)
        unconfirmed_count = self._unconfirmed.count_recent_targets(fingerprint)
        return (
            unconfirmed_count > 0
            and crash_count + unconfirmed_count >= REFUSED_ENDS
        )

    def note_end(
        self, crash: TargetEnd, entry: TargetEntry | None, now: float
    ) -> None:
        """Count a crash, or keep it until entries confirm it.

        entry is the target's registry entry. A draining target may cut the
        requests that it runs, so this does not count as a crash.
        """
        if entry is not None:
            if entry.state is TargetState.DRAINING:
                return
            crash = attrs.evolve(crash, born=crash.born or entry.born)
        if crash.is_silent:
            self._unconfirmed.add(crash, now)
        else:
            self.births.record_crash(crash)
            self._add_crash(crash, now)

    def note_answer(self, fingerprint: str) -> None:
        """Count a successful answer, which may retract a crash."""
        self._unconfirmed.discard_answered(fingerprint)
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.answers += 1
        suspect.is_proven = True
        # A request that crashes every target never succeeds in a trial run.
        is_trial_success = (
            suspect.trials > suspect.passed and not suspect.planned
        )
        suspect.passed += is_trial_success
        if is_trial_success or suspect.answers >= SUCCESSES_TO_RETRACT:
            suspect.answers = 0
            self._retract_crash(
                fingerprint, next(iter(suspect.ends)), 'answers'
            )

    def follow_entries(self, view: EntriesView, now: float) -> None:
        """Compare crashes with the targets' entries and expire old suspects."""
        # Entries that were compared before hold no new facts, also not about
        # crashes since they were read.
        if view.read_s > self._last_compared_s:
            self._last_compared_s = view.read_s
            self._compare_with_entries(view, now)
        if now > self._next_expiry_check_s:
            self._next_expiry_check_s = now + EXPIRY_CHECK_INTERVAL_S
            for fingerprint in list(self._find_expired(now)):
                self._remove_suspect(fingerprint)

    def adopt(self, fingerprint: str, suspect: Suspect, now: float) -> None:
        """Merge a suspect that an earlier lease holder stored."""
        for crash in suspect.ends.values():
            self._add_crash(crash, now)
        existing = self.suspects.get(fingerprint)
        if existing is not None:
            existing.answers = max(existing.answers, suspect.answers)
            existing.trials = max(existing.trials, suspect.trials)
            existing.passed = max(existing.passed, suspect.passed)
            existing.is_proven |= suspect.is_proven
            existing.noted_s = min(suspect.noted_s, now)

    def counted(self, least: int) -> Iterator[tuple[str, Suspect]]:
        """Yield fingerprints and suspects with at least this many crashes."""
        for fingerprint, suspect in self.suspects.items():
            if len(suspect.ends) >= least:
                yield (fingerprint, suspect)

    def _add_crash(self, crash: TargetEnd, now: float) -> None:
        suspect = self.suspects.pop(crash.mark, None) or Suspect()
        self.suspects[crash.mark] = suspect
        suspect.is_proven |= crash.is_proven
        if crash.name in suspect.ends:
            return
        self.version += 1
        suspect.noted_s = max(suspect.noted_s, now)
        if len(suspect.ends) < MAX_CRASHES:
            suspect.ends[crash.name] = crash
            self._unverified[crash.mark, crash.name] = now
        if len(self.suspects) > MAX_SUSPECTS:
            self._remove_suspect(self._find_least_suspect())

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
            self.suspects[fingerprint].ends[crash_key], recorded_s
        ):
            self._unverified.pop(suspect_key)
        elif view.is_confirmation_overdue(recorded_s):
            self._retract_crash(fingerprint, crash_key, 'entry')

    def _find_least_suspect(self) -> str:
        """Return the oldest of the suspects with the fewest crashes."""
        return min(self.suspects, key=self._get_crash_count)

    def _get_crash_count(self, fingerprint: str) -> int:
        return len(self.suspects[fingerprint].ends)

    def _retract_crash(
        self, fingerprint: str, crash_key: str, reason: str
    ) -> None:
        suspect = self.suspects[fingerprint]
        crash = suspect.ends.pop(crash_key)
        self.news.append(BookNews(fingerprint, reason, crash))
        self._unverified.pop((fingerprint, crash_key), None)
        self.version += 1
        if not suspect.ends:
            self._remove_suspect(fingerprint)

    def _find_expired(self, now: float) -> Iterable[str]:
        for fingerprint, suspect in self.suspects.items():
            if now > suspect.noted_s + SUSPECT_TTL_S:
                yield fingerprint

    def _remove_suspect(self, fingerprint: str) -> None:
        suspect = self.suspects.pop(fingerprint)
        for crash_key in suspect.ends:
            self._unverified.pop((fingerprint, crash_key), None)
        self.version += 1
