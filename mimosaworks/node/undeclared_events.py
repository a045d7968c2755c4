"""Bodies that are made of events though their type doesn't say so."""

import re

import attrs

from mimosaworks.event_stream import EventScanner

_START_BYTES = 4096
# Comments and empty lines, and then a field that events have.
_EVENT_START = re.compile(
    rb'(?:\xef\xbb\xbf)?(?::[^\r\n]*+[\r\n]|[\r\n])*+(?:data|event|id|retry):'
)


@attrs.define
class UndeclaredEventBuffer:
    """Passes on a body on a route for streams that is of another type.

    If it begins as a stream of events does and ends with its connection, it
    may have broken off inside an event. It can't be resumed.
    """

    is_inside_event: bool = False
    held_bytes: int = 0
    can_resume: bool = False
    last_event_id: str = ''
    has_run_event: bool | None = None
    _start: bytes = b''
    _scanner: EventScanner = attrs.field(factory=EventScanner)

    def feed(self, chunk: bytes) -> bytes:
        """Return the chunk."""
        missing = _START_BYTES - len(self._start)
        self._start += chunk[:missing]
        self._scanner.feed(chunk)
        return chunk

    def flush(self) -> bytes:
        """Return nothing, as nothing is held back."""
        return b''

    def begin_run(self) -> None:
        """Do nothing, as there is one run only."""

    def may_end(self, *, is_framed: bool) -> bool:
        """Return whether nothing shows that the body broke off.

        is_framed is false for one that ended with its connection.
        """
        has_events = _EVENT_START.match(self._start) is not None
        return is_framed or not (has_events and self._scanner.is_inside_event)
