"""Relays the answer of a target to the caller, and judges its end."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import ClientResponse, hdrs, web

from mimosaworks.body_framing import Framing
from mimosaworks.bounded_answers import Hold, read_held
from mimosaworks.deployment import RetryPolicy
from mimosaworks.dispatch import CallOutcome
from mimosaworks.event_stream import EventScanner
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.attempt_progress import AttemptProgress
from mimosaworks.node.call import Call
from mimosaworks.node.event_buffer import EventBuffer, PlainBuffer
from mimosaworks.node.event_ends import (
    is_event_stream,
    make_unfinished_error,
)
from mimosaworks.node.relay_peers import (
    read_target_framing,
    without_relay_field,
)
from mimosaworks.node.relayed_stream import RelayedStream
from mimosaworks.node.stream_place import StreamPlace
from mimosaworks.node.undeclared_events import UndeclaredEventBuffer
from mimosaworks.platform.headers import LAST_EVENT, answer_headers


async def relay_answer(
    call: Call,
    resp: ClientResponse,
    progress: AttemptProgress,
    hold: Hold,
    confirm_end: Callable[[], Awaitable[None]],
) -> web.StreamResponse:
    """Relay an answer to its end, and return what the caller gets.

    confirm_end is called before the caller is told of the end. Raises
    AttemptError, ClientError or OSError when the answer is incomplete.
    """
    if _is_streamed(call, resp):
        relayed_stream = call.relayed_stream or _start_relayed_stream(
            call, resp, is_resumable=call.route.is_resumable
        )
        await _relay_stream(call, relayed_stream, resp, progress, hold)
    else:
        body, is_complete = await read_held(resp, hold)
        _raise_for_retriable_failure(call, resp)
        if is_complete:
            _check_body_end(call, resp, body)
            await confirm_end()
            progress.record_first_bytes()
            return web.Response(
                status=resp.status,
                headers=answer_headers(without_relay_field(resp.headers)),
                body=body,
            )
        hold.let_go()
        progress.record_first_bytes()
        relayed_stream = await _relay_unbuffered_rest(call, resp, body)
    _check_stream_end(call, relayed_stream)
    await confirm_end()
    call.relayed_stream = relayed_stream
    await relayed_stream.finish(call.req)
    return relayed_stream.response


async def _relay_stream(
    call: Call,
    relayed_stream: RelayedStream,
    resp: ClientResponse,
    progress: AttemptProgress,
    hold: Hold,
) -> None:
    """Relay a run; raises ClientError if a stream can't end with it."""
    relayed_stream.buffer.begin_run()
    async for chunk in resp.content.iter_any():
        progress.record_bytes()
        progress.hooks.on_stream_bytes()
        if not call.is_answer_started:
            call.is_answer_started = True
            progress.record_first_bytes()
        released = relayed_stream.buffer.feed(chunk)
        hold.require(relayed_stream.buffer.held_bytes)
        if released:
            call.relayed_stream = relayed_stream
            progress.hooks.on_stream_begun()
            await relayed_stream.write_chunk(call.req, released)
    has_body = resp.method != hdrs.METH_HEAD
    framing = read_target_framing(resp, is_relayed=call.is_relayed)
    is_framed = framing is not Framing.CONNECTION or not has_body
    if not relayed_stream.buffer.may_end(is_framed=is_framed):
        raise make_unfinished_error(framing, 'without a new event')


async def _relay_unbuffered_rest(
    call: Call, resp: ClientResponse, buffered_body: bytes
) -> RelayedStream:
    """Relay a body that is too large to be buffered, in pieces.

    buffered_body is the part that was received before.
    """
    relayed_stream = _start_relayed_stream(call, resp, is_resumable=False)
    if not _has_events(call, resp):
        # The length of a stream could be complete though its last event is not.
        relayed_stream.response.content_length = resp.content_length
    call.relayed_stream = relayed_stream
    await relayed_stream.write_chunk(
        call.req, relayed_stream.buffer.feed(buffered_body)
    )
    async for chunk in resp.content.iter_any():
        await relayed_stream.write_chunk(
            call.req, relayed_stream.buffer.feed(chunk)
        )
    return relayed_stream


def _start_relayed_stream(
    call: Call, resp: ClientResponse, *, is_resumable: bool
) -> RelayedStream:
    headers = answer_headers(without_relay_field(resp.headers))
    response = web.StreamResponse(status=resp.status, headers=headers)
    if call.closes_connection:
        response.force_close()
    if _has_events(call, resp):
        place = StreamPlace(_asked_place(call))
        return RelayedStream(response, EventBuffer(is_resumable, place))
    if _is_streamed(call, resp):
        return RelayedStream(response, UndeclaredEventBuffer())
    return RelayedStream(response, PlainBuffer())


def _asked_place(call: Call) -> bytes:
    """Return the id behind which the caller asked to begin, empty without."""
    asked = call.req.headers.get(LAST_EVENT, '')
    return asked.encode(errors='surrogateescape')


def _raise_for_retriable_failure(call: Call, resp: ClientResponse) -> None:
    """Raise AttemptError for a failed status if a resend may succeed."""
    is_failure = resp.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if call.relayed_stream is not None or (is_failure and call.may_resend()):
        raise AttemptError(
            CallOutcome.FAILED, f'the target answered {resp.status}'
        )


def _is_streamed(call: Call, resp: ClientResponse) -> bool:
    """Return whether the answer is passed on as it arrives.

    A stream that has begun goes on with events only.
    """
    if call.route.retry_policy is not RetryPolicy.STREAM:
        return False
    is_begun = call.relayed_stream is not None
    return resp.status == HTTPStatus.OK and (
        not is_begun or _has_events(call, resp)
    )


def _has_events(call: Call, resp: ClientResponse) -> bool:
    """Return whether the body of a successful answer is made of events."""
    is_expected = call.route.retry_policy is RetryPolicy.STREAM
    return resp.ok and is_event_stream(resp, is_expected=is_expected)


def _check_body_end(call: Call, resp: ClientResponse, body: bytes) -> None:
    """Raise ClientError if a whole body ends inside an event."""
    if _has_events(call, resp):
        scanner = EventScanner()
        scanner.feed(body)
        if scanner.is_inside_event:
            raise make_unfinished_error(call.framing)


def _check_stream_end(call: Call, relayed_stream: RelayedStream) -> None:
    """Raise ClientError if a stream has ended inside an event."""
    if relayed_stream.buffer.is_inside_event:
        raise make_unfinished_error(call.framing)
