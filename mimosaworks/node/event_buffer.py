"""Whole events of a stream, and the id behind which it can be resumed."""

import re

import attrs

from mimosaworks.event_stream import EventCutter

_ID_LINE = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


@attrs.define
class EventBuffer:
    """Holds back an unfinished event, so that a stream can be resumed.

    last_id is the id of the last event that was let through.
    """

    last_event_id: str = ''
    _cutter: EventCutter = attrs.field(factory=EventCutter)

    @property
    def held_bytes(self) -> int:
        """How many bytes of an unfinished event are held."""
        return self._cutter.held

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        complete = self._cutter.feed(chunk)
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode('latin-1')
        return complete

    def flush(self) -> bytes:
        """Return what follows the last event of a complete stream."""
        return self._cutter.take_rest()

    def discard_unfinished(self) -> None:
        """Forget an unfinished event before the stream is resumed."""
        self._cutter.take_rest()
