"""Ends the requests that still run at the end of a planned stop."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import attrs

from mimosaworks.errors import ErrorKind, RequestError


@attrs.define(eq=False)
class Cutoff:
    """Shared by all requests of a router, whose program cuts them once."""

    is_over: bool = False
    _limits: set[asyncio.Timeout] = attrs.field(factory=set)

    @contextlib.asynccontextmanager
    async def limit(self) -> AsyncGenerator[None, None]:
        """Run a part of a request; raise RequestError STOPPING on the cut."""
        if self.is_over:
            raise _stopping()
        limit = asyncio.timeout(None)
        try:
            async with limit, self._kept(limit):
                yield
        except TimeoutError as exc:
            if limit.expired():
                raise _stopping() from exc
            raise

    def cut(self) -> None:
        """End what runs within a limit now, and all that comes later."""
        self.is_over = True
        for limit in tuple(self._limits):
            limit.reschedule(asyncio.get_running_loop().time())

    @contextlib.asynccontextmanager
    async def _kept(self, limit: asyncio.Timeout) -> AsyncGenerator[None, None]:
        self._limits.add(limit)
        try:
            yield
        finally:
            self._limits.discard(limit)


def _stopping() -> RequestError:
    return RequestError(ErrorKind.STOPPING, 'the router stops')
