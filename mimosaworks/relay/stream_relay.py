"""Passes a target's stream of events on to a caller."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from aiohttp import ClientError, ClientResponse

from mimosaworks.body_framing import ends_with_connection
from mimosaworks.event_stream import EventCutter
from mimosaworks.relay.answer_body import AnswerBody
from mimosaworks.relay.attempt_error import AttemptInDoubtError
from mimosaworks.relay.caller_stream import CallerStream
from mimosaworks.relay.upstream import STREAM_END_S, STREAM_IDLE_S


async def relay_tokens(stream: CallerStream, body: AnswerBody) -> None:
    """Pass a model's stream on, up to its closing event.

    Raises AttemptInDoubtError when it ends before, OversizedError at an event
    that is too large to be held, and other transport errors.
    """
    while not stream.counter.is_done:
        chunk = await _next_chunk(body.resp)
        if not chunk:
            raise AttemptInDoubtError('stream ended early')
        await stream.write_events(chunk)
        body.hold.require(stream.counter.held)
    # The connection is kept if the end comes; the answer is whole without it.
    with contextlib.suppress(ClientError, OSError, TimeoutError):
        async with asyncio.timeout(STREAM_END_S):
            await body.resp.content.readany()


async def relay_events(
    stream: CallerStream,
    body: AnswerBody,
    confirm_end: Callable[[], Awaitable[None]],
) -> None:
    """Pass a service's stream on, which has no closing event.

    confirm_end is called before the caller is told of the end. Raises what it
    raises, AttemptInDoubtError when the stream ends inside an event, or by the
    end of its connection alone without an event, OversizedError at an event
    that is too large to be held, and other transport errors.
    """
    cutter = EventCutter()
    chunk = await _next_chunk(body.resp)
    while chunk:
        await stream.write(cutter.feed(chunk))
        body.hold.require(cutter.held)
        chunk = await _next_chunk(body.resp)
    if cutter.is_inside_event:
        raise AttemptInDoubtError('stream ended inside an event')
    if ends_with_connection(body.resp) and not cutter.has_passed_event:
        raise AttemptInDoubtError('stream was closed without an event')
    await confirm_end()
    await stream.write(cutter.take_rest())


async def relay_pieces(
    stream: CallerStream,
    body: AnswerBody,
    confirm_end: Callable[[], Awaitable[None]],
) -> None:
    """Pass a plain body on that there is no room to hold.

    confirm_end is called before the caller is told of the end. Raises what it
    raises, and transport errors.
    """
    await stream.write(body.take_part())
    body.hold.let_go()
    async for chunk in body.resp.content.iter_any():
        await stream.write(chunk)
    await confirm_end()


async def _next_chunk(resp: ClientResponse) -> bytes:
    """Return some bytes of a stream, none at its end."""
    async with asyncio.timeout(STREAM_IDLE_S):
        return await resp.content.readany()
