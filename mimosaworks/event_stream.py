"""Cuts a stream of server-sent events at the ends of its events.

Lines end with LF, CR LF or CR, and an empty line ends an event; a line that
starts with a colon is a comment, which is no part of an event (HTML standard,
"Server-sent events").
"""

from collections.abc import Iterator

import attrs

END_OF_EVENT = b'\n\n'
BYTE_ORDER_MARK = b'\xef\xbb\xbf'
_LINE_ENDS = b'\r\n'
# Enough to tell a comment, behind a byte order mark too.
_LINE_START_BYTES = 4


@attrs.frozen
class Event:
    """A whole event as it came, or comments beside events.

    event_id is empty for an event without an id; has_data is false for what
    reaches nobody who reads the events.
    """

    content: bytes
    event_id: bytes = b''
    has_data: bool = False


@attrs.define
class EventScanner:
    """Tells where the events of a stream end, whatever its chunks are."""

    _line_start: bytes = b''
    _has_fields: bool = False
    _is_first_line: bool = True
    _ended_with_cr: bool = False

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended yet."""
        return self._has_fields or self._is_in_field()

    def feed(self, chunk: bytes) -> int:
        """Return how many bytes of a chunk belong to no unfinished event."""
        if chunk.endswith(END_OF_EVENT):
            # The usual chunk: an empty line ends any event.
            self._reset_line()
            return len(chunk)
        end = 0
        position = 0
        for line in chunk.splitlines(keepends=True):
            position += len(line)
            is_rest_of_line_end = self._ended_with_cr and line == b'\n'
            self._ended_with_cr = line.endswith(b'\r')
            if not is_rest_of_line_end:
                self._add_line(line)
            if line[-1] in _LINE_ENDS and not self._has_fields:
                end = position
        return end

    def _add_line(self, line: bytes) -> None:
        """Add a line or a part of one."""
        text = line.rstrip(_LINE_ENDS)
        self._line_start = (self._line_start + text[:_LINE_START_BYTES])[
            :_LINE_START_BYTES
        ]
        if len(text) == len(line):
            return
        if self._is_in_field():
            self._has_fields = True
        elif not self._unmarked_start():
            self._has_fields = False
        self._line_start = b''
        self._is_first_line = False

    def _reset_line(self) -> None:
        """Forget the lines so far, as behind an empty line."""
        self._line_start = b''
        self._has_fields = False
        self._is_first_line = False
        self._ended_with_cr = False

    def _is_in_field(self) -> bool:
        start = self._unmarked_start()
        return bool(start) and not start.startswith(b':')

    def _unmarked_start(self) -> bytes:
        if self._is_first_line:
            return self._line_start.removeprefix(BYTE_ORDER_MARK)
        return self._line_start


@attrs.define
class EventCutter:
    """Holds back the bytes of an unfinished event.

    A stream that breaks off can go on elsewhere behind whole events only.
    held is the number of bytes.
    """

    held: int = 0
    _scanner: EventScanner = attrs.field(factory=EventScanner)
    _parts: list[bytes] = attrs.field(factory=list)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended yet."""
        return self._scanner.is_inside_event

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        end = self._scanner.feed(chunk)
        if not end:
            self._hold(chunk)
            return b''
        self._hold(chunk[:end])
        whole = self.take_rest()
        self._hold(chunk[end:])
        return whole

    def pass_on(self, chunk: bytes) -> bytes:
        """Return all bytes, of unfinished events too."""
        self._scanner.feed(chunk)
        return chunk

    def take_rest(self) -> bytes:
        """Return the bytes that were held back, and forget them."""
        rest = b''.join(self._parts)
        self._parts.clear()
        self.held = 0
        return rest

    def _hold(self, chunk: bytes) -> None:
        if chunk:
            self._parts.append(chunk)
            self.held += len(chunk)


def split_events(whole_events: bytes) -> Iterator[Event]:
    """Split bytes that end outside of events; nothing is left out."""
    lines: list[bytes] = []
    fields: dict[bytes, bytes] = {}
    for line in whole_events.splitlines(keepends=True):
        lines.append(line)
        name, _, text = line.rstrip(_LINE_ENDS).partition(b':')
        fields[name.removeprefix(BYTE_ORDER_MARK)] = text
        if not line.strip(_LINE_ENDS):
            yield _make_event(lines, fields)
            lines = []
            fields = {}
    if lines:
        yield _make_event(lines, fields)


def _make_event(lines: list[bytes], fields: dict[bytes, bytes]) -> Event:
    event_id = fields.get(b'id', b'').removeprefix(b' ')
    if b'\0' in event_id:
        event_id = b''
    return Event(b''.join(lines), event_id, b'data' in fields)
