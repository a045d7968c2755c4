"""Finds the head of another answer inside the body of one."""

import functools
import re

import attrs

MAX_HEAD_BYTES = 16384  # of a head, up to the field with a request's id
_START = b'HTTP/1.'
_NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
# Reason phrases are short; the bound keeps the search linear.
_MAX_STATUS_LINE_BYTES = 220
_STATUS = rb'HTTP/1\.\d (?P<status>\d{3})(?: [^\r\n]{0,200}+)?'
_EVENT_NAMES = rb'(?:data|event|id|retry):'
_STATUS_LINE_PART = re.compile(
    rb'HTTP/1\.(?:\d(?: (?:\d{0,2}|\d{3}(?: [^\r\n]{0,200}+)?\r?))?)?\Z'
)
_FIELD_PART = re.compile(rb'%s(?::[^\r\n]*+\r?)?\Z' % _NAME)
# Bodies of these types may be made of whole answers.
_MESSAGE_TYPES = ('application/http', 'message/', 'multipart/')


@attrs.frozen
class ForeignHead:
    """The head of another answer.

    start is its place in the latest chunk, 0 if it began before that;
    request_id is empty where the head ended before it.
    """

    start: int
    status: int
    request_id: str


class ForeignHeadFinder:
    """Looks for a head in one body, whatever its chunks are.

    A status line counts if fields follow it without a break, up to id_field,
    the one with the id of a request. With is_structured, as for events and
    JSON, it counts if any field follows that is none of an event, and lines may
    end with LF. unended_head is a head of which some fields have come, and not
    the one that counts.
    """

    def __init__(self, id_field: str, *, is_structured: bool = False) -> None:
        self.unended_head: ForeignHead | None = None
        make_pattern = _structured_pattern if is_structured else _text_pattern
        self._pattern = make_pattern(id_field)
        # The bytes of earlier chunks that may begin a head.
        self._begun = b''

    def feed(self, chunk: bytes) -> ForeignHead | None:
        """Return the first head that is found with a chunk of the body."""
        text = self._begun + chunk
        begun_bytes = len(self._begun)
        latest = None
        if _START in text:
            for found in self._pattern.finditer(text):
                if found['mark'] is not None:
                    return _read_head(found, begun_bytes)
                latest = found
        begin = _find_unended(text, latest)
        if begin is None or len(text) - begin > MAX_HEAD_BYTES:
            begin = len(text) - _begun_size(text)
        self._begun = text[begin:]
        self.unended_head = None
        if latest is not None and latest.start() == begin:
            # A status line alone may be quoted at the end of a text.
            has_fields = len(text) > latest.start('fields')
            if has_fields:
                self.unended_head = _read_head(latest, begun_bytes)
        return None


def holds_messages(content_type: str) -> bool:
    """Return whether a body of this type may be made of whole answers."""
    return content_type.strip().lower().startswith(_MESSAGE_TYPES)


def has_events(content_type: str) -> bool:
    """Return whether a body of this type is made of events."""
    declared = content_type.strip().lower().strip('"')
    return not declared or declared.startswith('text/event-stream')


def has_json(content_type: str) -> bool:
    """Return whether a body of this type is JSON.

    Its strings have no line ends, so that it quotes no head as it is sent.
    """
    declared = content_type.partition(';')[0].strip().lower()
    return declared == 'application/json' or declared.endswith('+json')


@functools.cache
def _text_pattern(id_field: str) -> re.Pattern[bytes]:
    """Return what matches a status line, the fields behind it and a mark."""
    id_name = rb'(?i:%s):' % re.escape(id_field.encode())
    mark = rb'%s(?P<id>[^\r\n]*+)\r\n' % id_name
    field = rb'(?!%s)%s:[^\r\n]*+\r\n' % (id_name, _NAME)
    return re.compile(
        rb'%s\r\n(?P<fields>(?:%s)*+)(?P<mark>%s)?+' % (_STATUS, field, mark)
    )


@functools.cache
def _structured_pattern(id_field: str) -> re.Pattern[bytes]:
    """Return what matches a status line, and as a mark a field behind it."""
    id_name = rb'(?i:%s):' % re.escape(id_field.encode())
    mark = rb'(?!%s)(?:%s(?P<id>[^\r\n]*+)|%s:[^\r\n]*+)\r?\n' % (
        _EVENT_NAMES,
        id_name,
        _NAME,
    )
    return re.compile(rb'%s\r?\n(?P<fields>)(?P<mark>%s)?+' % (_STATUS, mark))


def _find_unended(text: bytes, latest: re.Match[bytes] | None) -> int | None:
    """Return where a head begins that may go on behind the text.

    latest is the last status line in it with its fields.
    """
    end = 0
    if latest is not None:
        end = latest.end()
        if end == len(text) or _FIELD_PART.match(text, end):
            return latest.start()
    start = max(end, len(text) - _MAX_STATUS_LINE_BYTES)
    part = _STATUS_LINE_PART.search(text, start)
    return None if part is None else part.start()


def _begun_size(text: bytes) -> int:
    """Return how many bytes at the end of a text may begin a status line."""
    return next(
        (
            size
            for size in range(len(_START) - 1, 0, -1)
            if text.endswith(_START[:size])
        ),
        0,
    )


def _read_head(found: re.Match[bytes], begun_bytes: int) -> ForeignHead:
    return ForeignHead(
        max(found.start() - begun_bytes, 0),
        int(found['status']),
        (found['id'] or b'').strip().decode(errors='replace'),
    )
