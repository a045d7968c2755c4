"""Passes a target's stream of events on to a caller."""

import asyncio
import contextlib

from aiohttp import ClientError, ClientResponse

from mimosaworks.event_stream import EventCutter
from mimosaworks.relay.attempt_error import AttemptInDoubtError
from mimosaworks.relay.caller_stream import CallerStream
from mimosaworks.relay.upstream import STREAM_END_S, STREAM_IDLE_S


async def relay_tokens(stream: CallerStream, resp: ClientResponse) -> None:
    """Pass a model's stream on, up to its closing event.

    Raises AttemptInDoubtError when it ends before, and transport errors.
    """
    while not stream.counter.is_done:
        chunk = await _next_chunk(resp)
        if not chunk:
            raise AttemptInDoubtError('stream ended early')
        await stream.write_events(chunk)
    # The connection is kept if the end comes; the answer is whole without it.
    with contextlib.suppress(ClientError, OSError, TimeoutError):
        async with asyncio.timeout(STREAM_END_S):
            await resp.content.readany()


async def relay_events(stream: CallerStream, resp: ClientResponse) -> None:
    """Pass a service's stream on, which has no closing event.

    Raises AttemptInDoubtError when it ends inside an event, and transport
    errors.
    """
    cutter = EventCutter()
    chunk = await _next_chunk(resp)
    while chunk:
        await stream.write(cutter.feed(chunk))
        chunk = await _next_chunk(resp)
    if cutter.is_inside_event:
        raise AttemptInDoubtError('stream ended inside an event')
    await stream.write(cutter.take_rest())


async def _next_chunk(resp: ClientResponse) -> bytes:
    """Return some bytes of a stream, none at its end."""
    async with asyncio.timeout(STREAM_IDLE_S):
        return await resp.content.readany()
