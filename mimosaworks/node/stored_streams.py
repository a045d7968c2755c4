"""Rows of the store by which origins of streams survive a loss of all nodes."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PlatformError
from mimosaworks.events import Event, log_event
from mimosaworks.node.interruptible_sleep import InterruptibleSleep
from mimosaworks.node.order_runner import OrderRunner
from mimosaworks.node.stream_origins import MAX_TEXT_CHARS, StreamOrigins
from mimosaworks.platform import RowChange, RowName, StoreClient
from mimosaworks.wire import StreamNote, StreamReply

STREAMS_TABLE = 'mimosaworks-streams'
# Of its own, so that the lease's renewals do not wait for these writes.
STREAMS_PART = 'streams'
# The shortest pause between two writes, in which further streams gather.
SAVE_INTERVAL_S = 0.02
IDLE_WAIT_S = 60.0
RETRY_PAUSE_S = 0.5
# Some times the delay of a heartbeat with an update.
REPORT_WAIT_S = 0.1
# The time in which all nodes send their first heartbeat to a new holder.
FIRST_REPORTS_WAIT_S = 0.5
MAX_LOAD_WAIT_S = 1.0
POLL_S = 0.02
# A transaction takes 100 entries.
MAX_REMOVED_ROWS = 90
# The texts of an origin, with escapes, and its time.
MAX_ORIGIN_BYTES = 4 * MAX_TEXT_CHARS
_DECODE_ERRORS = (ValueError, TypeError, LookupError, OverflowError)


@attrs.define(eq=False)
class StreamSaver:
    """Stores the origins of streams for the next holder, and reads its rows.

    The holder runs it. origins are those that it knows. Rows are named by its
    fencing number, so that no two holders write the same. An origin that is
    not stored is unknown after a loss of all nodes, never another one, so that
    no stream waits for a write. row_bytes is the largest size of a row,
    elected_s the time of the election.
    is_loaded: the rows of earlier holders were read.
    """

    store: StoreClient
    fence: int
    row_bytes: int
    elected_s: float
    origins: StreamOrigins = attrs.field(factory=StreamOrigins)
    is_loaded: bool = False
    _unsaved_notes: dict[str, StreamNote] = attrs.field(factory=dict)
    _expiry_by_row: dict[RowName, float] = attrs.field(factory=dict)
    _row_number: int = 0
    _keeps_rows: bool = False
    _pause: InterruptibleSleep = attrs.field(
        factory=lambda: InterruptibleSleep(SAVE_INTERVAL_S)
    )

    def record_notes(self, notes: Iterable[StreamNote]) -> None:
        """Add origins that nodes reported, and store the new ones soon."""
        for note in notes:
            if self.origins.add(note):
                self._unsaved_notes[note.request_id] = note
                self._pause.wake()

    def save_again(self) -> None:
        """Store all known origins, as the store may have lost its rows."""
        for note in self.origins.make_notes():
            self._unsaved_notes[note.request_id] = note
        self._pause.wake()

    async def find_stream(self, request_id: str) -> StreamReply:
        """Return where a stream began; empty texts if that is not known.

        It may be in the rows of earlier holders that are still to be read, or
        in a heartbeat that is under way.
        """
        asked_s = now_s()
        while True:  # noqa: WPS457 -- ends when it is found, or in time
            origin = self.origins.find(request_id)
            if origin is not None:
                return StreamReply(origin.service, origin.software_version)
            if now_s() > self._report_deadline_s(asked_s):
                return StreamReply()
            await asyncio.sleep(POLL_S)

    async def run(self) -> None:
        """Read the rows, then store new origins until cancelled."""
        while not await self._load_rows():
            await asyncio.sleep(RETRY_PAUSE_S)
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            if self._unsaved_notes:
                is_saved = await self._save_batch()
                pause_s = SAVE_INTERVAL_S if is_saved else RETRY_PAUSE_S
                await asyncio.sleep(pause_s)
            else:
                await self._pause.sleep(IDLE_WAIT_S)

    def _report_deadline_s(self, asked_s: float) -> float:
        if not self.is_loaded:
            return asked_s + MAX_LOAD_WAIT_S
        return max(
            asked_s + REPORT_WAIT_S, self.elected_s + FIRST_REPORTS_WAIT_S
        )

    async def _load_rows(self) -> bool:
        try:
            answer = await self.store.read(STREAMS_TABLE, STREAMS_PART)
        except PlatformError as exc:
            log_event(Event.STREAMS_UNREAD, reason=str(exc))
            return False
        for row in answer.rows:
            notes = _decode_notes(row.content or b'')
            self._expiry_by_row[row.name] = _last_expiry_s(notes)
            for note in notes:
                self.origins.add(note)
        self.is_loaded = True
        log_event(Event.STREAMS_READ, rows=len(answer.rows))
        return True

    async def _save_batch(self) -> bool:
        """Store some origins and remove expired rows; return whether it did.

        The row keeps its name until the store has confirmed it.
        """
        count = max(self.row_bytes // MAX_ORIGIN_BYTES, 1)
        batch = list(self._unsaved_notes.values())[:count]
        key = f'{self.fence}-{self._row_number}'
        name = RowName(STREAMS_TABLE, key, STREAMS_PART)
        removed = self._expired_rows()
        changes = [RowChange(name, _encode_notes(batch))]
        changes += [RowChange(row_name, None) for row_name in removed]
        try:
            await self.store.commit((), changes)
        except PlatformError as exc:
            # The store may have refused the removal.
            self._keeps_rows = True
            waiting = len(self._unsaved_notes)
            log_event(Event.STREAMS_UNSAVED, reason=str(exc), waiting=waiting)
            return False
        self._keeps_rows = False
        self._record_saved(name, batch, removed)
        return True

    def _record_saved(
        self,
        name: RowName,
        batch: Iterable[StreamNote],
        removed: Iterable[RowName],
    ) -> None:
        self._row_number += 1
        self._expiry_by_row[name] = _last_expiry_s(batch)
        for row_name in removed:
            self._expiry_by_row.pop(row_name, None)
        for note in batch:
            self._unsaved_notes.pop(note.request_id, None)

    def _expired_rows(self) -> list[RowName]:
        now = now_s()
        expired = [
            name
            for name, expires_s in self._expiry_by_row.items()
            if expires_s < now
        ]
        return [] if self._keeps_rows else expired[:MAX_REMOVED_ROWS]


def make_stream_saver(
    store: StoreClient | None,
    order_runner: OrderRunner,
    row_bytes: int,
    elected_s: float,
) -> StreamSaver | None:
    """Return what stores the origins of streams, None without a store."""
    if store is None:
        return None
    return StreamSaver(store, order_runner.fence, row_bytes, elected_s)


def _last_expiry_s(notes: Iterable[StreamNote]) -> float:
    lifetimes_s = [note.left_s for note in notes]
    return now_s() + max(lifetimes_s, default=0)


def _encode_notes(notes: Iterable[StreamNote]) -> bytes:
    return json.dumps([
        [
            note.request_id,
            note.service,
            note.software_version,
            round(note.left_s, 1),
        ]
        for note in notes
    ]).encode()


def _decode_notes(content: bytes) -> list[StreamNote]:
    """Return the origins of a row; none if it can't be decoded."""
    try:
        return list(map(_decode_note, json.loads(content)))
    except _DECODE_ERRORS as exc:
        log_event(Event.STREAMS_IGNORED, reason=repr(exc))
        return []


def _decode_note(fields: list[Any]) -> StreamNote:
    request_id, service, software_version, left_s = fields
    return StreamNote(
        str(request_id), str(service), str(software_version), float(left_s)
    )
