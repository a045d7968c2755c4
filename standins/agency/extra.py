"""Bytes that a target sends behind its answers, unasked."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Generator
from http import HTTPStatus
from typing import Protocol

import attrs
from aiohttp import web

REQUEST_ID = 'X-Request-Id'
GARBAGE = b'\x00more bytes\r\n'
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen
class Extra:
    """What a target sends after_s behind each answer to a request.

    It comes in one piece with the answer when after_s is 0.

    kind is a copy with the id of the request (named) or without one (bare),
    a rejection without one (rejection) or with it (denial), or no answer at
    all (garbage).
    """

    kind: str
    after_s: float = 0

    def encode(self, request_id: str) -> bytes:
        """Return the bytes behind the answer to a request."""
        if self.kind == 'garbage':
            return GARBAGE
        body = f'copy for {request_id}'
        lines = ['HTTP/1.1 200 OK', 'X-Server-Seal: seal-copy']
        if self.kind in {'rejection', 'denial'}:
            lines = ['HTTP/1.1 503 Full', 'X-Not-Executed: 1']
        if self.kind in {'named', 'denial'}:
            lines.append(f'{REQUEST_ID}: {request_id}')
        lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', body)).encode()


class Sender(Protocol):
    """A target that may send more than its answers."""

    extra: Extra | None
    reject_twice_s: float


def reject_first(target: Sender, serve: Handler) -> Handler:
    """Return a handler that rejects the first send of each request twice.

    The copy of the rejection comes reject_twice_s later; none when that is 0.
    """
    seen: set[str] = set()

    async def answer(req: web.Request) -> web.StreamResponse:
        request_id = req.headers[REQUEST_ID]
        if not target.reject_twice_s or request_id in seen:
            return await serve(req)
        seen.add(request_id)
        await req.read()
        _send(Extra('denial', target.reject_twice_s), req)
        headers = {'X-Not-Executed': '1', REQUEST_ID: request_id}
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers
        )

    return answer


def send_extras(target: Sender, serve: Handler) -> Handler:
    """Return a handler that sends the target's extra bytes too."""

    async def answer(req: web.Request) -> web.StreamResponse:
        resp = await serve(req)
        if target.extra is not None:
            with _in_one_piece(req):
                await resp.prepare(req)
                await resp.write_eof()
                _send(target.extra, req)
        return resp

    return answer


@contextlib.contextmanager
def _in_one_piece(req: web.Request) -> Generator[None, None, None]:
    """Hold what is written back until all of it is."""
    transport = req.transport
    sock = None if transport is None else transport.get_extra_info('socket')
    if sock is None:
        yield
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
    yield
    if sock.fileno() >= 0:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)


def _send(extra: Extra, req: web.Request) -> None:
    transport = req.transport
    if transport is None:
        return
    sent = extra.encode(req.headers[REQUEST_ID])
    if extra.after_s:
        loop = asyncio.get_running_loop()
        loop.call_later(extra.after_s, transport.write, sent)
    else:
        transport.write(sent)
