"""Sends a request to a target and relays the answer to the caller."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ConnectionTimeoutError,
    web,
)

from mimosaworks.body_framing import (
    ends_with_connection,
    has_other_coding,
    read_framing,
)
from mimosaworks.bounded_answers import HeldBytes
from mimosaworks.clock import now_s
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.events import Event, log_event
from mimosaworks.node import call_log
from mimosaworks.node.answer_relay import relay_answer
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.attempt_progress import AttemptProgress, ProgressHooks
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.broken_answers import attempt_error_from
from mimosaworks.node.call import Call
from mimosaworks.node.end_judge import EndJudge, EndProof
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.relay_peers import (
    RELAY_TO,
    RelayPeers,
    check_relay,
    make_request_url,
)
from mimosaworks.node.stall_detector import READ_S
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.platform.headers import (
    LAST_EVENT,
    RETRY_AFTER,
    read_pause_s,
    says_leaving,
    says_not_run,
    target_headers,
)
from mimosaworks.send_guard import SendGuard

# Enough for some round trips and a lost packet.
CONNECT_TIMEOUT_S = 0.5
_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
CheckAssignment = Callable[[Assignment], None]


@attrs.define(eq=False)
class AttemptSender:
    """Sends attempts of the frontend over persistent connections.

    target_notices, limit_view and brittle_targets record what the heads of
    answers say about further requests. held_answers bounds the bytes of
    buffered answers. relay_peers names the node that sends for this one while
    it is cut off. end_judge judges the ends of answers without framing.
    """

    session: ClientSession
    target_notices: TargetNotices
    limit_view: LimitView
    brittle_targets: BrittleTargets
    held_answers: HeldBytes
    relay_peers: RelayPeers
    end_judge: EndJudge = attrs.field(factory=EndJudge)

    async def send_and_relay(
        self,
        call: Call,
        assignment: Assignment,
        check_assignment: CheckAssignment,
        hooks: ProgressHooks,
    ) -> web.StreamResponse:
        """Send a request and relay the complete answer to its caller.

        A stream of which the caller has a part is resumed after it.
        check_assignment is called right before the first byte is sent. Raises
        AttemptError when the answer is incomplete, and what check_assignment
        raises.
        """
        paths = self.relay_peers.paths
        progress = AttemptProgress(hooks, paths.record_bytes)
        sent = self.end_judge.begin(
            assignment.target,
            assignment.address,
            assignment.incarnation,
            call.deadline_s,
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(paths.track_attempt())
            hold = stack.enter_context(self.held_answers.hold())
            answer = await stack.enter_async_context(
                self.end_judge.witnesses.watch(assignment.address)
            )

            def begin_sending() -> None:
                check_assignment(assignment)
                answer.note_sending()

            async def confirm_end() -> None:
                if answer.has_open_end:
                    call.end_proof = await self.end_judge.check_end(
                        sent, answer
                    )

            resp = await stack.enter_async_context(
                await self._send_request(
                    call, assignment, SendGuard(begin_sending)
                )
            )
            # A relay judges the end, and gives the answer a framing.
            if ends_with_connection(resp) and not call.is_relayed:
                answer.read_head(resp)
            try:
                return await relay_answer(
                    call, resp, progress, hold, confirm_end
                )
            except (ClientError, OSError) as exc:
                raise attempt_error_from(exc, assignment.target) from exc

    async def _send_request(
        self, call: Call, assignment: Assignment, guard: SendGuard
    ) -> ClientResponse:
        headers = target_headers(
            call.req.headers,
            target=assignment.target,
            time_left_s=call.remaining_s(),
            workspace=call.workspace,
            priority=assignment.priority if call.profile.model else None,
        )
        last_event_id = call.last_event_id()
        if last_event_id:
            headers[LAST_EVENT] = last_event_id
        relay = self.relay_peers.find_relay()
        call.is_relayed = bool(relay)
        if relay:
            headers[RELAY_TO] = assignment.address
            call_log.log_via_relay(call, assignment, relay)
        try:
            resp = await self.session.request(
                call.req.method,
                make_request_url(call.req.raw_path, assignment.address, relay),
                data=call.sent_body(),
                headers=headers,
                skip_auto_headers=_SKIPPED_HEADERS,
                allow_redirects=False,
                trace_request_ctx=guard,
            )
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            if relay:
                self.relay_peers.record_failure(relay)
            else:
                self.relay_peers.paths.record_unreachable()
            raise AttemptError(
                CallOutcome.UNREACHABLE, repr(exc), is_not_run=True
            ) from exc
        except (ClientError, OSError) as exc:
            raise attempt_error_from(exc, assignment.target) from exc
        if relay:
            check_relay(resp)
        else:
            self.relay_peers.paths.record_bytes()
        call.framing = read_framing(resp)
        call.end_proof = EndProof.NONE
        self._record_answer_head(call, assignment.target, resp)
        if call.remaining_s() <= 0:
            await _wait_for_timeout(resp)
        _check_answer_head(resp)
        return resp

    def _record_answer_head(
        self, call: Call, target: str, resp: ClientResponse
    ) -> None:
        """Record what the head says about further requests to the target."""
        if says_leaving(resp.headers):
            self.target_notices.record_leaving(target)
        self.limit_view.read_response_head(call, resp, now_s())
        self.brittle_targets.read_response_head(call, target, resp)
        try:
            pause_s = read_pause_s(resp.status, resp.headers)
        except ValueError as exc:
            retry_after = resp.headers.get(RETRY_AFTER)
            log_event(
                Event.PAUSE_IGNORED,
                target=target,
                sent=retry_after,
                reason=str(exc),
            )
            return
        if pause_s:
            self.target_notices.record_pause(target, pause_s, now_s())


async def _wait_for_timeout(resp: ClientResponse) -> None:
    """Let the time-out of a call that is over come before its answer."""
    try:
        await asyncio.sleep(2 * READ_S)
    except asyncio.CancelledError:
        resp.close()
        raise


def _check_answer_head(resp: ClientResponse) -> None:
    if says_not_run(resp.status, resp.headers):
        resp.release()
        raise AttemptError(
            CallOutcome.REFUSED,
            f'the target did not run the request: status {resp.status}',
            is_not_run=True,
        )
    if 'Content-Encoding' in resp.headers:
        resp.close()
        raise AttemptError(
            CallOutcome.BROKEN, 'the answer has a Content-Encoding'
        )
    if has_other_coding(resp):
        resp.close()
        raise AttemptError(
            CallOutcome.BROKEN, 'the answer has another Transfer-Encoding'
        )
