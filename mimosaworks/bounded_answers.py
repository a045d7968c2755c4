"""Bounds on the bytes of one answer, whatever the other side sends."""

import asyncio
import contextlib
import functools
from collections.abc import Generator
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.http_exceptions import HttpProcessingError

from mimosaworks.events import Event, log_event
from mimosaworks.kept_connections import KeptHandler

KB = 1000
MB = 1000000
ANSWER_MB = 64
HELD_KB = 1000
ALL_HELD_MB = 48
REPORT_BYTES = 1000000  # all models and runs of a target
HEAD_BYTES = 262144  # a head with some fields of the longest allowed size
# Of an answer's bytes that are no body, or of which a slow reader has not taken
# the body yet.
FRAMING_BYTES = 1000000
FRAMING_RATIO = 16  # a chunk of one byte has a line of five bytes at least


@attrs.frozen
class AnswerBounds:
    """How many bytes an answer of a target may have, and how many are held.

    held_bytes are of one answer, all_held_bytes of all at once. A larger
    body is passed on in pieces; an event must be held until it ends.
    """

    answer_bytes: int = ANSWER_MB * MB
    held_bytes: int = HELD_KB * KB
    all_held_bytes: int = ALL_HELD_MB * MB


class OversizedError(aiohttp.ClientPayloadError):
    """An answer has more bytes than it may; its connection is closed."""

    def __init__(self, size: int, most: int) -> None:
        super().__init__(f'{size} bytes of an answer, {most} are allowed')
        self.size = size
        self.most = most


def log_cut(target: str, exc: OversizedError) -> None:
    """Tell that an answer was cut; target is who sent it."""
    log_event(Event.ANSWER_CUT, target=target, bytes=exc.size, allowed=exc.most)


async def read_bounded(resp: aiohttp.ClientResponse, most: int) -> bytes:
    """Return a whole body of at most so many bytes.

    Raises OversizedError, once the connection is closed, and ClientError.
    """
    chunks: list[bytes] = []
    size = 0
    with contextlib.ExitStack() as stack:
        # An exception refers to this frame until it is collected.
        stack.callback(chunks.clear)
        async for chunk in resp.content.iter_any():
            size += len(chunk)
            if size > most:
                resp.close()
                raise OversizedError(size, most)
            chunks.append(chunk)
        return b''.join(chunks)


async def read_held(
    resp: aiohttp.ClientResponse, hold: 'Hold'
) -> tuple[bytes, bool]:
    """Return a body and true, or false if there is no room to hold it.

    Then the bytes that were received so far are returned.
    """
    chunks: list[bytes] = []
    size = 0
    with contextlib.ExitStack() as stack:
        # As in read_bounded.
        stack.callback(chunks.clear)
        async for chunk in resp.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            if not hold.keep(size):
                return b''.join(chunks), False
        return b''.join(chunks), True


class _BoundedHandler(KeptHandler):
    """Counts what arrives for one answer, before it is parsed and after.

    Interim answers, long heads and framing count as well as the body.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, answer_bytes: int, id_field: str
    ) -> None:
        super().__init__(loop, id_field)
        self._answer_bytes = answer_bytes
        self._most = HEAD_BYTES
        self._size = 0
        # More than one where late answers to earlier requests are skipped.
        self._bodies: list[aiohttp.StreamReader] = []

    def set_response_params(self, **options: Any) -> None:
        """Begin to count for the next answer."""
        self._most = HEAD_BYTES
        self._size = 0
        self._bodies = []
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Allow a body behind a head; leave out interim ones.

        Nobody waits for those, and each would be held as it is parsed.
        """
        message, body = data
        if message.code >= HTTPStatus.OK:
            self._most = self._answer_bytes
            self._bodies.append(body)
        elif message.code != HTTPStatus.SWITCHING_PROTOCOLS:
            return
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Close the connection when too much has come."""
        self._size += len(data)
        super().data_received(data)
        body = self._payload
        exc = self._find_excess()
        if exc is not None:
            self.set_exception(exc)
            self._cut(body, exc)
        elif isinstance(self.exception(), HttpProcessingError):
            # The base tells those who wait for a head, not for the body.
            rest = None if body is None or body.is_eof() else body
            self._cut(rest, aiohttp.ClientPayloadError(f'{self.exception()!r}'))

    def _find_excess(self) -> OversizedError | None:
        """Return what to tell if too much has come, in all or as framing."""
        if self._size > HEAD_BYTES and self._size > self._most:
            return OversizedError(self._size, self._most)
        body_bytes = sum(body.total_bytes for body in self._bodies)
        framing = self._size - body_bytes
        most = FRAMING_BYTES + FRAMING_RATIO * body_bytes
        return OversizedError(framing, most) if framing > most else None

    def _cut(
        self, body: aiohttp.StreamReader | None, exc: aiohttp.ClientError
    ) -> None:
        if body is not None:
            body.set_exception(exc)
        # The end of the connection would replace the reason.
        self._payload = None
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connects like its base; answers have at most answer_bytes bytes.

    id_field is the header field with a request's id, which its answer
    repeats; empty where answers have none.
    """

    def __init__(
        self, answer_bytes: int, id_field: str = '', **options: Any
    ) -> None:
        super().__init__(**options)
        self._id_field = id_field
        # The base has no parameter for the protocol of its connections.
        self._factory = functools.partial(  # type: ignore[assignment]
            _BoundedHandler, self._loop, answer_bytes, id_field
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection that expects the answer to a request."""
        request_id = req.headers.get(self._id_field, '')
        if request_id:
            self._leave_out(req.connection_key, request_id)
        conn = await super().connect(req, traces, timeout)
        if isinstance(conn.protocol, KeptHandler):
            conn.protocol.expect(request_id)
        return conn

    def _leave_out(self, key: ConnectionKey, request_id: str) -> None:
        """Close connections whose late answers would have the same id."""
        for handler, _ in self._conns.get(key, ()):
            if isinstance(handler, KeptHandler):
                handler.close_if_asked(request_id)


@attrs.define(eq=False)
class HeldBytes:
    """The bytes of answers that a process holds at once.

    one_bytes bounds those of one answer, all_bytes those of all.
    """

    one_bytes: int
    all_bytes: int
    held: int = 0

    @contextlib.contextmanager
    def hold(self) -> 'Generator[Hold, None, None]':
        """Return the part of one answer, which is let go in the end."""
        part = Hold(self)
        try:
            yield part
        finally:
            part.let_go()


@attrs.define(eq=False)
class Hold:
    """What is held of one answer."""

    books: HeldBytes
    size: int = 0

    def keep(self, size: int) -> bool:
        """Hold this many bytes from now on, if there is room for them."""
        held = self.books.held - self.size + size
        if size > self.books.one_bytes or held > self.books.all_bytes:
            return False
        self.books.held = held
        self.size = size
        return True

    def require(self, size: int) -> None:
        """Hold this many bytes; raises OversizedError without room."""
        if not self.keep(size):
            raise OversizedError(size, self.books.one_bytes)

    def let_go(self) -> None:
        """Hold nothing more."""
        self.keep(0)
