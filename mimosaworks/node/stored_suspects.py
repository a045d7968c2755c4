"""The stored row by which a holder passes its suspects to the next one."""

import json
import math
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from mimosaworks.clock import now_s
from mimosaworks.dispatch import CrashTracker, Suspect, TargetCrash
from mimosaworks.events import Event, log_event
from mimosaworks.json_fields import parse_table
from mimosaworks.platform import RowChange, RowName, StoredRow

SUSPECTS_ROW = RowName('mimosaworks', 'suspects')
# The share of the bytes that a row may have: suspects are counted without the
# separators between them.
MAX_ROW_SHARE = 0.5
_DECODE_ERRORS = (ValueError, TypeError, LookupError, OverflowError)


def boot_epoch_s() -> float:
    """Return the Unix time at which this process's clock was 0."""
    return time.time() - now_s()


@attrs.define(eq=False)
class SuspectSaver:
    """Decides which suspects a holder has to store.

    The store has what the holder knew at saved_s: the crash tracker as of
    saved_version, with the fingerprints saved_fingerprints. epoch_s returns
    the Unix time at which this process's clock was 0.
    """

    epoch_s: Callable[[], float] = boot_epoch_s
    saved_s: float = -math.inf
    saved_version: int = 0
    saved_fingerprints: frozenset[str] = frozenset()
    _saving_version: int = 0
    _saving_fingerprints: frozenset[str] = frozenset()

    def unsaved_rows(
        self, tracker: CrashTracker, max_bytes: int
    ) -> tuple[RowChange, ...]:
        """Return the row to store if the suspects have changed."""
        self._saving_version = tracker.version
        if tracker.version == self.saved_version:
            return ()
        encoded_suspects = _encode_suspects_within(
            tracker.suspects, max_bytes, self.epoch_s()
        )
        self._saving_fingerprints = frozenset(encoded_suspects)
        return (RowChange(SUSPECTS_ROW, json.dumps(encoded_suspects).encode()),)

    def forget_saved(self) -> None:
        """Save all suspects with the next renewal.

        One that is under way was made for the rows that were saved before.
        """
        self.saved_version = -1
        self._saving_version = -1
        self.saved_s = -math.inf

    def record_saved(self, write_started_s: float) -> None:
        """Record that the store has the rows unsaved at write_started_s."""
        if self._saving_version < 0:
            return
        self.saved_version = self._saving_version
        self.saved_fingerprints = self._saving_fingerprints
        self.saved_s = write_started_s


@attrs.define(eq=False)
class StoredSuspects:
    """The suspects as last read from the store; epoch_s as in SuspectSaver."""

    epoch_s: Callable[[], float] = boot_epoch_s
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    _row_version: int = 0

    def apply_rows(self, rows: Iterable[StoredRow]) -> None:
        """Apply the suspects' row if it is among these and newer."""
        for row in rows:
            is_newer = (
                row.name == SUSPECTS_ROW and row.version > self._row_version
            )
            if is_newer and row.content is not None:
                self._row_version = row.version
                epoch_s = self.epoch_s()
                self.suspects = decode_suspects(row.content, epoch_s)

    def import_into_tracker(self, tracker: CrashTracker, now: float) -> None:
        """Import the suspects into a new holder's crash tracker."""
        for fingerprint, suspect in self.suspects.items():
            tracker.import_suspect(fingerprint, suspect, now)


def decode_suspects(content: bytes, epoch_s: float) -> dict[str, Suspect]:
    """Return the suspects of a row; none if it can't be decoded."""
    try:
        fields_by_fingerprint = parse_table(content)
        return {
            fingerprint: _decode_suspect(fingerprint, fields, epoch_s)
            for fingerprint, fields in fields_by_fingerprint.items()
        }
    except _DECODE_ERRORS as exc:
        log_event(Event.SUSPECTS_IGNORED, reason=repr(exc))
        return {}


def _encode_suspects_within(
    suspects: dict[str, Suspect], max_bytes: int, epoch_s: float
) -> dict[str, Any]:
    """Return the fields of a row within max_bytes, by fingerprint.

    Suspects with the most crashes go first, then the newest. epoch_s is the
    Unix time at which the clock of their times was 0.
    """
    ranked_suspects = sorted(
        suspects.items(),
        key=lambda item: (len(item[1].crashes), item[1].last_seen_s),
        reverse=True,
    )
    encoded_suspects: dict[str, Any] = {}
    remaining_bytes = max_bytes * MAX_ROW_SHARE
    for fingerprint, suspect in ranked_suspects:
        fields = _encode_suspect(suspect, epoch_s)
        remaining_bytes -= len(json.dumps({fingerprint: fields}))
        if remaining_bytes < 0:
            break
        encoded_suspects[fingerprint] = fields
    return encoded_suspects


def _encode_suspect(suspect: Suspect, epoch_s: float) -> dict[str, Any]:
    return {
        'ends': [
            [crash.target, crash.incarnation, crash.crash_number]
            for crash in suspect.crashes.values()
        ],
        'answers': suspect.success_count,
        'trials': suspect.trial_count,
        'passed': suspect.succeeded_trials,
        'proven': suspect.has_succeeded,
        'noted': round(suspect.last_seen_s + epoch_s),
    }


def _decode_suspect(
    fingerprint: str, fields: dict[str, Any], epoch_s: float
) -> Suspect:
    crashes = [
        TargetCrash(fingerprint, str(target), int(incarnation), int(number))
        for target, incarnation, number in fields['ends']
    ]
    return Suspect(
        crashes={crash.key: crash for crash in crashes},
        success_count=int(fields['answers']),
        trial_count=int(fields['trials']),
        succeeded_trials=int(fields.get('passed', 0)),
        has_succeeded=bool(fields.get('proven', False)),
        last_seen_s=float(fields['noted']) - epoch_s,
    )
