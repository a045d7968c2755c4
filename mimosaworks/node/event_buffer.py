"""Splits a stream at complete events and keeps the place to resume it at."""

import attrs
from aiohttp import ClientPayloadError

from mimosaworks.event_stream import (
    BYTE_ORDER_MARK,
    Event,
    EventCutter,
    split_events,
)

# Some events; a stream with more of them behind its last id is not resumed.
MAX_UNNUMBERED_BYTES = 16000


class OtherEventError(ClientPayloadError):
    """A resumed stream has another event where one was released before."""


@attrs.define
class _RelayedIds:
    """The ids that tell a run which starts over from one that goes on."""

    _first: bytes = b''
    _last: bytes = b''
    _is_run_begun: bool = True

    def begin_run(self) -> None:
        """Expect the first id of another run."""
        self._is_run_begun = not self._last

    def add(self, event_id: bytes) -> None:
        """Add an id; raises OtherEventError for one that came before."""
        if not self._is_run_begun and self._came_before(event_id):
            raise OtherEventError(f'id {event_id!r} comes again')
        self._first = self._first or event_id
        self._last = event_id
        self._is_run_begun = True

    def _came_before(self, event_id: bytes) -> bool:
        if event_id.isdigit() and self._last.isdigit():
            return int(event_id) <= int(self._last)
        return event_id in {self._first, self._last}


@attrs.frozen
class PlainBuffer:
    """Passes on a body that is no stream of events and can't be resumed."""

    is_inside_event: bool = False
    held_bytes: int = 0
    can_resume: bool = False
    last_event_id: str = ''

    def feed(self, chunk: bytes) -> bytes:
        """Return the chunk."""
        return chunk

    def flush(self) -> bytes:
        """Return nothing, as nothing is held back."""
        return b''

    def begin_run(self) -> None:
        """Do nothing, as there is one run only."""


@attrs.define
class EventBuffer:
    """Follows a stream's events, so that its end can be judged.

    With is_resumable it holds an unfinished event back, so that the stream can
    go on at another target. last_event_id is the id of the last event with one
    that was released; at first, that behind which the caller asked to begin. A
    target may repeat the events without an id behind that one; the caller gets
    them once.
    """

    is_resumable: bool
    last_event_id: str = ''
    _cutter: EventCutter = attrs.field(factory=EventCutter)
    _ids: _RelayedIds = attrs.field(factory=_RelayedIds)
    _unnumbered: list[bytes] = attrs.field(factory=list)
    _unnumbered_bytes: int = 0
    _repeatable: list[bytes] = attrs.field(factory=list)
    _is_place_lost: bool = False
    _is_begun: bool = False
    _is_run_begun: bool = False

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream stands inside an event."""
        return self._cutter.is_inside_event

    @property
    def held_bytes(self) -> int:
        """Number of buffered bytes of an unfinished event."""
        return self._cutter.held

    @property
    def can_resume(self) -> bool:
        """Whether the last event with an id tells where the stream stands."""
        return self.is_resumable and not self._is_place_lost

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return the bytes that can be released.

        Raises OtherEventError.
        """
        if not self.is_resumable:
            return self._cutter.pass_on(chunk)
        complete = self._cutter.feed(chunk)
        mark = b''
        if complete and not self._is_run_begun:
            mark, complete = self._take_mark(complete)
        return mark + b''.join(
            self._release(event) for event in split_events(complete)
        )

    def flush(self) -> bytes:
        """Return the bytes after the last event of a finished stream."""
        return self._cutter.take_rest()

    def begin_run(self) -> None:
        """Drop an unfinished event; the next chunk is the run's first one."""
        self._cutter = EventCutter()
        self._repeatable = self._unnumbered.copy()
        self._ids.begin_run()
        self._is_run_begun = False

    def _take_mark(self, complete: bytes) -> tuple[bytes, bytes]:
        """Return a run's byte order mark, if it is released, and the rest."""
        is_marked = complete.startswith(BYTE_ORDER_MARK)
        is_released = is_marked and not self._is_begun
        self._is_begun = True
        self._is_run_begun = True
        return (
            BYTE_ORDER_MARK if is_released else b'',
            complete.removeprefix(BYTE_ORDER_MARK),
        )

    def _release(self, event: Event) -> bytes:
        """Return the bytes of an event that the caller gets."""
        if event.event_id:
            self._keep_place(event.event_id)
        elif event.has_data and self._repeatable:
            self._check_repeated(event.content)
            return b''
        elif event.has_data and not self._is_place_lost:
            self._keep_unnumbered(event.content)
        return event.content

    def _keep_place(self, event_id: bytes) -> None:
        self._ids.add(event_id)
        self.last_event_id = event_id.decode(errors='replace')
        self._forget_unnumbered()
        self._repeatable.clear()
        self._is_place_lost = False

    def _check_repeated(self, content: bytes) -> None:
        """Raise OtherEventError unless the caller has this event."""
        if content != self._repeatable.pop(0):
            raise OtherEventError(
                f'another event than before follows id {self.last_event_id!r}'
            )

    def _keep_unnumbered(self, content: bytes) -> None:
        """Keep an event that the next run may repeat."""
        self._unnumbered.append(content)
        self._unnumbered_bytes += len(content)
        is_beyond = self._unnumbered_bytes > MAX_UNNUMBERED_BYTES
        if is_beyond or not self.last_event_id:
            self._forget_unnumbered()
            self._is_place_lost = True

    def _forget_unnumbered(self) -> None:
        self._unnumbered.clear()
        self._unnumbered_bytes = 0
