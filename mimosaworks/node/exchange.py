"""Sends a request to a target and passes the answer on."""

from collections.abc import Callable
from http import HTTPStatus

import attrs
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ConnectionTimeoutError,
    web,
)
from yarl import URL

from mimosaworks.bounded_answers import (
    HeldBytes,
    Hold,
    OversizedError,
    log_cut,
)
from mimosaworks.clock import now_s
from mimosaworks.deployment import Repeat
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.events import Event, log_event
from mimosaworks.kept_connections import ForeignAnswerError
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.call import Call, PassedStream
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.platform.headers import (
    LAST_EVENT,
    RETRY_AFTER,
    answer_headers,
    read_pause_s,
    says_leaving,
    says_not_run,
    target_headers,
)
from mimosaworks.send_guard import SendGuard

CONNECT_TIMEOUT_S = 0.5  # some round trips and a lost packet
_SKIPPED = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
OnFirst = Callable[[float], None]
CheckGrant = Callable[[Assignment], None]


@attrs.define(eq=False)
class Exchange:
    """Talks to targets over kept connections; used by the front.

    notices and limits take what targets say of further requests.
    """

    session: ClientSession
    notices: TargetNotices
    limits: LimitView
    held: HeldBytes

    async def send(
        self,
        call: Call,
        assignment: Assignment,
        check: CheckGrant,
        on_first: OnFirst,
    ) -> web.StreamResponse:
        """Send a request and pass the whole answer to its caller.

        A stream of which the caller has a part goes on behind it. check is
        called right before the first byte leaves; on_first with the seconds
        until the first bytes of the answer. Raises AttemptError when the
        answer is not whole, and what check raises.
        """
        begun_s = now_s()

        def told() -> None:
            on_first(now_s() - begun_s)

        guard = SendGuard(lambda: check(assignment))
        resp = await self._open(call, assignment, guard)
        with self.held.hold() as hold:
            async with resp:
                try:
                    return await _pass_on(call, resp, told, hold)
                except (ClientError, OSError) as exc:
                    raise _failed(exc, assignment.target) from exc

    async def _open(
        self, call: Call, assignment: Assignment, guard: SendGuard
    ) -> ClientResponse:
        headers = target_headers(
            call.req.headers,
            target=assignment.target,
            time_left_s=call.left_s(),
            workspace=call.workspace,
            priority=assignment.priority if call.facts.model else None,
        )
        if call.passed is not None:
            headers[LAST_EVENT] = call.passed.buffer.last_id
        path = call.req.raw_path
        url = URL(f'http://{assignment.address}{path}', encoded=True)
        try:
            resp = await self.session.request(
                call.req.method,
                url,
                data=call.body or None,
                headers=headers,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
                trace_request_ctx=guard,
            )
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            raise AttemptError(
                CallOutcome.UNREACHABLE, repr(exc), is_not_run=True
            ) from exc
        except (ClientError, OSError) as exc:
            raise _failed(exc, assignment.target) from exc
        self._note_head(call, assignment.target, resp)
        _check_head(resp)
        return resp

    def _note_head(self, call: Call, target: str, resp: ClientResponse) -> None:
        """Note whether the target wants further requests."""
        if says_leaving(resp.headers):
            self.notices.note_leaving(target)
        self.limits.read_head(call, resp, now_s())
        try:
            pause_s = read_pause_s(resp.status, resp.headers)
        except ValueError as exc:
            sent = resp.headers.get(RETRY_AFTER)
            log_event(
                Event.PAUSE_IGNORED, target=target, sent=sent, reason=str(exc)
            )
            return
        if pause_s:
            self.notices.note_pause(target, pause_s, now_s())


async def _pass_on(
    call: Call, resp: ClientResponse, told: Callable[[], None], hold: Hold
) -> web.StreamResponse:
    """Pass an answer on; raises ClientError or OSError when it breaks off.

    told is called with the first bytes.
    """
    check_reset = _watch_reset(resp)
    if call.route.repeat is Repeat.STREAM and resp.status == HTTPStatus.OK:
        passed = call.passed or _begin_answer(call, resp)
        await _pass_stream(call, passed, resp, told, hold)
    else:
        body, is_whole = await _hold_body(resp, hold)
        _check_status(call, resp)
        if is_whole:
            check_reset()
            told()
            return web.Response(
                status=resp.status,
                headers=answer_headers(resp.headers),
                body=body,
            )
        hold.let_go()
        told()
        passed = await _pass_rest(call, resp, body)
    check_reset()
    call.passed = passed
    await passed.end(call.req)
    return passed.out


async def _pass_stream(
    call: Call,
    passed: PassedStream,
    resp: ClientResponse,
    told: Callable[[], None],
    hold: Hold,
) -> None:
    try:
        async for chunk in resp.content.iter_any():
            if not call.is_started:
                call.is_started = True
                told()
            await _pass_chunk(call, passed, chunk, hold)
    except (ClientError, OSError):
        passed.buffer.drop()
        raise


async def _pass_chunk(
    call: Call, passed: PassedStream, chunk: bytes, hold: Hold
) -> None:
    if call.route.is_resumable:
        # The caller gets whole events, so that another target can go on.
        chunk = passed.buffer.feed(chunk)
        if not hold.keep(passed.buffer.held):
            raise OversizedError(passed.buffer.held, hold.books.one_bytes)
    if chunk:
        call.passed = passed
        await passed.write(call.req, chunk)


async def _hold_body(resp: ClientResponse, hold: Hold) -> tuple[bytes, bool]:
    """Return a body, or what came of it until it could not be held."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in resp.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if not hold.keep(size):
            return b''.join(chunks), False
    return b''.join(chunks), True


async def _pass_rest(
    call: Call, resp: ClientResponse, body: bytes
) -> PassedStream:
    """Pass on a body that is too large to be held, in pieces."""
    passed = _begin_answer(call, resp)
    passed.out.content_length = resp.content_length
    call.passed = passed
    await passed.write(call.req, body)
    async for chunk in resp.content.iter_any():
        await passed.write(call.req, chunk)
    return passed


def _begin_answer(call: Call, resp: ClientResponse) -> PassedStream:
    headers = answer_headers(resp.headers)
    out = web.StreamResponse(status=resp.status, headers=headers)
    if call.ends_conn:
        out.force_close()
    return PassedStream(out)


def _check_status(call: Call, resp: ClientResponse) -> None:
    """Raise AttemptError for a failure after which another try may help."""
    is_failure = resp.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if call.passed is not None or (is_failure and call.may_resend()):
        raise AttemptError(
            CallOutcome.FAILED, f'the target answered {resp.status}'
        )


def _failed(exc: ClientError | OSError, target: str) -> AttemptError:
    """Return how a send failed whose answer broke off."""
    if isinstance(exc, OversizedError):
        log_cut(target, exc)
        return AttemptError(CallOutcome.OVERSIZED, str(exc))
    if isinstance(exc, (ForeignAnswerError, ClientResponseError)):
        # What came is no answer of the target's: it says nothing of its end.
        return AttemptError(CallOutcome.FAILED, str(exc))
    return AttemptError(CallOutcome.BROKEN, repr(exc))


def _check_head(resp: ClientResponse) -> None:
    if says_not_run(resp.status, resp.headers):
        resp.release()
        raise AttemptError(
            CallOutcome.REFUSED,
            f'the target did not run it: status {resp.status}',
            is_not_run=True,
        )
    if 'Content-Encoding' in resp.headers:
        resp.close()
        raise AttemptError(CallOutcome.BROKEN, 'the answer is encoded')


def _watch_reset(resp: ClientResponse) -> Callable[[], None]:
    """Return a check that raises when the connection was reset.

    A body without a length ends with its connection; aiohttp takes a reset
    for such an end.
    """
    conn = resp.connection
    protocol = None if conn is None else conn.protocol

    def check() -> None:
        exc = None if protocol is None else protocol.exception()
        if isinstance(exc, OSError):
            raise ClientPayloadError(f'reset: {exc!r}') from exc

    return check
