"""Sends a request to a target and passes the answer on."""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp import web
from yarl import URL

from mimosaworks.clock import now_s
from mimosaworks.deployment import Repeat
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.node.attempt_error import AttemptError, StreamCutError
from mimosaworks.node.call import Call
from mimosaworks.node.event_buffer import EventBuffer
from mimosaworks.platform.headers import (
    LAST_EVENT,
    REQUEST_ID,
    answer_headers,
    says_not_run,
    target_headers,
)

CONNECT_TIMEOUT_S = 0.5  # some round trips and a lost packet
_SKIPPED = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
_OK = 200
_FIRST_ERROR = 500


@attrs.define(eq=False)
class Exchange:
    """Talks to targets over kept connections; used by the front."""

    session: aiohttp.ClientSession

    async def send(
        self,
        call: Call,
        assignment: Assignment,
        on_first: Callable[[float], None],
    ) -> web.StreamResponse:
        """Send a request and pass the whole answer to its caller.

        on_first is called with the seconds until the first bytes. Raises
        AttemptError when nothing was passed on, StreamCutError when the
        answer broke off after that.
        """
        begun_s = now_s()
        resp = await self.open(call, assignment)
        async with resp:
            if call.route.repeat is Repeat.STREAM and resp.status == _OK:
                return await self._pass_stream(call, resp, on_first, begun_s)
            body = await _read_all(resp)
        on_first(now_s() - begun_s)
        if resp.status >= _FIRST_ERROR and call.may_resend():
            raise AttemptError(
                CallOutcome.FAILED,
                f'the target answered {resp.status}',
                is_not_run=False,
            )
        return web.Response(
            status=resp.status,
            headers=answer_headers(resp.headers),
            body=body,
        )

    async def open(
        self, call: Call, assignment: Assignment, last_event: str = ''
    ) -> aiohttp.ClientResponse:
        """Send a request and return the head of its answer.

        last_event is the id after which a stream goes on. Raises
        AttemptError for anything but the target's own answer.
        """
        headers = target_headers(
            call.req.headers,
            target=assignment.target,
            time_left_s=call.left_s(),
            workspace=call.workspace,
            priority=assignment.priority if call.facts.model else None,
        )
        if last_event:
            headers[LAST_EVENT] = last_event
        url = URL(f'http://{assignment.address}{call.req.raw_path}', encoded=True)
        try:
            resp = await self.session.request(
                call.req.method,
                url,
                data=call.body or None,
                headers=headers,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise AttemptError(
                CallOutcome.UNREACHABLE, repr(exc), is_not_run=True
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise AttemptError(
                CallOutcome.BROKEN, repr(exc), is_not_run=False
            ) from exc
        return _checked(call, resp)

    async def _pass_stream(
        self,
        call: Call,
        resp: aiohttp.ClientResponse,
        on_first: Callable[[float], None],
        begun_s: float,
    ) -> web.StreamResponse:
        out = web.StreamResponse(
            status=resp.status, headers=answer_headers(resp.headers)
        )
        buffer = EventBuffer()
        check_reset = _watch_reset(resp)
        try:
            async for chunk in resp.content.iter_any():
                if not call.is_started:
                    call.is_started = True
                    on_first(now_s() - begun_s)
                whole = buffer.feed(chunk) if call.route.is_resumable else chunk
                if whole:
                    await _pass(call, out, whole)
            check_reset()
        except (aiohttp.ClientError, OSError) as exc:
            if not out.prepared:
                raise AttemptError(
                    CallOutcome.BROKEN, repr(exc), is_not_run=False
                ) from exc
            raise StreamCutError(buffer.last_id) from exc
        await _pass(call, out, buffer.end())
        await out.write_eof()
        return out


async def _pass(call: Call, out: web.StreamResponse, chunk: bytes) -> None:
    if not out.prepared:
        await out.prepare(call.req)
    if chunk:
        await out.write(chunk)


def _checked(
    call: Call, resp: aiohttp.ClientResponse
) -> aiohttp.ClientResponse:
    problem = ''
    outcome = CallOutcome.BROKEN
    is_not_run = False
    if resp.headers.get(REQUEST_ID, call.request_id) != call.request_id:
        problem = 'the answer belongs to another request'
    elif says_not_run(resp.status, resp.headers):
        problem = f'the target did not run it: status {resp.status}'
        outcome = CallOutcome.REFUSED
        is_not_run = True
    elif 'Content-Encoding' in resp.headers:
        problem = 'the answer is encoded'
    if problem:
        if is_not_run:
            resp.release()
        else:
            resp.close()
        raise AttemptError(outcome, problem, is_not_run=is_not_run)
    return resp


def _watch_reset(resp: aiohttp.ClientResponse) -> Callable[[], None]:
    """Return a check that raises when the connection was reset.

    A body without a length ends with its connection; aiohttp takes a reset
    for such an end.
    """
    conn = resp.connection
    protocol = None if conn is None else conn.protocol

    def check() -> None:
        exc = None if protocol is None else protocol.exception()
        if isinstance(exc, OSError):
            raise aiohttp.ClientPayloadError(f'reset: {exc!r}') from exc

    return check


async def _read_all(resp: aiohttp.ClientResponse) -> bytes:
    check_reset = _watch_reset(resp)
    try:
        body = await resp.read()
        check_reset()
    except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as exc:
        raise AttemptError(
            CallOutcome.BROKEN, repr(exc), is_not_run=False
        ) from exc
    return body
