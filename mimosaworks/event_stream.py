"""Cuts a stream of server-sent events at the ends of its events.

Lines end with LF, CR LF or CR, and an empty line ends an event; a line that
starts with a colon is a comment, which is no part of an event (HTML standard,
"Server-sent events").
"""

import re
from collections.abc import Iterator

import attrs

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
_CR = b'\r'
_LF = b'\n'
# The last two bytes of a part that ends with an empty line.
_EMPTY_LINE_ENDS = (b'\n\n', b'\n\r', b'\r\r')
_LINE_END = re.compile(rb'[\r\n]')
_FIELD = re.compile(rb'(?:^|[\r\n])[^:\r\n]')
# Lines with text and the empty ones behind them, or empty ones alone.
_EVENT = re.compile(
    rb'(?:[^\r\n]++(?>\r\n|\r|\n))++(?>\r\n|\r|\n)*+'
    rb'|(?>\r\n|\r|\n)++'
)
# The look behind for the start of the line comes second: a search for literal
# bytes is faster.
_ID = re.compile(rb'id:(?<![^\r\n]id:)[ ]?([^\0\r\n]*)(?=[\r\n])')
_DATA = re.compile(rb'data(?<![^\r\n]data)[:\r\n]')
# Enough to tell a comment, behind a byte order mark too.
_LINE_START_BYTES = 4
# Enough to tell a line with data, behind a byte order mark too.
_OUTLINE_LINE_BYTES = 8


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
    """Tells where the events of a stream end, whatever its chunks are.

    It steps over whole chunks, not over lines: a stream may be made of line
    ends alone.
    """

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
        start = max(chunk.rfind(end) for end in _EMPTY_LINE_ENDS) + 2
        if start > 1:
            self._end_event(chunk[:start])
        else:
            start = 0
        start = self._skip_line_feed(chunk, start)
        if not self._line_start and _LINE_END.match(chunk, start):
            self._end_event(chunk[: start + 1])
            start = self._skip_line_feed(chunk, start + 1)
        end = 0 if self._has_fields else start
        lines_end = self._add_lines(chunk, start)
        return end if self._has_fields else max(end, lines_end)

    def _add_lines(self, chunk: bytes, start: int) -> int:
        """Add lines of which only the first can be empty.

        Returns where the last one that has ended ends, 0 if none has.
        """
        first_end = _LINE_END.search(chunk, start)
        if first_end is None:
            self._add_to_line(chunk[start:])
            return 0
        self._add_to_line(chunk[start : first_end.start()])
        self._end_line()
        last_end = max(chunk.rfind(_LF), chunk.rfind(_CR)) + 1
        if _FIELD.search(chunk, first_end.start(), last_end):
            self._has_fields = True
        if last_end < len(chunk):
            self._add_to_line(chunk[last_end:])
        self._ended_with_cr = chunk.endswith(_CR)
        return last_end

    def _skip_line_feed(self, chunk: bytes, start: int) -> int:
        """Return where a chunk goes on behind the line end before start."""
        if not self._ended_with_cr or chunk[start : start + 1] != _LF:
            return start
        self._ended_with_cr = False
        return start + 1

    def _end_event(self, part: bytes) -> None:
        """Forget the lines before the end of a part that is an empty line."""
        self._line_start = b''
        self._has_fields = False
        self._is_first_line = False
        self._ended_with_cr = part.endswith(_CR)

    def _add_to_line(self, text: bytes) -> None:
        if text:
            self._ended_with_cr = False
        start = self._line_start + text[:_LINE_START_BYTES]
        self._line_start = start[:_LINE_START_BYTES]

    def _end_line(self) -> None:
        if self._is_in_field():
            self._has_fields = True
        elif not self._unmarked_start():
            self._has_fields = False
        self._line_start = b''
        self._is_first_line = False

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
    held is the number of bytes. has_passed_event: a whole event with data was
    in the chunks.
    """

    held: int = 0
    has_passed_event: bool = False
    _scanner: EventScanner = attrs.field(factory=EventScanner)
    _parts: list[bytes] = attrs.field(factory=list)
    _outline: bytes = b''
    _is_first_event: bool = True

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
        if not self.has_passed_event:
            self._find_event(whole, len(whole))
        self._hold(chunk[end:])
        return whole

    def pass_on(self, chunk: bytes) -> bytes:
        """Return all bytes, of unfinished events too."""
        end = self._scanner.feed(chunk)
        if not self.has_passed_event:
            self._find_event(chunk, end)
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

    def _find_event(self, chunk: bytes, end: int) -> None:
        """Look for an event with data; end is where no event is unfinished."""
        if end:
            whole = self._add_to_outline(chunk[:end])
            self.has_passed_event = _DATA.search(whole) is not None
            self._outline = b''
            self._is_first_event = False
        self._outline = _outline_of(self._add_to_outline(chunk[end:]))

    def _add_to_outline(self, chunk: bytes) -> bytes:
        extended = self._outline + chunk
        if self._is_first_event:
            return extended.removeprefix(BYTE_ORDER_MARK)
        return extended


def split_events(whole_events: bytes) -> Iterator[Event]:
    """Split bytes that end outside of events; nothing is left out."""
    for found in _EVENT.finditer(whole_events):
        content = found.group()
        ids = _ID.findall(content)
        has_data = _DATA.search(content) is not None
        yield Event(content, ids[-1] if ids else b'', has_data)


def _outline_of(unfinished: bytes) -> bytes:
    """Return a few bytes that have data if an unfinished event has."""
    last_start = max(unfinished.rfind(_LF), unfinished.rfind(_CR)) + 1
    ended = unfinished[:last_start]
    data_line = b'data' if _DATA.search(ended) else b''
    last_line = unfinished[last_start : last_start + _OUTLINE_LINE_BYTES]
    return data_line + ended[-1:] + last_line
