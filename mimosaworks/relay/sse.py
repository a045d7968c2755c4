"""Counts the events of a server-sent event stream."""

import attrs

from mimosaworks.event_stream import BYTE_ORDER_MARK, EventCutter

_DONE = b'[DONE]'
_LINE_ENDS = b'\r\n'


@attrs.define
class EventCounter:
    """Passes whole events on and holds the bytes of an unfinished one.

    tokens counts the events with data so far without the closing one; is_done
    tells whether the closing event was passed, behind which nothing is. Used
    to resume a stream so that each token is sent once.
    """

    tokens: int = 0
    is_done: bool = False
    _cutter: EventCutter = attrs.field(factory=EventCutter)
    _is_run_start: bool = True
    _has_passed: bool = False
    _event_data: list[bytes] = attrs.field(factory=list)

    @property
    def held(self) -> int:
        """The bytes of an unfinished event."""
        return self._cutter.held

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        whole = self._cutter.feed(chunk)
        if self._has_passed and self._is_run_start:
            # Behind other events, a mark would be a part of a field's name.
            whole = whole.removeprefix(BYTE_ORDER_MARK)
        passed = whole[: self._count(whole)]
        self._is_run_start = self._is_run_start and not passed
        self._has_passed = self._has_passed or bool(passed)
        return passed

    def begin_run(self) -> None:
        """Forget the bytes of an unfinished event, before a resume."""
        self._cutter = EventCutter()
        self._is_run_start = True

    def _count(self, whole: bytes) -> int:
        """Count whole events; return where the closing one ends."""
        end = 0
        for line in whole.splitlines(keepends=True):
            if self.is_done:
                break
            end += len(line)
            self._add_line(line.rstrip(_LINE_ENDS))
        return end

    def _add_line(self, line: bytes) -> None:
        name, _, text = line.partition(b':')
        if name.removeprefix(BYTE_ORDER_MARK) == b'data':
            self._event_data.append(text.removeprefix(b' '))
        if line or not self._event_data:
            return
        if self._event_data == [_DONE]:
            self.is_done = True
        else:
            self.tokens += 1
        self._event_data.clear()
