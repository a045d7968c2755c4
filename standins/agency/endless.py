"""Targets that answer with bytes that never end."""

import asyncio
import contextlib
import re
import types
from collections import Counter
from collections.abc import Mapping

import attrs

from standins.addresses import reserve_address

CHUNK_BYTES = 65536
_LENGTH = re.compile(rb'Content-Length: (\d+)', re.IGNORECASE)
_HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Seal: endless\r\n'
_CHUNK = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
# A byte of a body with a long extension.
_LONG_CHUNK = b'1;%s\r\nx\r\n' % (b'y' * CHUNK_BYTES)
_EVENTS = b'Content-Type: text/event-stream\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# The first bytes of each kind of answer, and what follows again and again.
ANSWERS = types.MappingProxyType({
    'body': (b'%s\r\n' % _HEAD, b'x' * CHUNK_BYTES),
    'chunks': (b'%s%s' % (_HEAD, _CHUNKED), _CHUNK),
    'event': (b'%s%s%s' % (_HEAD, _EVENTS, _CHUNKED), _CHUNK),
    'interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 1000),
    'header': (_HEAD, b'X-More: and more\r\n' * 1000),
    'status': (b'HTTP/1.1 200 ', b'O' * CHUNK_BYTES),
    'extension': (b'%s%s5;' % (_HEAD, _CHUNKED), b'x' * CHUNK_BYTES),
    'extensions': (b'%s%s' % (_HEAD, _CHUNKED), _LONG_CHUNK),
    'zeros': (b'%s%s' % (_HEAD, _CHUNKED), b'0' * CHUNK_BYTES),
    'trailer': (b'%s%s0\r\n' % (_HEAD, _CHUNKED), b'X-More: and more\r\n'),
    'missing': (b'HTTP/1.1 404 Not Found\r\n%s' % _CHUNKED, _CHUNK),
    'length': (b'%sContent-Length: 99000000000\r\n\r\n' % _HEAD, _CHUNK),
})


@attrs.define(eq=False)
class EndlessTarget:
    """Answers each request with one kind of endless bytes.

    Requests for the paths in sound are answered with these bodies instead.
    sent_bytes counts what went to callers, closed the connections that they
    closed, asked the requests by their paths.
    """

    kind: str
    address: str = attrs.field(factory=reserve_address)
    sound: Mapping[str, bytes] = attrs.field(factory=dict)
    sent_bytes: int = 0
    closed: int = 0
    asked: Counter[str] = attrs.field(factory=Counter)

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen until the stack is closed."""
        host, _, port = self.address.rpartition(':')
        server = await asyncio.start_server(self._answer, host, int(port))
        stack.callback(server.close)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            body = await self._next_body(reader)
            while body is not None:
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                writer.write(head % len(body) + body)
                body = await self._next_body(reader)
            with contextlib.suppress(ConnectionError):
                await self._send(writer)
            self.closed += 1
        writer.transport.abort()

    async def _next_body(self, reader: asyncio.StreamReader) -> bytes | None:
        """Read a request; return the body of its answer, None without end."""
        head = await reader.readuntil(b'\r\n\r\n')
        size = _LENGTH.search(head)
        await reader.readexactly(int(size.group(1)) if size else 0)
        path = head.split()[1].decode()
        self.asked[path] += 1
        return self.sound.get(path)

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        piece, more = ANSWERS[self.kind]
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)
            piece = more
