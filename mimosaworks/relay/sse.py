"""Counts the events of a server-sent event stream without parsing them."""

import attrs

from mimosaworks.event_stream import END_OF_EVENT, EventCutter

_DONE = b'data: [DONE]'


@attrs.define
class EventCounter:
    """Passes whole events on and holds the bytes of an unfinished one.

    tokens counts the events so far without the closing one; is_done tells
    whether the closing event was passed. Used to resume a stream so that
    each token is sent once.
    """

    tokens: int = 0
    is_done: bool = False
    _cutter: EventCutter = attrs.field(factory=EventCutter)

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        whole = self._cutter.feed(chunk)
        self._count(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget the bytes of an unfinished event, before a resume."""
        self._cutter.take_rest()

    def _count(self, whole: bytes) -> None:
        self.tokens += whole.count(END_OF_EVENT)
        if whole.endswith(_DONE + END_OF_EVENT):
            self.is_done = True
            self.tokens -= 1
