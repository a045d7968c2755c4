"""What a node knows of contents under which targets ended."""

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.dispatch import TargetEnd
from mimosaworks.node.change_log import apply_changes
from mimosaworks.node.stored_suspects import StoredSuspects
from mimosaworks.wire import Beat, BeatReply, CrashNote, SuspectRow

MAX_ENDS = 1000  # more than the requests of a node
MAX_ANSWERED = 1000  # contents that succeeded
SILENT_KEPT_S = 30.0  # after which entries have shown whether a target ended


@attrs.define
class _LastEnd:
    """The number of a birth's last end, and when it was noted."""

    number: int
    noted_s: float


@attrs.define(eq=False)
class CrashView:
    """Ends of targets under requests: seen here, told and stored.

    Ends that were seen here are kept, so that each new holder is told of
    them, until the holder has stored them. told holds the names of ends by
    content as the holder tells them. _answered are contents that
    succeeded.
    """

    told: dict[str, SuspectRow] = attrs.field(factory=dict)
    stored: StoredSuspects = attrs.field(factory=StoredSuspects)
    told_version: int = 0
    _fence: int = 0
    _seen: dict[str, CrashNote] = attrs.field(factory=dict)
    _received_s: dict[str, float] = attrs.field(factory=dict)
    _last: dict[str, _LastEnd] = attrs.field(factory=dict)
    _answered: dict[str, bool] = attrs.field(factory=dict)

    def see(self, end: TargetEnd, begun_s: float, now: float) -> CrashNote:
        """Return the note of an end under a request that began at begun_s.

        A request that was sent after an end of the same birth met a target
        that had started anew; the number of an end is the least of its note.
        """
        birth = f'{end.target}/{end.born}'
        number = max(self._number(birth, begun_s, now), end.number)
        self._last[birth].number = number
        note = CrashNote(
            end.mark,
            end.target,
            end.born,
            number,
            is_silent=end.is_silent,
            is_proven=end.mark in self._answered,
        )
        self._seen[_key(note)] = note
        forget_oldest(self._seen, MAX_ENDS)
        return note

    def note_answer(self, mark: str) -> None:
        """Note that a target answered a content with success."""
        self._answered.pop(mark, None)
        self._answered[mark] = True
        forget_oldest(self._answered, MAX_ANSWERED)

    def seen(self) -> tuple[CrashNote, ...]:
        """Return the ends that the store may not hold yet."""
        return tuple(self._seen.values())

    def take_over(self, reply: BeatReply, beat: Beat, now: float) -> None:
        """Apply the holder's answer to a beat.

        Ends that it had when it stored its suspects need no other keeper.
        """
        if reply.fence != self._fence:
            self._fence = reply.fence
            self._received_s.clear()
        self.told_version = reply.suspects_version
        self.told = apply_changes(
            {} if reply.suspects_whole else self.told,
            {row.mark: row for row in reply.suspects},
            reply.suspects_gone,
        )
        saved_s = now - reply.unsaved_s
        for key, received_s in list(self._received_s.items()):
            if received_s + _kept_s(self._seen.get(key)) < saved_s:
                self._received_s.pop(key)
                self._seen.pop(key, None)
        for note in beat.crashes:
            if _key(note) in self._seen:
                self._received_s.setdefault(_key(note), now)

    def count(self, mark: str, *, is_alone: bool = False) -> int:
        """Return the known ends under a content.

        What is stored counts while no holder tells of its changes.
        """
        row = self.told.get(mark)
        names = set(() if row is None else row.ends)
        stored = self.stored.suspects.get(mark)
        if is_alone and stored is not None:
            names.update(stored.ends)
        names.update(
            end_of(note).name
            for note in self._seen.values()
            if note.mark == mark and not note.is_silent
        )
        return len(names)

    def _number(self, birth: str, begun_s: float, now: float) -> int:
        last = self._last.get(birth)
        if last is not None and begun_s <= last.noted_s:
            return last.number
        number = 0 if last is None else last.number + 1
        self._last.pop(birth, None)
        self._last[birth] = _LastEnd(number, now)
        forget_oldest(self._last, MAX_ENDS)
        return number


def end_of(note: CrashNote) -> TargetEnd:
    """Return the end that a message tells of."""
    return TargetEnd(
        note.mark,
        note.target,
        note.born,
        note.number,
        note.is_silent,
        note.is_proven,
    )


def _kept_s(note: CrashNote | None) -> float:
    """Return how long an end is kept after the holder has stored its row.

    That has the ends that count, not those that entries have yet to show.
    """
    return SILENT_KEPT_S if note is not None and note.is_silent else 0


def _key(note: CrashNote) -> str:
    return f'{note.mark}/{end_of(note).name}'
