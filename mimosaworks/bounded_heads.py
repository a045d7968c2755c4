"""Bounds on the heads of requests, whatever the other side sends."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo  # noqa: PLC2701, WPS450

from mimosaworks.bounded_answers import HEAD_BYTES, HeldBytes, Hold

ALL_HEADS_BYTES = 16000000
_TOO_LARGE = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


def new_held_heads() -> HeldBytes:
    """Return the account of all heads that are incomplete or in a queue."""
    return HeldBytes(HEAD_BYTES, ALL_HEADS_BYTES)


class BoundedHeadHandler(web.RequestHandler):
    """Counts what arrives of the heads of a connection's requests.

    Requests that wait behind another one count as well. A head with more than
    HEAD_BYTES is refused, as is one for which there is no room in held_heads;
    nothing more is read from its connection.
    """

    def __init__(
        self, server: web.Server, held_heads: HeldBytes, **options: Any
    ) -> None:
        super().__init__(server, **options)
        # A connection that was paused goes on when its queue is empty.
        self._msg_queue_resume_size = 0
        self._make_request = server.request_factory
        self._request_factory = self._take_request
        self._hold = Hold(held_heads)
        self._partial = 0
        self._queued = 0
        self._body: StreamReader = EMPTY_PAYLOAD
        self._is_refused = False

    def data_received(self, data: bytes) -> None:
        """Read requests; refuse a head when too much of it has come."""
        if self._is_refused:
            return
        is_in_body = not self._body.is_eof() and not self._upgraded
        count = self._request_count
        super().data_received(data)
        if self._request_count > count:
            self._begin_body(len(data))
        elif not is_in_body:
            self._partial += len(data)
        if self._partial > HEAD_BYTES:
            self._refuse(_TOO_LARGE, f'the head exceeds {HEAD_BYTES} bytes')
        elif not self._hold.keep(min(self._partial + self._queued, HEAD_BYTES)):
            self._refuse(
                HTTPStatus.SERVICE_UNAVAILABLE, 'there is no room for the head'
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Let go what was held."""
        self._is_refused = True
        self._hold.let_go()
        super().connection_lost(exc)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, which may be an exception."""
        if isinstance(resp, web.HTTPException):
            # It refers to the frames that hold the request, and they to it.
            resp.__traceback__ = None
        return await super().finish_response(request, resp, start_time)

    def _begin_body(self, size: int) -> None:
        """Count a head that is complete, or was refused by the parser."""
        message, body = self._messages[-1]
        self._body = body
        if len(self._messages) > 1 or self._request_in_progress:
            self._queued += self._partial + size
        self._partial = 0
        if isinstance(message, RawRequestMessage):
            if self._queued > HEAD_BYTES and not self._buffer_paused:
                self._pause_reading_for_buffer()
            return
        self._is_refused = True
        # It refers to the frames that hold the bytes, and they to it.
        message.exc.__traceback__ = None
        if isinstance(message.exc, LineTooLong):
            self._messages[-1] = (
                _ErrInfo(_TOO_LARGE, message.exc, message.message),
                EMPTY_PAYLOAD,
            )

    def _take_request(self, *parts: Any) -> web.BaseRequest:
        if not self._messages:
            self._queued = 0
            self._hold.keep(min(self._partial, HEAD_BYTES))
        return self._make_request(*parts)

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        """Answer with an error behind the requests that wait; read no more."""
        self._is_refused = True
        self._hold.let_go()
        exc = HttpProcessingError(code=status, message=reason)
        self._messages.append((_ErrInfo(status, exc, reason), EMPTY_PAYLOAD))
        self._request_count += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class BoundedHeadServer(web.Server):
    """A web.Server whose connections bound the heads of their requests."""

    def __init__(
        self,
        handler: Callable[..., Any],
        held_heads: HeldBytes,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._held_heads = held_heads

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return BoundedHeadHandler(
            self, self._held_heads, loop=self._loop, **self._kwargs
        )


class BoundedAppRunner(web.AppRunner):
    """Runs an application behind a BoundedHeadServer.

    Servers with the same held_heads bound the heads of all their requests.
    Other options are those of aiohttp's server.
    """

    def __init__(
        self,
        app: web.Application,
        held_heads: HeldBytes | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._held_heads = held_heads or new_held_heads()

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedHeadServer(
            server.request_handler,
            self._held_heads,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
