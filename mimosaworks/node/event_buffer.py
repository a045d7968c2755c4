"""Splits a stream at complete events and keeps the id to resume after."""

import re

import attrs

from mimosaworks.event_stream import EventCutter

_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


@attrs.define
class EventBuffer:
    """Follows a stream's events, so that its end can be judged.

    With is_resumable it holds an unfinished event back, so that the stream can
    go on at another target. last_event_id is the id of the last event that
    was released.
    """

    is_resumable: bool
    last_event_id: str = ''
    _cutter: EventCutter = attrs.field(factory=EventCutter)

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream stands inside an event."""
        return self._cutter.is_inside_event

    @property
    def held_bytes(self) -> int:
        """Number of buffered bytes of an unfinished event."""
        return self._cutter.held

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return the bytes that can be released."""
        if not self.is_resumable:
            return self._cutter.pass_on(chunk)
        complete = self._cutter.feed(chunk)
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode('latin-1')
        return complete

    def flush(self) -> bytes:
        """Return the bytes after the last event of a finished stream."""
        return self._cutter.take_rest()

    def discard_unfinished(self) -> None:
        """Drop an unfinished event before the stream is resumed."""
        self._cutter = EventCutter()
