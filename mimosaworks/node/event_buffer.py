"""Splits a stream at complete events and keeps the place to resume it at."""

import itertools
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
    has_run_event: bool | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the chunk."""
        return chunk

    def flush(self) -> bytes:
        """Return nothing, as nothing is held back."""
        return b''

    def begin_run(self) -> None:
        """Do nothing, as there is one run only."""

    def may_end(self, *, is_framed: bool) -> bool:
        """Return true, as nothing but its framing tells where it ends."""
        return True


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
    _is_resumed: bool = False
    _has_new_event: bool = False
    _awaits_first_id: bool = True

    @property
    def has_run_event(self) -> bool:
        """Whether the latest run has given an event with data."""
        return self._cutter.has_passed_event

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
            self._check_first_id(events)
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
        self._is_resumed = self._is_begun
        self._opening = [] if self._is_resumed else None
        self._awaits_first_id = not self._is_resumed
        self._opening_bytes = 0
        self._is_run_begun = False
        self._has_new_event = False

    def may_end(self, *, is_framed: bool) -> bool:
        """Return whether what the latest run gave may end the stream.

        is_framed is false for a run that ended with its connection. Raises
        OtherEventError.
        """
        if not self.has_run_event:
            # A stream that is resumed broke off, and more may follow; its
            # caller can ask for what comes behind its last event itself.
            return is_framed and not self._is_resumed
        if is_framed or not self._is_resumed:
            return True
        # The run may have broken off at the same place as the one before.
        opening = self._opening or []
        new_events = self.place.drop_repeated(opening)
        return self._has_new_event or _have_data(new_events)

    def _take_mark(self, complete: bytes) -> tuple[bytes, bytes]:
        """Return a run's byte order mark, if it is released, and the rest."""
        rest = complete.removeprefix(BYTE_ORDER_MARK)
        is_resumed = self._is_begun
        self._is_begun = True
        self._is_run_begun = True
        if is_resumed or rest == complete:
            return b'', rest
        return BYTE_ORDER_MARK, rest

    def _check_first_id(self, events: list[Event]) -> None:
        """Raise OtherEventError if a run starts before the asked place."""
        if self._awaits_first_id:
            for position in itertools.islice(_positions_of_ids(events), 1):
                self._awaits_first_id = False
                self.place.check_ids(events[position : position + 1])

    def _release_opening(self) -> bytes:
        opening = self._opening or []
        end = 1 + next(_positions_of_ids(opening), len(opening))
        new_events = self.place.drop_repeated(opening[:end])
        self._opening = None
        self._opening_bytes = 0
        return self._release(new_events + opening[end:])

    def _release(self, events: list[Event]) -> bytes:
        self._has_new_event |= _have_data(events)
        for released_event in events:
            self.place.add(released_event)
        return b''.join(event.content for event in events)


def _positions_of_ids(events: list[Event]) -> Iterator[int]:
    for position, event in enumerate(events):
        if event.event_id:
            yield position


def _have_data(events: list[Event]) -> bool:
    return any(event.has_data for event in events)
