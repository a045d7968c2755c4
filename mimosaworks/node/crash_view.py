"""What a node knows of requests, by fingerprint, that crashed targets."""

import functools
from collections.abc import Iterable

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.dispatch import (
    TargetCrash,
    Verdict,
    find_request_verdicts,
    is_part_key,
    verdict_for_crashes,
)
from mimosaworks.node.change_log import apply_changes
from mimosaworks.node.stored_suspects import StoredSuspects
from mimosaworks.wire import Beat, BeatReply, CrashNote, SuspectRow

# More than the requests that run at a node, with some parts each.
MAX_KEPT_CRASHES = 4000
MAX_SUCCEEDED_FINGERPRINTS = 1000
# After this time the entries of targets have shown whether one crashed.
UNCONFIRMED_CRASH_TTL_S = 30.0
_VERDICT_ORDER = (Verdict.SERVED, Verdict.SERIALIZED, Verdict.REFUSED)


@attrs.define
class _LastCrash:
    """The number of an incarnation's last crash, and when it was recorded."""

    number: int
    recorded_s: float


@attrs.define(eq=False)
class CrashView:
    """Target crashes under requests: seen here, reported and stored.

    Crashes that were seen here are kept until the holder has stored them, so
    that each new holder gets them. suspect_rows are the holder's rows by
    fingerprint, with the keys of the crashes. _succeeded_fingerprints are
    those of requests that succeeded; _acknowledged_s is when the holder
    answered a heartbeat with a note, by the note's key.
    """

    suspect_rows: dict[str, SuspectRow] = attrs.field(factory=dict)
    stored_suspects: StoredSuspects = attrs.field(factory=StoredSuspects)
    suspects_version: int = 0
    _fence: int = 0
    _unsaved_notes: dict[str, CrashNote] = attrs.field(factory=dict)
    _acknowledged_s: dict[str, float] = attrs.field(factory=dict)
    _last_crashes: dict[str, _LastCrash] = attrs.field(factory=dict)
    _succeeded_fingerprints: dict[str, bool] = attrs.field(factory=dict)

    def record_crash(
        self, crash: TargetCrash, sent_s: float, now: float
    ) -> CrashNote:
        """Record a crash under a request sent at sent_s; return its note.

        A request that was sent after a crash of the same incarnation met a
        target that had restarted, so its crash gets a new number. The note's
        number is never below that of the crash.
        """
        incarnation_key = f'{crash.target}/{crash.incarnation}'
        crash_number = max(
            self._crash_number(incarnation_key, sent_s, now), crash.crash_number
        )
        self._last_crashes[incarnation_key].number = crash_number
        note = CrashNote(
            crash.fingerprint,
            crash.target,
            crash.incarnation,
            crash_number,
            is_silent=crash.is_unconfirmed,
            is_proven=crash.fingerprint in self._succeeded_fingerprints,
        )
        self._unsaved_notes[_note_key(note)] = note
        forget_oldest(self._unsaved_notes, MAX_KEPT_CRASHES)
        return note

    def record_success(self, fingerprint: str) -> None:
        """Record that a request with this fingerprint succeeded."""
        self._succeeded_fingerprints.pop(fingerprint, None)
        self._succeeded_fingerprints[fingerprint] = True
        forget_oldest(self._succeeded_fingerprints, MAX_SUCCEEDED_FINGERPRINTS)
        if is_part_key(fingerprint):
            # The answer clears the part.
            for note_key, note in tuple(self._unsaved_notes.items()):
                if note.mark == fingerprint:
                    self._unsaved_notes.pop(note_key)

    def unsaved_notes(self) -> tuple[CrashNote, ...]:
        """Return the notes of crashes that the store may not have yet."""
        return tuple(self._unsaved_notes.values())

    def apply_reply(
        self, reply: BeatReply, heartbeat: Beat, now: float
    ) -> None:
        """Apply the holder's answer to a heartbeat.

        Crashes that the holder had when it stored its suspects are no longer
        kept here.
        """
        if reply.fence != self._fence:
            self._fence = reply.fence
            self._acknowledged_s.clear()
        self.suspects_version = reply.suspects_version
        self.suspect_rows = apply_changes(
            {} if reply.suspects_whole else self.suspect_rows,
            {row.mark: row for row in reply.suspects},
            reply.suspects_gone,
        )
        saved_s = now - reply.unsaved_s
        for key, acknowledged_s in list(self._acknowledged_s.items()):
            if (
                acknowledged_s + _note_ttl_s(self._unsaved_notes.get(key))
                < saved_s
            ):
                self._acknowledged_s.pop(key)
                self._unsaved_notes.pop(key, None)
        for note in heartbeat.crashes:
            if _note_key(note) in self._unsaved_notes:
                self._acknowledged_s.setdefault(_note_key(note), now)

    def count_crashes(
        self, fingerprint: str, *, is_standalone: bool = False
    ) -> int:
        """Return the number of known crashes under requests of a fingerprint.

        Stored crashes count while no holder reports their changes.
        """
        return len(self._crash_keys(fingerprint, is_standalone=is_standalone))

    def find_verdict(
        self, keys: Iterable[str], *, is_standalone: bool = False
    ) -> Verdict:
        """Return how a request is served that has these suspect keys."""
        verdicts = find_request_verdicts(
            {
                key: self._verdict(key, is_standalone=is_standalone)
                for key in keys
            },
            functools.partial(self._blamed_parts, is_standalone=is_standalone),
        )
        return max(verdicts.values(), key=_VERDICT_ORDER.index)

    def _crash_keys(self, key: str, *, is_standalone: bool) -> set[str]:
        row = self.suspect_rows.get(key)
        crash_keys = set(() if row is None else row.ends)
        stored_suspect = self.stored_suspects.suspects.get(key)
        if is_standalone and stored_suspect is not None:
            crash_keys.update(stored_suspect.crashes)
        crash_keys.update(
            crash_of_note(note).key
            for note in self._unsaved_notes.values()
            if note.mark == key
            and not note.is_silent
            and (is_standalone or not self._is_known_to_holder(note))
        )
        return crash_keys

    def _is_known_to_holder(self, note: CrashNote) -> bool:
        """Return whether the holder's rows tell what became of a crash.

        It may have cleared a part meanwhile, by answers to other nodes.
        """
        return (
            is_part_key(note.mark) and _note_key(note) in self._acknowledged_s
        )

    def _verdict(self, key: str, *, is_standalone: bool) -> Verdict:
        return verdict_for_crashes(
            key,
            self.count_crashes(key, is_standalone=is_standalone),
            has_succeeded=self._has_succeeded(key, is_standalone=is_standalone),
        )

    def _blamed_parts(self, *, is_standalone: bool) -> dict[str, set[str]]:
        known_keys = set(self.suspect_rows)
        known_keys.update(note.mark for note in self._unsaved_notes.values())
        if is_standalone:
            known_keys.update(self.stored_suspects.suspects)
        return {
            key: self._crash_keys(key, is_standalone=is_standalone)
            for key in known_keys
            if is_part_key(key)
            and not self._has_succeeded(key, is_standalone=is_standalone)
            and self._verdict(key, is_standalone=is_standalone)
            is Verdict.REFUSED
        }

    def _has_succeeded(self, key: str, *, is_standalone: bool) -> bool:
        row = self.suspect_rows.get(key)
        stored_suspect = self.stored_suspects.suspects.get(key)
        return (
            key in self._succeeded_fingerprints
            or (row is not None and row.is_proven)
            or (
                is_standalone
                and stored_suspect is not None
                and stored_suspect.has_succeeded
            )
        )

    def _crash_number(
        self, incarnation_key: str, sent_s: float, now: float
    ) -> int:
        last_crash = self._last_crashes.get(incarnation_key)
        if last_crash is not None and sent_s <= last_crash.recorded_s:
            return last_crash.number
        number = 0 if last_crash is None else last_crash.number + 1
        self._last_crashes.pop(incarnation_key, None)
        self._last_crashes[incarnation_key] = _LastCrash(number, now)
        forget_oldest(self._last_crashes, MAX_KEPT_CRASHES)
        return number


def crash_of_note(note: CrashNote) -> TargetCrash:
    """Return the target crash that a message describes."""
    return TargetCrash(
        note.mark,
        note.target,
        note.born,
        note.number,
        note.is_silent,
        note.is_proven,
    )


def _note_ttl_s(note: CrashNote | None) -> float:
    """Return how long a crash is kept after the holder has stored its row.

    The row has the crashes that count, not the unconfirmed ones.
    """
    return UNCONFIRMED_CRASH_TTL_S if note is not None and note.is_silent else 0


def _note_key(note: CrashNote) -> str:
    return f'{note.mark}/{crash_of_note(note).key}'
