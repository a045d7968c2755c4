"""Counts requests from first to last byte and ends a router by the clock."""

import asyncio
import contextlib
from collections.abc import Generator

import attrs
from aiohttp import hdrs, web

from mimosaworks.relay import Frontend

REST_TIMEOUT_S = 1.0


@attrs.define
class Drain:
    """Wraps the frontend; after start, answers close their connections.

    Once is_closed is set, new requests are refused: not run.
    """

    frontend: Frontend
    is_draining: bool = False
    is_closed: bool = False
    _running: dict[int, web.Request] = attrs.field(factory=dict)
    _is_idle: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def running(self) -> int:
        """The requests whose answers haven't left yet."""
        return len(self._running)

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Answer a request; it counts until its answer has left."""
        with self._counted(req):
            if self.is_closed:
                resp = self.frontend.refuse_at_stop()
            else:
                resp = await self.frontend.handle(req)
            with contextlib.suppress(ConnectionError):
                await resp.prepare(req)
                await resp.write_eof()
            if self.is_draining:
                await _read_rest(req)
        return resp

    async def on_prepare(
        self, _req: web.Request, resp: web.StreamResponse
    ) -> None:
        """Tell the caller of each answer, streams too, to connect elsewhere.

        A connection whose stream began before takes one more request.
        """
        if self.is_draining:
            resp.headers[hdrs.CONNECTION] = 'close'
            resp.force_close()

    async def wait_idle(self, until_s: float) -> None:
        """Return when no request runs, or at a time of the event loop."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                while self._running:
                    self._is_idle.clear()
                    await self._is_idle.wait()

    def abort(self) -> None:
        """Close the connections of all requests that still run."""
        for req in tuple(self._running.values()):
            if req.transport is not None:
                req.transport.abort()

    @contextlib.contextmanager
    def _counted(self, req: web.Request) -> Generator[None]:
        self._running[id(req)] = req
        try:
            yield
        finally:
            self._running.pop(id(req))
            if not self._running:
                self._is_idle.set()


async def _read_rest(req: web.Request) -> None:
    # A close with unread bytes would take the answer with it.
    with contextlib.suppress(
        TimeoutError, ConnectionError, web.RequestPayloadError
    ):
        async with asyncio.timeout(REST_TIMEOUT_S):
            while not req.content.at_eof():
                await req.content.readany()
