"""Counts callers' requests from their heads to the ends of their answers."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Generator

import attrs
from aiohttp import ClientError, web

from mimosaworks.node.call import Call

BODY_LINGER_S = 10.0  # for the rest of a body whose answer is there already


@attrs.define(eq=False)
class OpenRequest:
    """A caller's request at this node; call is None until it was read.

    timer is there until it has an answer. is_answered and is_refused tell
    what its caller got, is_written that it got all of it, is_cut that the
    node ended it while it was at a target or had a part of its answer.
    """

    req: web.BaseRequest
    call: Call | None = None
    answer_timer: asyncio.Timeout | None = None
    is_answered: bool = False
    is_refused: bool = False
    is_written: bool = False
    is_ended_by_node: bool = False

    @contextlib.asynccontextmanager
    async def expirable_wait(self) -> AsyncGenerator[None, None]:
        """Raise TimeoutError when the node ends the wait for an answer."""
        async with asyncio.timeout(None) as answer_timer:
            self.answer_timer = answer_timer
            yield

    async def write_answer(self, answer: web.StreamResponse) -> None:
        """Write what is left of an answer, and read the rest of the body."""
        self.answer_timer = None
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
            async with asyncio.timeout(BODY_LINGER_S):
                await self._read_body_rest()

    def expire(self) -> None:
        """End the wait for an answer now; an error is the answer, if it can.

        A request that has its answer is left alone.
        """
        if self.answer_timer is None or self.answer_timer.expired():
            return
        if self.call is not None:
            self.call.is_ended_by_node = True
            self.is_ended_by_node = bool(self.call.target)
        self.answer_timer.reschedule(asyncio.get_running_loop().time())

    def abort_connection(self) -> None:
        """Close its connection at once."""
        self.is_ended_by_node = self.is_ended_by_node or not self.is_written
        if self.req.transport is not None:
            self.req.transport.abort()

    async def _read_body_rest(self) -> None:
        while not self.req.content.is_eof():
            await self.req.content.readany()


@attrs.define
class EndedRequestCounts:
    """How requests ended; unread counts connections with bytes left."""

    answered_count: int = 0
    refused_count: int = 0
    abandoned_count: int = 0
    ended_by_node_count: int = 0
    unread_connection_count: int = 0

    def count_ended(self, request: OpenRequest) -> None:
        """Count a request that has ended."""
        if request.is_ended_by_node:
            self.ended_by_node_count += 1
        elif request.is_refused:
            self.refused_count += 1
        elif request.is_answered:
            self.answered_count += 1
        else:
            self.abandoned_count += 1


@attrs.define(eq=False)
class OpenRequests:
    """All requests that are at this node, and how earlier ones ended."""

    requests: set[OpenRequest] = attrs.field(factory=set)
    ended_counts: EndedRequestCounts = attrs.field(factory=EndedRequestCounts)

    @contextlib.contextmanager
    def track(self, req: web.BaseRequest) -> Generator[OpenRequest, None, None]:
        """Count a request until its answer is written."""
        request = OpenRequest(req)
        self.requests.add(request)
        try:
            yield request
        finally:
            self.requests.discard(request)
            self.ended_counts.count_ended(request)

    def connections(self) -> set[web.RequestHandler]:
        """Return the connections of the requests."""
        return {request.req.protocol for request in self.requests}

    def expire_all(self) -> None:
        """End all waits for answers now."""
        for request in self.requests:
            request.expire()

    def abort_all(self) -> None:
        """Close the connections of all requests at once."""
        for request in self.requests:
            request.abort_connection()
