"""One proxied connection."""

import asyncio
import socket
from collections.abc import Callable

import attrs

from standins.faultproxy.faults import Faults
from standins.resets import reset

CHUNK_BYTES = 65536
ESTABLISHED = 1  # the state of a connection that neither side has closed


def ignore(_chunk: bytes) -> None:
    """Do nothing."""


@attrs.define(eq=False)
class Link:
    """Copies bytes between a client and the upstream, with faults.

    is_used: the client has sent something. on_passed is called with the bytes
    that the client's socket has taken.
    """

    faults: Faults
    client_reader: asyncio.StreamReader
    client_writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    on_passed: Callable[[bytes], None] = ignore
    is_used: bool = False

    async def run(self) -> None:
        """Copy both directions until both have ended or one failed."""
        try:
            await asyncio.gather(self._copy_up(), self._copy_down())
        except (ConnectionError, TimeoutError):
            self.abort()
        finally:
            self.close()

    def close(self) -> None:
        """Close both connections behind the bytes that were copied."""
        self.writer.close()
        self.client_writer.close()

    def abort(self) -> None:
        """Reset both connections at once."""
        reset(self.writer.transport)
        reset(self.client_writer.transport)

    async def _copy_up(self) -> None:
        while chunk := await self.client_reader.read(CHUNK_BYTES):
            self.is_used = True
            await self._hold()
            if not self.faults.drop_to_upstream:
                self.writer.write(chunk)
                await self.writer.drain()
        await self._hold()
        self.writer.write_eof()

    async def _copy_down(self) -> None:
        is_cut = False
        while chunk := await self.reader.read(CHUNK_BYTES):
            await self._hold()
            if self.faults.drop_replies > 0:
                self.faults.drop_replies -= 1
                raise ConnectionAbortedError
            is_cut = is_cut or self.faults.drop_to_client
            if not self.faults.drop_to_client:
                await self._pass_down(chunk)
        await self._hold()
        if is_cut:
            # Its close would say that all bytes have come.
            raise ConnectionAbortedError
        # An upstream that has closed won't read: end the client's side too.
        self.client_writer.close()

    async def _pass_down(self, chunk: bytes) -> None:
        self.client_writer.write(chunk)
        if self._has_passed():
            self.on_passed(chunk)
        await self.client_writer.drain()

    def _has_passed(self) -> bool:
        """Return whether the client's socket has taken all bytes so far.

        The system knows at once of a client on the same machine that has
        closed its socket; the reader learns of it later.
        """
        transport = self.client_writer.transport
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        sock = transport.get_extra_info('socket')
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return bool(state[0] == ESTABLISHED)

    async def _hold(self) -> None:
        await self.faults.wait_while_frozen()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        await self.faults.wait_while_frozen()
