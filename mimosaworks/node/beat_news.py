"""What a node has to tell its holder with the next beat."""

import asyncio

import attrs

from mimosaworks.wire import (
    Beat,
    CallEnd,
    CallStart,
    CrashNote,
    LimitNote,
    Spent,
    TargetLeaving,
)


@attrs.define(eq=False)
class BeatNews:
    """First events, ends and spent tokens since the last answered beat.

    has_news is set by what the holder should hear of at once.
    """

    has_news: asyncio.Event = attrs.field(factory=asyncio.Event)
    _starts: list[CallStart] = attrs.field(factory=list)
    _ends: list[CallEnd] = attrs.field(factory=list)
    _spent: dict[str, float] = attrs.field(factory=dict)
    _leaving: list[TargetLeaving] = attrs.field(factory=list)
    _crashes: list[CrashNote] = attrs.field(factory=list)
    _limits: list[LimitNote] = attrs.field(factory=list)

    def note_start(self, call: str, first_s: float) -> None:
        """Tell the holder of a first event."""
        self._starts.append(CallStart(call, first_s))
        self.has_news.set()

    def note_end(self, call: str, outcome: str, duration_s: float) -> None:
        """Tell the holder how a request ended."""
        self._ends.append(CallEnd(call, outcome, duration_s))
        self.has_news.set()

    def note_spent(self, workspace: str, cost: float) -> None:
        """Tell the holder of tokens that were admitted without it."""
        self._spent[workspace] = self._spent.get(workspace, 0) + cost

    def note_leaving(self, target: str, born: int) -> None:
        """Tell the holder of a target that has announced its leave."""
        self._leaving.append(TargetLeaving(target, born))
        self.has_news.set()

    def note_crash(self, note: CrashNote) -> None:
        """Tell the holder of a target that a request may have crashed."""
        self._crashes.append(note)
        self.has_news.set()

    def note_limit(self, note: LimitNote) -> None:
        """Tell the holder of a rate limit that a target announced."""
        self._limits.append(note)
        self.has_news.set()

    def fill(self, beat: Beat) -> Beat:
        """Move all news into a beat."""
        filled = attrs.evolve(
            beat,
            starts=tuple(self._starts),
            ends=tuple(self._ends),
            spent=tuple(
                Spent(name, cost) for name, cost in self._spent.items()
            ),
            leaving=(*beat.leaving, *self._leaving),
            crashes=(*beat.crashes, *self._crashes),
            limits=(*beat.limits, *self._limits),
        )
        self._limits.clear()
        self._crashes.clear()
        self._leaving.clear()
        self._starts.clear()
        self._ends.clear()
        self._spent.clear()
        return filled

    def keep(self, beat: Beat) -> None:
        """Take back the news of a beat that was not answered.

        The holder may have taken it: it ignores what it knows. Its tokens
        may be charged twice, which is on the safe side.
        """
        self._starts = [*beat.starts, *self._starts]
        self._ends = [*beat.ends, *self._ends]
        self._leaving = [*beat.leaving, *self._leaving]
        self._crashes = [*beat.crashes, *self._crashes]
        self._limits = [*beat.limits, *self._limits]
        for spent in beat.spent:
            self.note_spent(spent.workspace, spent.cost)
