"""The TCP proxy and its open links."""

import asyncio
from contextlib import ExitStack
from typing import Any

import attrs

from standins.faultproxy.faults import Faults
from standins.faultproxy.link import Link

CONTROLS = frozenset((
    'delay_s',
    'cut',
    'freeze',
    'drop_to_upstream',
    'drop_to_client',
    'drop_replies',
))


@attrs.define
class Proxy:
    """Accepts clients at one address and links each to the upstream."""

    address: tuple[str, int]
    upstream: tuple[str, int]
    faults: Faults = attrs.Factory(Faults)
    links: set[Link] = attrs.Factory(set)
    _server: asyncio.Server | None = None
    _is_open: bool = False
    _opening: asyncio.Lock = attrs.Factory(asyncio.Lock)

    async def open(self) -> None:
        """Listen, unless that is so already or close() is called meanwhile."""
        self._is_open = True
        async with self._opening:
            if self._server is None and self._is_open:
                self._server = await asyncio.start_server(
                    self.accept, *self.address
                )
            if not self._is_open:
                self.close()

    def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        self._is_open = False
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in tuple(self.links):
            link.abort()

    async def accept(
        self,
        client_reader: asyncio.StreamReader,
        client_writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one client until its link ends."""
        try:
            reader, writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            client_writer.transport.abort()
            return
        link = Link(self.faults, client_reader, client_writer, reader, writer)
        self.links.add(link)
        with ExitStack() as stack:
            stack.callback(self.links.discard, link)
            await link.run()

    async def control(self, ask: dict[str, Any]) -> None:
        """Change the faults by name."""
        for name, content in ask.items():
            setattr(self.faults, name, content)
        self.faults.notify()
        if self.faults.cut:
            self.close()
        else:
            await self.open()
