"""Targets that answer with bytes that never end."""

import asyncio
import contextlib
import types

import attrs

from standins.addresses import reserve_address

CHUNK_BYTES = 65536
_HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Seal: endless\r\n'
_CHUNK = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
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
})


@attrs.define(eq=False)
class EndlessTarget:
    """Answers each request with one kind of endless bytes.

    sent_bytes counts what went to callers, closed the connections that they
    closed.
    """

    kind: str
    address: str = attrs.field(factory=reserve_address)
    sent_bytes: int = 0
    closed: int = 0

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen until the stack is closed."""
        host, _, port = self.address.rpartition(':')
        server = await asyncio.start_server(self._answer, host, int(port))
        stack.callback(server.close)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            with contextlib.suppress(ConnectionError):
                await self._send(writer)
            self.closed += 1
        writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        piece, more = ANSWERS[self.kind]
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)
            piece = more
