"""Counts callers' requests from their heads to the ends of their answers."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Generator

import attrs
from aiohttp import ClientError, web

from mimosaworks.node.call import Call

LINGER_S = 10.0  # for the rest of a body whose answer is there already


@attrs.define(eq=False)
class Stay:
    """A caller's request at this node; call is None until it was read.

    timer is there until it has an answer. is_answered and is_refused tell
    what its caller got, is_written that it got all of it, is_cut that the
    node ended it while it was at a target or had a part of its answer.
    """

    req: web.BaseRequest
    call: Call | None = None
    timer: asyncio.Timeout | None = None
    is_answered: bool = False
    is_refused: bool = False
    is_written: bool = False
    is_cut: bool = False

    @contextlib.asynccontextmanager
    async def bound(self) -> AsyncGenerator[None, None]:
        """Raise TimeoutError when the node ends the wait for an answer."""
        async with asyncio.timeout(None) as timer:
            self.timer = timer
            yield

    async def write(self, answer: web.StreamResponse) -> None:
        """Write what is left of an answer, and read the rest of the body."""
        self.timer = None
        try:
            await answer.prepare(self.req)
            await answer.write_eof()
        except (ClientError, OSError) as exc:
            # There is nobody to answer; the server ends the handler.
            raise asyncio.CancelledError from exc
        self.is_written = True
        # Closing a connection with unread bytes resets it, with the answer.
        # What comes of the body does not matter.
        with contextlib.suppress(ClientError, OSError, web.RequestPayloadError):
            async with asyncio.timeout(LINGER_S):
                await self._read_rest()

    def expire(self) -> None:
        """End the wait for an answer now; an error is the answer, if it can.

        A request that has its answer is left alone.
        """
        if self.timer is None or self.timer.expired():
            return
        if self.call is not None:
            self.call.is_cut = True
            self.is_cut = bool(self.call.target)
        self.timer.reschedule(asyncio.get_running_loop().time())

    def abort(self) -> None:
        """Close its connection at once."""
        self.is_cut = self.is_cut or not self.is_written
        if self.req.transport is not None:
            self.req.transport.abort()

    async def _read_rest(self) -> None:
        while not self.req.content.is_eof():
            await self.req.content.readany()


@attrs.define
class Tally:
    """How requests ended; unread counts connections with bytes left."""

    answered: int = 0
    refused: int = 0
    left: int = 0
    cut: int = 0
    unread: int = 0

    def count(self, stay: Stay) -> None:
        """Count a request that has ended."""
        if stay.is_cut:
            self.cut += 1
        elif stay.is_refused:
            self.refused += 1
        elif stay.is_answered:
            self.answered += 1
        else:
            self.left += 1


@attrs.define(eq=False)
class Stays:
    """All requests that are at this node, and how earlier ones ended."""

    taken: set[Stay] = attrs.field(factory=set)
    ended: Tally = attrs.field(factory=Tally)

    @contextlib.contextmanager
    def count(self, req: web.BaseRequest) -> Generator[Stay, None, None]:
        """Count a request until its answer is written."""
        stay = Stay(req)
        self.taken.add(stay)
        try:
            yield stay
        finally:
            self.taken.discard(stay)
            self.ended.count(stay)

    def conns(self) -> set[web.RequestHandler]:
        """Return the connections of the requests."""
        return {stay.req.protocol for stay in self.taken}

    def expire(self) -> None:
        """End all waits for answers now."""
        for stay in self.taken:
            stay.expire()

    def abort(self) -> None:
        """Close the connections of all requests at once."""
        for stay in self.taken:
            stay.abort()
