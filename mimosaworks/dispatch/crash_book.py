"""Counts, for each request's content, the targets that ended under it."""

import enum
import functools
from collections import deque
from collections.abc import Iterable, Iterator, Mapping

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.deployment import TargetEntry, TargetState

APART_ENDS = 2  # from here on one run at a time
REFUSED_ENDS = 3
ANSWERS_FOR_END = 5  # answers that take back one end
MAX_CREDIT = 10  # answers in advance, for two ends
MAX_CREDITS = 2000  # contents with answers in advance
KEEP_S = 600.0
EXPIRY_PERIOD_S = 1.0
LIFE_S = 1.0  # less than a target needs to start anew
MAX_SUSPECTS = 1000
MAX_ENDS = 8  # of one content; more tell nothing new
MAX_SILENT = 2000
MAX_NEWS = 200  # between two looks of the log


class Verdict(enum.Enum):
    """How requests with a content are served; APART is one at a time."""

    SERVED = 'served'
    APART = 'apart'
    REFUSED = 'refused'


@attrs.frozen
class TargetEnd:
    """A target may have ended while it ran a request.

    mark is the fingerprint of the request's content. number tells ends of
    the same birth apart, where a target has started anew and its birth is
    not known yet. One that is_silent broke no connection.
    """

    mark: str
    target: str
    born: int
    number: int = 0
    is_silent: bool = False

    @property
    def name(self) -> str:
        """Which end of which target it is."""
        return f'{self.target}/{self.born}/{self.number}'


@attrs.frozen
class BookNews:
    """A trial of a content, or an end that counts no more, and why.

    end is None for a trial.
    """

    mark: str
    reason: str
    end: TargetEnd | None = None


@attrs.frozen
class EntriesView:
    """The targets' entries, read without a gap from since_s to read_s.

    An end shows within lapse_s.
    """

    entries: Mapping[str, TargetEntry]
    since_s: float
    read_s: float
    lapse_s: float

    def shows(self, end: TargetEnd, noted_s: float) -> bool:
        """Tell whether entries that were read after it show an end."""
        entry = self.entries.get(end.target)
        has_changed = entry is None or entry.born != end.born
        return has_changed and self.read_s > noted_s

    def would_show(self, noted_s: float) -> bool:
        """Tell whether an end before noted_s had to show by now."""
        return self.read_s - max(noted_s, self.since_s) > self.lapse_s


@attrs.define
class Suspect:
    """The ends under one content, by name.

    answers are those since the last end that was taken back, trials the runs
    that were planned though it was refused, passed those that ended whole;
    noted_s is when it was last heard of. planned is the book's version with
    the trial that is to come, 0 without one.
    """

    ends: dict[str, TargetEnd] = attrs.field(factory=dict)
    answers: int = 0
    trials: int = 0
    passed: int = 0
    noted_s: float = 0
    planned: int = 0


def judge_ends(count: int) -> Verdict:
    """Return how a content is served under which so many targets ended."""
    if count >= REFUSED_ENDS:
        return Verdict.REFUSED
    return Verdict.APART if count >= APART_ENDS else Verdict.SERVED


@attrs.define
class CrashBook:
    """What the holder knows of contents under which targets ended.

    An end counts at once, and is taken back if the target's entry shows that
    it lives on. A content that was beside the one to blame is cleared by
    answers, also by those that came before. version grows with each change.
    news are trials and ends that count no more, for the log.
    """

    version: int = 0
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    news: deque[BookNews] = attrs.field(
        factory=functools.partial(deque, maxlen=MAX_NEWS)
    )
    _open: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _silent: dict[str, tuple[TargetEnd, float]] = attrs.field(factory=dict)
    _credits: dict[str, int] = attrs.field(factory=dict)
    _paid: dict[str, bool] = attrs.field(factory=dict)
    _expiry_s: float = 0

    def judge(self, mark: str) -> Verdict:
        """Return how requests with this content are served."""
        suspect = self.suspects.get(mark)
        return judge_ends(0 if suspect is None else len(suspect.ends))

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
            self._silent[f'{end.mark}/{end.name}'] = (end, now)
            forget_oldest(self._silent, MAX_SILENT)
        else:
            self._count(end, now)

    def note_answer(self, mark: str) -> None:
        """Note that a target ran a content and lived on."""
        suspect = self.suspects.get(mark)
        if suspect is None:
            credit = self._credits.pop(mark, 0)
            self._credits[mark] = min(credit + 1, MAX_CREDIT)
            forget_oldest(self._credits, MAX_CREDITS)
            return
        suspect.answers += 1
        # One that crashes whatever runs it has no trial that ends whole.
        is_tried = suspect.trials > suspect.passed and not suspect.planned
        suspect.passed += is_tried
        if is_tried or suspect.answers >= ANSWERS_FOR_END:
            suspect.answers = 0
            self._take_back(mark, next(iter(suspect.ends)), 'answers')

    def note_life(self, target: str, granted_s: float, now: float) -> None:
        """Take back ends of a target that answered a later request at once."""
        for (mark, name), noted_s in list(self._open.items()):
            is_later = noted_s < granted_s and now - noted_s < LIFE_S
            end = self.suspects[mark].ends[name]
            if is_later and end.target == target:
                self._take_back(mark, name, 'life')

    def follow_entries(self, view: EntriesView, now: float) -> None:
        """Compare ends with the targets' entries, and forget old ones."""
        for place, noted_s in list(self._open.items()):
            self._settle(place, noted_s, view)
        for key, (end, seen_s) in list(self._silent.items()):
            is_shown = view.shows(end, seen_s)
            if is_shown or view.would_show(seen_s):
                self._silent.pop(key)
            if is_shown:
                self._count(end, now)
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
            known.noted_s = min(suspect.noted_s, now)

    def counted(self, least: int) -> Iterator[tuple[str, Suspect]]:
        """Yield the contents with this many ends or more."""
        for mark, suspect in self.suspects.items():
            if len(suspect.ends) >= least:
                yield (mark, suspect)

    def _count(self, end: TargetEnd, now: float) -> None:
        if self._is_paid(end):
            return
        suspect = self.suspects.pop(end.mark, None) or Suspect()
        self.suspects[end.mark] = suspect
        if end.name in suspect.ends:
            return
        self.version += 1
        suspect.noted_s = max(suspect.noted_s, now)
        if len(suspect.ends) < MAX_ENDS:
            suspect.ends[end.name] = end
            self._open[end.mark, end.name] = now
        if len(self.suspects) > MAX_SUSPECTS:
            self._drop(self._least())

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

    def _is_paid(self, end: TargetEnd) -> bool:
        """Tell whether answers in advance make up for an end."""
        key = f'{end.mark}/{end.name}'
        credit = self._credits.get(end.mark, 0)
        if key not in self._paid and credit >= ANSWERS_FOR_END:
            self._credits[end.mark] = credit - ANSWERS_FOR_END
            self._paid[key] = True
            forget_oldest(self._paid, MAX_CREDITS)
        return key in self._paid

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
