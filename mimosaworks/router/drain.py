"""Counts running requests and ends a router without cutting any."""

import asyncio
import contextlib
from collections.abc import Generator

import attrs
from aiohttp import web

from mimosaworks.relay import Frontend


@attrs.define
class Drain:
    """Wraps the frontend; after start, answers close their connections."""

    frontend: Frontend
    is_draining: bool = False
    running: int = 0
    _is_idle: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Answer a request and count it while it runs."""
        with self._counted():
            resp = await self.frontend.handle(req)
        if self.is_draining:
            resp.force_close()
        return resp

    async def wait_idle(self, timeout_s: float) -> None:
        """Return when no request runs, or after timeout_s seconds."""
        while self.running:
            self._is_idle.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._is_idle.wait()
            except TimeoutError:
                return

    @contextlib.contextmanager
    def _counted(self) -> Generator[None]:
        self.running += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_one)
            yield

    def _end_one(self) -> None:
        self.running -= 1
        if self.running == 0:
            self._is_idle.set()
