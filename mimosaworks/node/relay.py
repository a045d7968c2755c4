"""Sends requests to targets for nodes that have no path to them."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Generator, Mapping
from http import HTTPStatus

import attrs
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ConnectionTimeoutError,
    web,
)
from yarl import URL

from mimosaworks.body_framing import ends_with_connection, has_other_coding
from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.dispatch import CallOutcome
from mimosaworks.errors import RequestError
from mimosaworks.events import Event, log_event
from mimosaworks.node.attempt_error import AttemptError, CallerDisconnectedError
from mimosaworks.node.end_judge import EndJudge, EndProof, SentRequest
from mimosaworks.node.held_bodies import (
    BodyHold,
    HeldBodies,
    read_request_body,
)
from mimosaworks.node.relay_peers import (
    ANSWERED,
    REFUSED,
    RELAY_PREFIX,
    RELAY_TO,
    RELAYED,
    UNREACHED,
    mark_answered,
)
from mimosaworks.node.sliced_body import sent_body
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.node.target_paths import TargetPaths
from mimosaworks.node.witnesses import WatchedAnswer
from mimosaworks.platform.headers import (
    EXPECTED_TARGET,
    NOT_RUN,
    REQUEST_ID,
    answer_headers,
    read_time_left_s,
)
from mimosaworks.send_guard import SendGuard

MAX_BODY_BYTES = 1 << 24  # 16 MiB
MAX_ROOM_WAIT_S = 1.0
_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
_OWN_HEADERS = frozenset((
    'connection',
    'content-length',
    'host',
    'transfer-encoding',
    RELAY_TO.lower(),
))


@attrs.define(eq=False)
class Relay:
    """Sends a peer's request to the target that the peer names, and no further.

    paths tells whether this node reaches targets, find_targets returns those
    that are known, stop_remaining_s the seconds until a node that stops ends
    its requests. The sender has checked all that it
    knows; the relay checks the target once more, right before the first byte.
    A request that it has not sent is answered so, with REFUSED or UNREACHED;
    an answer that is incomplete ends with its connection. end_judge judges the
    ends of those without framing. held_bodies bounds the bytes of requests,
    also those of callers. running is the number of requests that are relayed
    now.
    """

    paths: TargetPaths
    session: ClientSession
    target_notices: TargetNotices
    find_targets: Callable[[], Mapping[str, TargetEntry]]
    stop_remaining_s: Callable[[], float | None]
    held_bodies: HeldBodies
    end_judge: EndJudge = attrs.field(factory=EndJudge)
    running: int = 0

    async def handle_request(self, req: web.Request) -> web.StreamResponse:
        """Relay one request of a peer."""
        received_s = now_s()
        with self._count_running(), self.held_bodies.hold() as hold:
            try:
                body = await _read_body(req, hold)
                return await self._forward(req, body, received_s)
            except AttemptError as exc:
                return _not_sent(req, REFUSED, exc.reason)
            except (ClientConnectorError, ConnectionTimeoutError) as exc:
                return _not_sent(req, UNREACHED, repr(exc))
            except (ClientError, OSError) as exc:
                # The target may have run it, so that there is no answer.
                _log_relayed(req, 'broken', repr(exc))
                if req.transport is not None:
                    req.transport.abort()
                raise asyncio.CancelledError from exc

    async def _forward(
        self, req: web.Request, body: bytes | bytearray, received_s: float
    ) -> web.StreamResponse:
        address = req.headers.get(RELAY_TO, '')
        target = req.headers.get(EXPECTED_TARGET, '')
        path = req.raw_path.removeprefix(RELAY_PREFIX)
        self._check_stop(req)
        # Before a connection is made as well.
        self._check_target(target, address)
        left_s = read_time_left_s(req.headers) or math.inf
        sent = self.end_judge.begin(
            target,
            address,
            self.find_targets()[target].incarnation,
            received_s + left_s,
        )
        async with self.end_judge.witnesses.watch(address) as answer:

            def begin_sending() -> None:
                self._check_target(target, address)
                answer.note_sending()

            async with self.session.request(
                req.method,
                URL(f'http://{address}{path}', encoded=True),
                data=sent_body(body),
                headers=[
                    (name, field)
                    for name, field in req.headers.items()
                    if name.lower() not in _OWN_HEADERS
                ]
                + [('Host', req.headers.get('Host', ''))],
                skip_auto_headers=_SKIPPED_HEADERS,
                allow_redirects=False,
                trace_request_ctx=SendGuard(begin_sending),
            ) as resp:
                if ends_with_connection(resp):
                    answer.read_head(resp)
                return await _pass_on(
                    req, resp, lambda: self._confirm_end(sent, answer)
                )

    async def _confirm_end(
        self, sent: SentRequest, answer: WatchedAnswer
    ) -> EndProof:
        """Raise ClientError for an end that does not show a whole answer."""
        if not answer.has_open_end:
            return EndProof.NONE
        return await self.end_judge.check_end(sent, answer)

    def _check_stop(self, req: web.Request) -> None:
        """Raise AttemptError for a request that may outlast this node."""
        stop_remaining_s = self.stop_remaining_s()
        left_s = read_time_left_s(req.headers) or math.inf
        if stop_remaining_s is not None and left_s > stop_remaining_s:
            raise AttemptError(
                CallOutcome.NOT_SENT, 'the relay stops', is_not_run=True
            )

    def _check_target(self, target: str, address: str) -> None:
        """Raise AttemptError if this node would send the target nothing."""
        entry = self.find_targets().get(target)
        is_known = entry is not None and entry.address == address
        reason = ''
        if self.paths.is_cut_off:
            reason = 'this node is cut off as well'
        elif not is_known:
            reason = f'no target {target!r} is known at {address!r}'
        elif target in self._refusing_targets(entry):
            reason = f'{target!r} accepts no requests'
        if reason:
            raise AttemptError(CallOutcome.NOT_SENT, reason, is_not_run=True)

    def _refusing_targets(self, entry: TargetEntry | None) -> frozenset[str]:
        """Return the targets that take no requests, this one if it leaves."""
        blocked = self.target_notices.blocked_targets(now_s())
        if entry is None or entry.state is TargetState.READY:
            return blocked
        return blocked | {entry.name}

    @contextlib.contextmanager
    def _count_running(self) -> Generator[None, None, None]:
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1


async def _read_body(req: web.Request, hold: BodyHold) -> bytes | bytearray:
    """Return a body; raises AttemptError where there is no room for it."""
    left_s = read_time_left_s(req.headers) or MAX_ROOM_WAIT_S
    wait_s = min(left_s, MAX_ROOM_WAIT_S)
    try:
        return await read_request_body(req, MAX_BODY_BYTES, hold, wait_s)
    except RequestError as exc:
        raise AttemptError(
            CallOutcome.NOT_SENT, exc.message, is_not_run=True
        ) from exc
    except CallerDisconnectedError as exc:
        # The asking node is disconnected; the server ends the handler.
        raise asyncio.CancelledError from exc


async def _pass_on(
    req: web.Request,
    resp: ClientResponse,
    confirm_end: Callable[[], Awaitable[EndProof]],
) -> web.StreamResponse:
    """Pass an answer on as it arrives, under its own framing.

    confirm_end is called before the asking node is told of its end.
    """
    if has_other_coding(resp):
        resp.close()
        raise ClientPayloadError('the answer has another Transfer-Encoding')
    answer = web.StreamResponse(
        status=resp.status, headers=answer_headers(resp.headers)
    )
    mark_answered(answer.headers, resp)
    answer.content_length = resp.content_length
    await answer.prepare(req)
    async for chunk in resp.content.iter_any():
        await answer.write(chunk)
    end_proof = await confirm_end()
    await answer.write_eof()
    is_unproven = end_proof is EndProof.NONE
    end = '' if is_unproven else f', end confirmed by a {end_proof.value}'
    _log_relayed(req, ANSWERED, f'status {resp.status}{end}')
    return answer


def _not_sent(req: web.Request, outcome: str, reason: str) -> web.Response:
    _log_relayed(req, outcome, reason)
    headers = {RELAYED: outcome, NOT_RUN: '1'}
    request_id = req.headers.get(REQUEST_ID)
    if request_id is not None:
        headers[REQUEST_ID] = request_id
    return web.Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE, text=reason, headers=headers
    )


def _log_relayed(req: web.Request, outcome: str, reason: str) -> None:
    log_event(
        Event.CALL_RELAYED,
        request_id=req.headers.get(REQUEST_ID, ''),
        target=req.headers.get(EXPECTED_TARGET, ''),
        outcome=outcome,
        reason=reason,
    )
