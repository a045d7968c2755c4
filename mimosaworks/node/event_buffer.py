"""Splits a stream at complete events and keeps the place to resume it at."""

from collections.abc import Iterator

import attrs

from mimosaworks.event_stream import (
    BYTE_ORDER_MARK,
    Event,
    EventCutter,
    split_events,
)
from mimosaworks.node.stream_place import StreamPlace


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
    go on at another target behind place. Of another run it also holds back the
    events up to the first one with an id, which show whether it goes on there.
    """

    is_resumable: bool
    place: StreamPlace = attrs.field(factory=StreamPlace)
    _cutter: EventCutter = attrs.field(factory=EventCutter)
    _opening: list[Event] | None = None
    _opening_bytes: int = 0
    _is_begun: bool = False
    _is_run_begun: bool = False

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream stands inside an event."""
        return self._cutter.is_inside_event

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are held back."""
        return self._cutter.held + self._opening_bytes

    @property
    def can_resume(self) -> bool:
        """Whether another target can be told where to go on."""
        return self.is_resumable and self.place.is_known

    @property
    def last_event_id(self) -> str:
        """The id behind which the stream goes on, empty at its start."""
        return self.place.last_id.decode(errors='replace')

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
        events = list(split_events(complete))
        if self._opening is None:
            return mark + self._release(events)
        self._opening.extend(events)
        self._opening_bytes += len(complete)
        if list(_positions_of_ids(events)):
            return mark + self._release_opening()
        return mark

    def flush(self) -> bytes:
        """Return the bytes after the last event of a finished stream.

        Raises OtherEventError.
        """
        opening = b'' if self._opening is None else self._release_opening()
        return opening + self._cutter.take_rest()

    def begin_run(self) -> None:
        """Drop what is held back; the next chunk is the run's first one."""
        self._cutter = EventCutter()
        self._opening = [] if self._is_begun else None
        self._opening_bytes = 0
        self._is_run_begun = False

    def _take_mark(self, complete: bytes) -> tuple[bytes, bytes]:
        """Return a run's byte order mark, if it is released, and the rest."""
        rest = complete.removeprefix(BYTE_ORDER_MARK)
        is_resumed = self._is_begun
        self._is_begun = True
        self._is_run_begun = True
        if is_resumed or rest == complete:
            return b'', rest
        return BYTE_ORDER_MARK, rest

    def _release_opening(self) -> bytes:
        opening = self._opening or []
        end = 1 + next(_positions_of_ids(opening), len(opening))
        new_events = self.place.drop_repeated(opening[:end])
        self._opening = None
        self._opening_bytes = 0
        return self._release(new_events + opening[end:])

    def _release(self, events: list[Event]) -> bytes:
        for released_event in events:
            self.place.add(released_event)
        return b''.join(event.content for event in events)


def _positions_of_ids(events: list[Event]) -> Iterator[int]:
    for position, event in enumerate(events):
        if event.event_id:
            yield position
