"""The TCP proxy and its open links."""

import asyncio
from collections.abc import Callable, Generator
from contextlib import ExitStack, contextmanager
from typing import Any

import attrs

from standins.faultproxy.faults import Faults
from standins.faultproxy.link import Link, ignore

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
    """Accepts clients at one address and links each to the upstream.

    on_passed is called with the bytes that clients got.
    """

    address: tuple[str, int]
    upstream: tuple[str, int]
    faults: Faults = attrs.Factory(Faults)
    links: set[Link] = attrs.Factory(set)
    on_passed: Callable[[bytes], None] = ignore
    _server: asyncio.Server | None = None
    _is_open: bool = False
    _holds: int = 0
    _opening: asyncio.Lock = attrs.Factory(asyncio.Lock)

    @property
    def is_held_down(self) -> bool:
        """Whether the upstream is down."""
        return self._holds > 0

    @contextmanager
    def hold_down(self) -> Generator[None, None, None]:
        """Refuse new connections until this closes, then open() may follow.

        Several may overlap; none ends the others.
        """
        self._holds += 1
        self.refuse()
        try:
            yield
        finally:
            self._holds -= 1

    async def open(self) -> None:
        """Listen, unless that is so already or close() is called meanwhile.

        While it is held down, this does nothing.
        """
        if self.is_held_down:
            return
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
        self.refuse()
        for link in tuple(self.links):
            link.abort()

    def close_unused(self) -> None:
        """Close the links over which no client has sent anything."""
        for link in tuple(self.links):
            if not link.is_used:
                link.close()

    def refuse(self) -> None:
        """Refuse new connections until it is opened again."""
        self._is_open = False
        if self._server is not None:
            self._server.close()
            self._server = None

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
        link = Link(
            self.faults,
            client_reader,
            client_writer,
            reader,
            writer,
            self._tell_passed,
        )
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

    def _tell_passed(self, chunk: bytes) -> None:
        # It may have been set after the link was opened.
        self.on_passed(chunk)
