"""The part of an answer that its caller has."""

import attrs
from aiohttp import ClientError, HttpVersion11, web

from mimosaworks.node.attempt_error import CallerDisconnectedError
from mimosaworks.node.event_buffer import EventBuffer, PlainBuffer
from mimosaworks.node.undeclared_events import UndeclaredEventBuffer
from mimosaworks.serving import set_reset_on_close


@attrs.define(eq=False)
class RelayedStream:
    """An answer that is relayed to its caller in pieces.

    response keeps the head of the first target's answer when the stream is
    resumed at another target. buffer follows the body of the answer.
    """

    response: web.StreamResponse
    buffer: EventBuffer | PlainBuffer | UndeclaredEventBuffer
    is_complete: bool = False

    async def write_chunk(self, req: web.BaseRequest, chunk: bytes) -> None:
        """Send the head if it was not sent yet, then a chunk.

        Raises CallerDisconnectedError.
        """
        try:
            await self._prepare_and_write(req, chunk)
        except (ClientError, OSError) as exc:
            raise CallerDisconnectedError(repr(exc)) from exc

    async def finish(self, req: web.BaseRequest) -> None:
        """Send the buffered rest and end the answer.

        Raises CallerDisconnectedError.
        """
        await self.write_chunk(req, self.buffer.flush())
        try:
            await self.response.write_eof()
        except (ClientError, OSError) as exc:
            raise CallerDisconnectedError(repr(exc)) from exc
        if self._ends_with_connection(req):
            set_reset_on_close(req.transport, is_on=False)
        self.is_complete = True

    async def _prepare_and_write(
        self, req: web.BaseRequest, chunk: bytes
    ) -> None:
        if not self.response.prepared:
            await self.response.prepare(req)
            if self._ends_with_connection(req):
                # Until it is complete: the caller can't see an early end.
                set_reset_on_close(req.transport, is_on=True)
                self.response.force_close()
        if chunk:
            await self.response.write(chunk)

    def _ends_with_connection(self, req: web.BaseRequest) -> bool:
        """Return whether its end is that of the connection."""
        has_chunks = req.version >= HttpVersion11
        return not has_chunks and self.response.content_length is None
