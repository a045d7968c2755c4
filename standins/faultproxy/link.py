"""One proxied connection."""

import asyncio

import attrs

from standins.faultproxy.faults import Faults
from standins.resets import reset

CHUNK_BYTES = 65536


@attrs.define(eq=False)
class Link:
    """Copies bytes between a client and the upstream, with faults."""

    faults: Faults
    client_reader: asyncio.StreamReader
    client_writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def run(self) -> None:
        """Copy both directions until both have ended or one failed."""
        try:
            await asyncio.gather(self._copy_up(), self._copy_down())
        except (ConnectionError, TimeoutError):
            self.abort()
        finally:
            self.writer.close()
            self.client_writer.close()

    def abort(self) -> None:
        """Reset both connections at once."""
        reset(self.writer.transport)
        reset(self.client_writer.transport)

    async def _copy_up(self) -> None:
        while chunk := await self.client_reader.read(CHUNK_BYTES):
            await self._hold()
            if not self.faults.drop_to_upstream:
                self.writer.write(chunk)
                await self.writer.drain()
        await self._hold()
        self.writer.write_eof()

    async def _copy_down(self) -> None:
        while chunk := await self.reader.read(CHUNK_BYTES):
            await self._hold()
            if self.faults.drop_replies > 0:
                self.faults.drop_replies -= 1
                raise ConnectionAbortedError
            if not self.faults.drop_to_client:
                self.client_writer.write(chunk)
                await self.client_writer.drain()
        await self._hold()
        # An upstream that has closed won't read: end the client's side too.
        self.client_writer.close()

    async def _hold(self) -> None:
        await self.faults.wait_while_frozen()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        await self.faults.wait_while_frozen()
