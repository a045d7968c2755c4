"""Connections that are kept for many requests, and what arrives on them."""

import array
import asyncio
import fcntl
import re
import select
import termios
from http import HTTPStatus
from typing import Any

from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mimosaworks.asked_ids import AskedIds
from mimosaworks.events import Event, log_event
from mimosaworks.unmixed_bodies import (
    ForeignAnswerError,
    UnmixedBodyHandler,
    log_dropped,
    peer_address,
)

_HEAD_END = re.compile(rb'\r?\n\r?\n')
_HEAD_END_PART = 3  # the longest part of it that is none itself


class KeptHandler(UnmixedBodyHandler):
    """Passes on the answers that belong to the request at hand.

    id_field is the header field with the id of a request, which answers
    repeat; empty where there is none. A connection on which anything else
    arrived is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, id_field: str) -> None:
        super().__init__(loop, id_field)
        self._asked = AskedIds()
        # The body of the answer at hand; None while that is awaited.
        self._body: StreamReader | None = EMPTY_PAYLOAD
        self._extra_body: StreamReader = EMPTY_PAYLOAD
        # The latest bytes of a head that has not ended.
        self._head_tail = b''

    def expect(self, request_id: str) -> None:
        """Wait for the answer to a request, which may have an id."""
        self._asked.begin(request_id)
        self._body = None
        self._head_tail = b''
        self.leave_body()

    def close_if_asked(self, request_id: str) -> None:
        """Close an idle connection that a request was sent on before."""
        if self._asked.has(request_id):
            self.close()

    def is_connected(self) -> bool:
        """Tell whether the connection can be used for a request."""
        if not super().is_connected():
            return False
        return not (self._is_idle() and self._has_unread())

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass an answer on, if it is the one that is awaited."""
        message, body = data
        if _is_interim(message.code):
            super().feed_data(data, size)
        elif self._body is None:
            self._judge(message, body)
        else:
            self._drop(message, body, 'the answer had come already')
            self._end()

    def data_received(self, data: bytes) -> None:
        """Read an answer; close the connection on bytes behind it."""
        if self._body is not None:
            self._read(data)
            return
        # Bytes behind an answer that are none must not take it along, and a
        # body is read once the head in front of it is known.
        text = self._head_tail + data
        start = len(self._head_tail)
        head_start = 0
        for found in _HEAD_END.finditer(text):
            if self._body is not None or self.exception() is not None:
                break
            self._read(text[start : found.end()])
            head_start = found.end()
            start = head_start
        tail_start = max(head_start, len(text) - _HEAD_END_PART)
        self._head_tail = text[tail_start:]
        if start < len(text) and self.exception() is None:
            self._read(text[start:])

    def _read(self, data: bytes) -> None:
        if data and self._is_idle():
            self._refuse(len(data))
            return
        UnmixedBodyHandler.data_received(self, data)
        if self._extra_body.exception() is None:
            self._extra_body.read_nowait()
        if self._is_idle() and self._has_part():
            self._refuse(0)

    def _judge(self, message: RawResponseMessage, body: StreamReader) -> None:
        sent = message.headers.get(self._id_field, '')
        if self._asked.is_own(sent):
            self._body = body
            self.watch_body(self._asked.now, message)
            UnmixedBodyHandler.feed_data(self, (message, body))
        elif self._asked.skip(sent):
            self._drop(message, body, 'it belongs to another request')
        else:
            self._drop(message, body, 'it may belong to another request')
            self._give_up()

    def _is_idle(self) -> bool:
        """Tell whether no request waits for bytes."""
        return self._body is not None and self._body.is_eof()

    def _has_part(self) -> bool:
        """Tell whether half of a head came behind the answer."""
        try:
            return self._parser is not None and bool(self._parser.feed_eof())
        except HttpProcessingError:
            return True

    def _has_unread(self) -> bool:
        """Tell whether bytes or an end have come and were not read yet."""
        size = _unread_bytes(self.transport)
        if size:
            self._refuse(size)
        return size is not None

    def _drop(
        self, message: RawResponseMessage, body: StreamReader, reason: str
    ) -> None:
        self.force_close()
        self._extra_body = body
        log_dropped(
            self.transport,
            self._asked.now,
            message.headers.get(self._id_field, ''),
            message.code,
            reason,
        )

    def _give_up(self) -> None:
        self._body = EMPTY_PAYLOAD
        self.set_exception(
            ForeignAnswerError('the answer may belong to another request')
        )
        self._end()

    def _refuse(self, size: int) -> None:
        log_event(
            Event.BYTES_DROPPED,
            address=peer_address(self.transport),
            request_id=self._asked.now,
            bytes=size,
        )
        self._end()

    def _end(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def _is_interim(status: int) -> bool:
    """Tell whether the answer to the same request follows."""
    return status < HTTPStatus.OK and status != HTTPStatus.SWITCHING_PROTOCOLS


def _unread_bytes(transport: asyncio.BaseTransport | None) -> int | None:
    """Return the bytes that have come, 0 at an end, None when nothing has."""
    sock = None if transport is None else transport.get_extra_info('socket')
    if sock is None:
        return None
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    if not poll.poll(0):
        return None
    size = array.array('i', (0,))
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, size)
    return size[0]
