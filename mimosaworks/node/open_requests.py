"""Tracks callers' requests from their heads to the end of their answers."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Generator

import attrs
from aiohttp import ClientError, web

from mimosaworks.node.call import Call

# Time to read the rest of a body after its answer was written.
BODY_LINGER_S = 10.0


@attrs.define(eq=False)
class OpenRequest:
    """A caller's request from its head to the end of its answer.

    call is None until the request was read and admitted. answer_timer is set
    while the request waits for an answer. is_answered: the caller gets an
    answer of a target; is_refused: it gets an error of this node;
    is_written: the complete answer was written. is_ended_by_node: the node
    ended it while it was at a target or had a part of its answer.
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
        """Raise TimeoutError when expire is called during the wait."""
        async with asyncio.timeout(None) as answer_timer:
            self.answer_timer = answer_timer
            yield

    async def write_answer(self, answer: web.StreamResponse) -> None:
        """Write the rest of the answer, then read the rest of the body."""
        self.answer_timer = None
        try:
            await answer.prepare(self.req)
            await answer.write_eof()
        except (ClientError, OSError) as exc:
            # The caller is disconnected; the server ends the handler.
            raise asyncio.CancelledError from exc
        self.is_written = True
        # Closing a connection with unread bytes resets it, and the caller may
        # lose the answer. Errors while reading the body do not matter.
        with contextlib.suppress(ClientError, OSError, web.RequestPayloadError):
            async with asyncio.timeout(BODY_LINGER_S):
                await self._read_body_rest()

    def expire(self) -> None:
        """End the wait for an answer now; the caller gets an error if possible.

        A request that has its answer is not affected.
        """
        if self.answer_timer is None or self.answer_timer.expired():
            return
        if self.call is not None:
            self.call.is_ended_by_node = True
            self.is_ended_by_node = bool(self.call.target)
        self.answer_timer.reschedule(asyncio.get_running_loop().time())

    def abort_connection(self) -> None:
        """Close the caller's connection at once."""
        self.is_ended_by_node = self.is_ended_by_node or not self.is_written
        if self.req.transport is not None:
            self.req.transport.abort()

    async def _read_body_rest(self) -> None:
        while not self.req.content.is_eof():
            await self.req.content.readany()


@attrs.define
class EndedRequestCounts:
    """Number of requests by how they ended.

    abandoned_count are those whose caller disconnected first;
    unread_connection_count are connections that were still open at the end
    because bytes were left on them.
    """

    answered_count: int = 0
    refused_count: int = 0
    abandoned_count: int = 0
    ended_by_node_count: int = 0
    unread_connection_count: int = 0

    def count_ended(self, request: OpenRequest) -> None:
        """Add a request that has ended."""
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
    """All open requests of this node, and counts of those that ended."""

    requests: set[OpenRequest] = attrs.field(factory=set)
    ended_counts: EndedRequestCounts = attrs.field(factory=EndedRequestCounts)

    @contextlib.contextmanager
    def track(self, req: web.BaseRequest) -> Generator[OpenRequest, None, None]:
        """Track a request until its answer is written, then count its end."""
        request = OpenRequest(req)
        self.requests.add(request)
        try:
            yield request
        finally:
            self.requests.discard(request)
            self.ended_counts.count_ended(request)

    def connections(self) -> set[web.RequestHandler]:
        """Return the connections of the open requests."""
        return {request.req.protocol for request in self.requests}

    def expire_all(self) -> None:
        """End all requests' waits for answers now."""
        for request in self.requests:
            request.expire()

    def abort_all(self) -> None:
        """Close the connections of all open requests at once."""
        for request in self.requests:
            request.abort_connection()
