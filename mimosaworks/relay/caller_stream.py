"""The part of an answer stream that the caller has got so far."""

import json

import attrs
from aiohttp import ClientResponse, HttpVersion11, web

from mimosaworks.errors import RequestError
from mimosaworks.relay.answers import COLD_HEADER
from mimosaworks.relay.attempt_error import CallerGoneError
from mimosaworks.relay.headers import copy_answer_headers
from mimosaworks.relay.sse import EventCounter
from mimosaworks.serving import (
    REQUEST_ID_HEADER,
    error_fields,
    set_reset_on_close,
)


@attrs.define
class CallerStream:
    """A streamed answer to one caller, possibly from several targets.

    resp is None until the first target began to answer; is_ending is set once
    its end may have left. has_events is false for a plain body, which has no
    place for an error event.
    """

    req: web.Request
    request_id: str
    counter: EventCounter = attrs.field(factory=EventCounter)
    resp: web.StreamResponse | None = None
    is_ending: bool = False
    has_events: bool = True

    async def begin(
        self,
        upstream: ClientResponse,
        *,
        was_cold: bool,
        has_events: bool = True,
    ) -> None:
        """Send status and header fields unless they were sent before.

        was_cold tells the caller that a model or adapter had to be loaded. A
        body without events keeps its length.
        """
        self.has_events = has_events
        self.counter.begin_run()
        if self.resp is not None:
            return
        resp = web.StreamResponse(status=upstream.status)
        copy_answer_headers(upstream.headers, resp.headers)
        resp.headers[REQUEST_ID_HEADER] = self.request_id
        if was_cold:
            resp.headers[COLD_HEADER] = 'true'
        if not has_events:
            resp.content_length = upstream.content_length
        try:
            await resp.prepare(self.req)
        except ConnectionError as exc:
            raise CallerGoneError(self.request_id) from exc
        if self._ends_with_connection():
            # Until it is complete: the caller can't see an early end.
            set_reset_on_close(self.req.transport, is_on=True)
            resp.force_close()
        self.resp = resp

    async def write_events(self, chunk: bytes) -> None:
        """Pass whole events on; raise CallerGoneError on a hang-up."""
        await self.write(self.counter.feed(chunk))

    async def write(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        if self.resp is None or not chunk:
            return
        try:
            await self.resp.write(chunk)
        except ConnectionError as exc:
            raise CallerGoneError(self.request_id) from exc

    async def finish(self) -> web.StreamResponse:
        """End the answer and return it."""
        if self.resp is None:
            raise CallerGoneError(self.request_id)
        self.is_ending = True
        try:
            await self.resp.write_eof()
        except ConnectionError as exc:
            raise CallerGoneError(self.request_id) from exc
        if self._ends_with_connection():
            set_reset_on_close(self.req.transport, is_on=False)
        return self.resp

    async def finish_with_error(self, exc: RequestError) -> web.StreamResponse:
        """End a begun stream with an error event instead of the closing one.

        Behind an end and in a plain body the connection is closed: nothing may
        follow there.
        """
        if self.is_ending or not self.has_events:
            if self.req.transport is not None:
                self.req.transport.abort()
            raise CallerGoneError(self.request_id)
        fields = json.dumps(error_fields(exc, self.request_id))
        await self.write(f'event: error\ndata: {fields}\n\n'.encode())
        return await self.finish()

    def _ends_with_connection(self) -> bool:
        """Return whether the end of the answer is that of the connection."""
        return self.req.version < HttpVersion11
