"""The row in which a holder leaves what it knows of suspects to the next."""

import json
import math
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from mimosaworks.clock import now_s
from mimosaworks.dispatch import CrashBook, Suspect, TargetEnd
from mimosaworks.events import Event, log_event
from mimosaworks.json_fields import parse_table
from mimosaworks.platform import RowChange, RowName, StoredRow

SUSPECTS_ROW = RowName('mimosaworks', 'suspects')
# Of the bytes that a row may have: entries are counted without separators.
FILL_SHARE = 0.5
_UNREADABLE = (ValueError, TypeError, LookupError, OverflowError)


def boot_epoch_s() -> float:
    """Return the Unix time at which this process's clock was 0."""
    return time.time() - now_s()


@attrs.define(eq=False)
class SuspectSaver:
    """Tells what a holder has to store.

    What it knew at saved_s is in the store: the book as of saved_version,
    with the contents saved_marks. epoch_s gives the Unix time at which this
    process's clock was 0.
    """

    epoch_s: Callable[[], float] = boot_epoch_s
    saved_s: float = -math.inf
    saved_version: int = 0
    saved_marks: frozenset[str] = frozenset()
    _saving_version: int = 0
    _saving_marks: frozenset[str] = frozenset()

    def unsaved(self, book: CrashBook, max_bytes: int) -> tuple[RowChange, ...]:
        """Return the row if the suspects have changed."""
        self._saving_version = book.version
        if book.version == self.saved_version:
            return ()
        kept = _fitting(book.suspects, max_bytes, self.epoch_s())
        self._saving_marks = frozenset(kept)
        return (RowChange(SUSPECTS_ROW, json.dumps(kept).encode()),)

    def note_saved(self, begun_s: float) -> None:
        """Note that the store has what was unsaved at begun_s."""
        self.saved_version = self._saving_version
        self.saved_marks = self._saving_marks
        self.saved_s = begun_s


@attrs.define(eq=False)
class StoredSuspects:
    """The suspects as they were read last; epoch_s is as for SuspectSaver."""

    epoch_s: Callable[[], float] = boot_epoch_s
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    _version: int = 0

    def take_rows(self, rows: Iterable[StoredRow]) -> None:
        """Take over the row if it is among these and newer."""
        for row in rows:
            is_newer = row.name == SUSPECTS_ROW and row.version > self._version
            if is_newer and row.content is not None:
                self._version = row.version
                epoch_s = self.epoch_s()
                self.suspects = decode_suspects(row.content, epoch_s)

    def tell(self, book: CrashBook, now: float) -> None:
        """Have a new holder's book take over the suspects."""
        for mark, suspect in self.suspects.items():
            book.adopt(mark, suspect, now)


def decode_suspects(content: bytes, epoch_s: float) -> dict[str, Suspect]:
    """Return the suspects of a row; none for one that can't be read."""
    try:
        parsed = parse_table(content)
        return {
            mark: _suspect(mark, fields, epoch_s)
            for mark, fields in parsed.items()
        }
    except _UNREADABLE as exc:
        log_event(Event.SUSPECTS_IGNORED, reason=repr(exc))
        return {}


def _fitting(
    suspects: dict[str, Suspect], max_bytes: int, epoch_s: float
) -> dict[str, Any]:
    """Return the fields of a row within max_bytes, by content.

    Those with the most ends go first, then the newest. epoch_s is the Unix
    time at which the clock of their times was 0.
    """
    ranked = sorted(
        suspects.items(),
        key=lambda named: (len(named[1].ends), named[1].noted_s),
        reverse=True,
    )
    kept: dict[str, Any] = {}
    room = max_bytes * FILL_SHARE
    for mark, suspect in ranked:
        fields = _fields(suspect, epoch_s)
        room -= len(json.dumps({mark: fields}))
        if room < 0:
            break
        kept[mark] = fields
    return kept


def _fields(suspect: Suspect, epoch_s: float) -> dict[str, Any]:
    return {
        'ends': [
            [end.target, end.born, end.number] for end in suspect.ends.values()
        ],
        'answers': suspect.answers,
        'trials': suspect.trials,
        'passed': suspect.passed,
        'proven': suspect.is_proven,
        'noted': round(suspect.noted_s + epoch_s),
    }


def _suspect(mark: str, fields: dict[str, Any], epoch_s: float) -> Suspect:
    ends = [
        TargetEnd(mark, str(target), int(born), int(number))
        for target, born, number in fields['ends']
    ]
    return Suspect(
        ends={end.name: end for end in ends},
        answers=int(fields['answers']),
        trials=int(fields['trials']),
        passed=int(fields.get('passed', 0)),
        is_proven=bool(fields.get('proven', False)),
        noted_s=float(fields['noted']) - epoch_s,
    )
