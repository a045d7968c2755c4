"""Connections that are kept for many requests, and what arrives on them."""

import asyncio
import collections
from http import HTTPStatus
from typing import Any

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mimosaworks.events import Event, log_event

MAX_EARLIER = 8  # requests whose late answers are known by their id


class KeptHandler(ResponseHandler):
    """Tells which answer belongs to the request at hand.

    id_field is the header field with the id of a request, which answers
    repeat; empty where there is none.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, id_field: str) -> None:
        super().__init__(loop)
        self._id_field = id_field
        self._asked = ''
        self._earlier: collections.deque[str] = collections.deque(
            maxlen=MAX_EARLIER
        )
        self._uses = 0
        # The body of the answer at hand; None while that is awaited.
        self._body: StreamReader | None = EMPTY_PAYLOAD

    def expect(self, request_id: str) -> None:
        """Wait for the answer to a request, which may have an id."""
        if self._asked:
            self._earlier.append(self._asked)
        self._asked = request_id
        self._uses += 1
        self._body = None

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass an answer on to who reads it."""
        message, body = data
        if _is_final(message.code):
            reason = self._foreign_reason(message)
            if reason:
                self._log_answer(message, reason)
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Note bytes that nothing was asked for."""
        if data and self._is_idle():
            self._log_bytes(len(data))
        super().data_received(data)

    def _is_idle(self) -> bool:
        """Tell whether no request waits for bytes."""
        return self._body is not None and self._body.is_eof()

    def _foreign_reason(self, message: RawResponseMessage) -> str:
        """Return why an answer may not be the one that is awaited."""
        sent = message.headers.get(self._id_field, '')
        if self._body is not None:
            return 'the answer had come already'
        if self._asked and not sent and self._uses > 1:
            return 'it has no id and may be left over'
        if sent in self._earlier or (
            sent and self._asked and sent != self._asked
        ):
            return 'it belongs to another request'
        return ''

    def _log_bytes(self, size: int) -> None:
        log_event(
            Event.BYTES_DROPPED,
            address=self._address(),
            request_id=self._asked,
            bytes=size,
        )

    def _log_answer(self, message: RawResponseMessage, reason: str) -> None:
        log_event(
            Event.ANSWER_DROPPED,
            address=self._address(),
            request_id=self._asked,
            sent=message.headers.get(self._id_field, ''),
            status=message.code,
            reason=reason,
        )

    def _address(self) -> str:
        transport = self.transport
        peer = (
            None if transport is None else transport.get_extra_info('peername')
        )
        return '' if peer is None else f'{peer[0]}:{peer[1]}'


def _is_final(status: int) -> bool:
    """Tell whether no other answer follows for the same request."""
    return status >= HTTPStatus.OK or status == HTTPStatus.SWITCHING_PROTOCOLS
