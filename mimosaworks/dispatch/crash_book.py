"""Counts, for each request's content, the targets that it may have crashed."""

import enum
import functools
import math
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch.silent_ends import SilentEnds
from mimosaworks.dispatch.target_ends import (
    MAX_ENDS,
    EndedBirths,
    EntriesView,
    TargetEnd,
)

APART_ENDS = 2  # from here on one run at a time
REFUSED_ENDS = 3
ANSWERS_FOR_END = 5  # answers that take back one end
KEEP_S = 600.0
EXPIRY_PERIOD_S = 1.0
MAX_SUSPECTS = 1000
MAX_NEWS = 200  # between two looks of the log


class Verdict(enum.Enum):
    """How requests with a content are served; APART is one at a time."""

    SERVED = 'served'
    APART = 'apart'
    REFUSED = 'refused'


@attrs.frozen
class BookNews:
    """A trial of a content, or an end that counts no more, and why.

    end is None for a trial.
    """

    mark: str
    reason: str
    end: TargetEnd | None = None


@attrs.define
class Suspect:
    """The ends under one content, by name.

    answers are those since the last end that was taken back, trials the runs
    that were planned though it was refused, passed those that succeeded;
    noted_s is when it was last heard of. planned is the book's version with
    the trial that is to come, 0 without one. is_proven: it succeeded at some
    target, as one that crashes all of them never does.
    """

    ends: dict[str, TargetEnd] = attrs.field(factory=dict)
    answers: int = 0
    trials: int = 0
    passed: int = 0
    noted_s: float = 0
    planned: int = 0
    is_proven: bool = False


def judge_ends(count: int) -> Verdict:
    """Return how a content is served under which so many targets ended."""
    if count >= REFUSED_ENDS:
        return Verdict.REFUSED
    return Verdict.APART if count >= APART_ENDS else Verdict.SERVED


@attrs.define
class CrashBook:
    """What the holder knows of contents under which targets ended.

    An end counts at once. It is taken back by successful answers to the same
    content, or if the target's entry shows for long that it lives on. version
    grows with each change; news are what the log should tell.
    """

    version: int = 0
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    news: deque[BookNews] = attrs.field(
        factory=functools.partial(deque, maxlen=MAX_NEWS)
    )
    births: EndedBirths = attrs.field(factory=EndedBirths)
    _open: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _silent: SilentEnds = attrs.field(factory=SilentEnds)
    _expiry_s: float = 0
    _compared_s: float = -math.inf

    def judge(self, mark: str) -> Verdict:
        """Return how requests with this content are served."""
        suspect = self.suspects.get(mark)
        return judge_ends(0 if suspect is None else len(suspect.ends))

    def is_held(self, mark: str) -> bool:
        """Tell whether a content may have crashed several targets.

        Their entries show in a moment whether they have. No run of it has
        ended whole meanwhile.
        """
        suspect = self.suspects.get(mark)
        ends = 0 if suspect is None else len(suspect.ends)
        silent = self._silent.count_recent(mark)
        return silent > 0 and ends + silent >= REFUSED_ENDS

    def note_end(
        self, end: TargetEnd, entry: TargetEntry | None, now: float
    ) -> None:
        """Take over an end; entry is what the target says of itself.

        One that leaves as planned may cut what it runs.
        """
        if entry is not None:
            if entry.state is TargetState.DRAINING:
                return
            end = attrs.evolve(end, born=end.born or entry.born)
        if end.is_silent:
            self._silent.add(end, now)
        else:
            self.births.note(end)
            self._count(end, now)

    def note_answer(self, mark: str) -> None:
        """Note that a target answered a content with success."""
        self._silent.note_answer(mark)
        suspect = self.suspects.get(mark)
        if suspect is None:
            return
        suspect.answers += 1
        suspect.is_proven = True
        # One that crashes whatever runs it has no trial that succeeds.
        is_tried = suspect.trials > suspect.passed and not suspect.planned
        suspect.passed += is_tried
        if is_tried or suspect.answers >= ANSWERS_FOR_END:
            suspect.answers = 0
            self._take_back(mark, next(iter(suspect.ends)), 'answers')

    def follow_entries(self, view: EntriesView, now: float) -> None:
        """Compare ends with the targets' entries, and forget old ones."""
        # The same entries tell nothing more, also of ends since they were read.
        if view.read_s > self._compared_s:
            self._compared_s = view.read_s
            self._compare(view, now)
        if now > self._expiry_s:
            self._expiry_s = now + EXPIRY_PERIOD_S
            for mark in list(self._expired(now)):
                self._drop(mark)

    def adopt(self, mark: str, suspect: Suspect, now: float) -> None:
        """Take over what an earlier holder knew of a content."""
        for end in suspect.ends.values():
            self._count(end, now)
        known = self.suspects.get(mark)
        if known is not None:
            known.answers = max(known.answers, suspect.answers)
            known.trials = max(known.trials, suspect.trials)
            known.passed = max(known.passed, suspect.passed)
            known.is_proven |= suspect.is_proven
            known.noted_s = min(suspect.noted_s, now)

    def counted(self, least: int) -> Iterator[tuple[str, Suspect]]:
        """Yield the contents with this many ends or more."""
        for mark, suspect in self.suspects.items():
            if len(suspect.ends) >= least:
                yield (mark, suspect)

    def _count(self, end: TargetEnd, now: float) -> None:
        suspect = self.suspects.pop(end.mark, None) or Suspect()
        self.suspects[end.mark] = suspect
        suspect.is_proven |= end.is_proven
        if end.name in suspect.ends:
            return
        self.version += 1
        suspect.noted_s = max(suspect.noted_s, now)
        if len(suspect.ends) < MAX_ENDS:
            suspect.ends[end.name] = end
            self._open[end.mark, end.name] = now
        if len(self.suspects) > MAX_SUSPECTS:
            self._drop(self._least())

    def _compare(self, view: EntriesView, now: float) -> None:
        for place, noted_s in list(self._open.items()):
            self._settle(place, noted_s, view)
        for end in self._silent.take_shown(view):
            self._count(end, now)

    def _settle(
        self, place: tuple[str, str], noted_s: float, view: EntriesView
    ) -> None:
        """Believe an end that entries show; take back one that they don't."""
        mark, name = place
        if view.shows(self.suspects[mark].ends[name], noted_s):
            self._open.pop(place)
        elif view.would_show(noted_s):
            self._take_back(mark, name, 'entry')

    def _least(self) -> str:
        """Return the content with the fewest ends, the oldest of these."""
        return min(self.suspects, key=self._count_ends)

    def _count_ends(self, mark: str) -> int:
        return len(self.suspects[mark].ends)

    def _take_back(self, mark: str, name: str, reason: str) -> None:
        suspect = self.suspects[mark]
        end = suspect.ends.pop(name)
        self.news.append(BookNews(mark, reason, end))
        self._open.pop((mark, name), None)
        self.version += 1
        if not suspect.ends:
            self._drop(mark)

    def _expired(self, now: float) -> Iterable[str]:
        for mark, suspect in self.suspects.items():
            if now > suspect.noted_s + KEEP_S:
                yield mark

    def _drop(self, mark: str) -> None:
        suspect = self.suspects.pop(mark)
        for name in suspect.ends:
            self._open.pop((mark, name), None)
        self.version += 1
