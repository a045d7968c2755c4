"""Serves callers' requests from admission to the end of the answer."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Generator
from http import HTTPStatus

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    TargetCrash,
    outcome_for_status,
)
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.node import call_log
from mimosaworks.node.admission import admit_request
from mimosaworks.node.attempt_error import AttemptError, CallerDisconnectedError
from mimosaworks.node.attempt_progress import ProgressHooks
from mimosaworks.node.attempt_sender import AttemptSender
from mimosaworks.node.call import Call
from mimosaworks.node.meters import Meters
from mimosaworks.node.open_requests import OpenRequest, OpenRequests
from mimosaworks.node.relay import Relay
from mimosaworks.node.stall_detector import (
    StallDetector,
    timeout_after_reading,
)
from mimosaworks.node.stream_versions import (
    check_version,
    record_begun_version,
    trace_resumed_stream,
)
from mimosaworks.node.target_chooser import TargetChooser
from mimosaworks.platform.headers import REQUEST_ID
from mimosaworks.serving import RUN_HEADER
from mimosaworks.wire import RunningCall

RETRY_AFTER_HEADER = 'Retry-After'
# An engine usually completes an order within a few of these delays.
REFUSED_RETRY_DELAY_S = 0.05
MAX_ASSIGNMENT_ATTEMPTS = 8
# Short, as another node accepts the request at once.
STOPPING_RETRY_AFTER_S = 0.05

_UNANSWERED_OUTCOMES = frozenset((
    CallOutcome.TIMED_OUT,
    CallOutcome.CALLER_LEFT,
))


@attrs.define
class _Attempt:
    """One attempt at a target, with the outcome so far."""

    outcome: CallOutcome = CallOutcome.ANSWERED


@attrs.define(eq=False)
class Frontend:
    """Request handler for callers at one node.

    stop_remaining_s returns the seconds until a node that stops ends its
    remaining requests, None for a node that does not stop. During a stop
    each connection is closed after its answer. open_requests are all
    requests of this node, running_calls those at targets by call id.
    stall_detector gives the time since which a request may have waited to
    be read. relay serves other nodes that are cut off from the targets.
    """

    target_chooser: TargetChooser
    attempt_sender: AttemptSender
    meters: Meters
    stop_remaining_s: Callable[[], float | None]
    relay: Relay
    open_requests: OpenRequests = attrs.field(factory=OpenRequests)
    running_calls: dict[str, Call] = attrs.field(factory=dict)
    stall_detector: StallDetector = attrs.field(factory=StallDetector)

    async def handle_request(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request. This is the handler of the caller server."""
        with (
            self.meters.running_requests.track_inprogress(),
            self.open_requests.track(req) as open_request,
        ):
            answer = await self._answer_or_refuse(open_request)
            if self.stop_remaining_s() is not None:
                answer.force_close()
            await open_request.write_answer(answer)
        return answer

    def list_running_calls(self) -> tuple[RunningCall, ...]:
        """Return the requests that run at targets now."""
        return tuple(
            RunningCall(call.call_ask, call.target, call.is_answer_started)
            for call in self.running_calls.values()
            if call.call_ask is not None
        )

    def begin_stop(self) -> None:
        """Refuse requests without a target that may not end before the stop."""
        for open_request in self.open_requests.requests:
            call = open_request.call
            if call is None:
                continue
            call.closes_connection = True
            if not call.target and not _can_finish_before_stop(
                call, self.stop_remaining_s()
            ):
                open_request.expire()

    async def _answer_or_refuse(
        self, open_request: OpenRequest
    ) -> web.StreamResponse:
        try:
            async with open_request.expirable_wait():
                answer = await self._admit_and_serve(open_request)
        except TimeoutError:
            return self._make_error_answer(
                open_request, _expired_request_error(open_request.call)
            )
        except RequestError as exc:
            return self._make_error_answer(open_request, exc)
        except CallerDisconnectedError as exc:
            # The caller is disconnected; the server ends the handler.
            raise asyncio.CancelledError from exc
        open_request.is_answered = True
        return answer

    async def _admit_and_serve(
        self, open_request: OpenRequest
    ) -> web.StreamResponse:
        with contextlib.ExitStack() as stack:
            call = await admit_request(
                open_request.req,
                self.target_chooser.cluster_state.deployment,
                self.stall_detector.earliest_arrival_s(),
                stack.enter_context(self.relay.held_bodies.hold()),
            )
            stack.callback(_end_call, call)
            open_request.call = call
            call.closes_connection = self.stop_remaining_s() is not None
            call_log.log_admitted(call, self._deployment_version())
            try:
                async with timeout_after_reading(call.remaining_s()):
                    await trace_resumed_stream(
                        call, self.target_chooser.holder_link
                    )
                    return await self._send_until_answered(call)
            except asyncio.CancelledError:
                if not call.target:
                    call_log.log_abandoned(call, _cancellation_outcome(call))
                raise
            except TimeoutError as exc:
                raise _deadline_error(call) from exc

    async def _send_until_answered(self, call: Call) -> web.StreamResponse:
        while True:  # noqa: WPS457 -- each round sends, or raises
            call.assignment_attempts += 1
            assignment = await self._choose_target(call)
            try:
                return await self._send_attempt(call, assignment)
            except AttemptError as exc:
                call_log.log_attempt_failed(call, exc.reason)
                await self._prepare_resend(call, exc)

    async def _choose_target(self, call: Call) -> Assignment:
        """Return a target; raises RequestError when there is none in time."""
        if not _can_finish_before_stop(call, self.stop_remaining_s()):
            raise _refusal_after_sends(call, _stopping_refusal())
        try:
            return await self.target_chooser.choose_target(call)
        except RequestError as exc:
            raise _refusal_after_sends(call, exc) from exc

    def _check_before_send(self, call: Call, assignment: Assignment) -> None:
        """Raise AttemptError when an assigned request must not be sent."""
        if not _can_finish_before_stop(call, self.stop_remaining_s()):
            raise AttemptError(
                CallOutcome.NOT_SENT, 'the node stops', is_not_run=True
            )
        self.target_chooser.check_assignment(call.suspect_keys, assignment)
        check_version(call, assignment, self.target_chooser.latest_targets())

    async def _send_attempt(
        self, call: Call, assignment: Assignment
    ) -> web.StreamResponse:
        self.meters.wait_seconds.labels(call.service).observe(call.age_s())
        call_log.log_sent(
            call, assignment, self.target_chooser.holder_link.fence
        )
        with self._track_attempt(call, assignment) as attempt:
            answer = await self.attempt_sender.send_and_relay(
                call,
                assignment,
                functools.partial(self._check_before_send, call),
                ProgressHooks(
                    functools.partial(self._record_first_bytes, call),
                    functools.partial(
                        record_begun_version,
                        call,
                        assignment,
                        self.target_chooser,
                    ),
                    lambda: call.record_stream_bytes(
                        self.stall_detector.earliest_arrival_s()
                    ),
                ),
            )
            attempt.outcome = outcome_for_status(answer.status)
            if attempt.outcome is CallOutcome.ANSWERED:
                crash_view = self.target_chooser.holder_link.crash_view
                for key in call.suspect_keys:
                    crash_view.record_success(key)
        self.meters.answers.labels(call.service, str(answer.status)).inc()
        self.meters.complete_answer_seconds.labels(call.service).observe(
            call.age_s()
        )
        call_log.log_answered(call, assignment, answer.status)
        return answer

    @contextlib.contextmanager
    def _track_attempt(
        self, call: Call, assignment: Assignment
    ) -> Generator[_Attempt, None, None]:
        """Record the start and the end of an attempt at a target."""
        sent_s = now_s()
        call_id = '' if call.call_ask is None else call.call_ask.call
        call.begin_attempt(assignment.target, sent_s)
        self.running_calls[call_id] = call
        self.target_chooser.standalone_chooser.adjust_running_count(
            assignment.target, 1
        )
        attempt = _Attempt()
        try:
            yield attempt
        except AttemptError as exc:
            attempt.outcome = exc.outcome
            raise
        except (asyncio.CancelledError, CallerDisconnectedError):
            attempt.outcome = _cancellation_outcome(call)
            call_log.log_abandoned(call, attempt.outcome)
            raise
        finally:
            self._record_possible_crash(
                call, attempt.outcome, assignment, sent_s
            )
            self._record_attempt_end(
                call_id, assignment, attempt.outcome, now_s() - sent_s
            )

    def _record_attempt_end(
        self,
        call_id: str,
        assignment: Assignment,
        outcome: CallOutcome,
        duration_s: float,
    ) -> None:
        self.running_calls.pop(call_id, None)
        self.target_chooser.standalone_chooser.adjust_running_count(
            assignment.target, -1
        )
        reported_outcome = outcome
        if outcome is CallOutcome.NODE_STOPPED:
            # The holder may run an earlier release, which can't decode this
            # outcome.
            reported_outcome = CallOutcome.CALLER_LEFT
        self.target_chooser.holder_link.pending_updates.record_call_end(
            call_id, reported_outcome.value, duration_s
        )
        self.meters.sends.labels(outcome.value).inc()

    def _record_possible_crash(
        self,
        call: Call,
        outcome: CallOutcome,
        assignment: Assignment,
        sent_s: float,
    ) -> None:
        """Record a crash if the target may have crashed during a request.

        A missing or incomplete answer may be the only sign of a target that
        became unreachable. A stream that was cut on this side while it flowed
        shows that its target ran.
        """
        is_unanswered = outcome in _UNANSWERED_OUTCOMES
        if is_unanswered and call.has_flowing_stream():
            return
        if not is_unanswered and outcome is not CallOutcome.BROKEN:
            return
        is_unconfirmed = (
            is_unanswered or call.is_relayed or self.relay.paths.is_cut_off
        )
        self.meters.possible_crashes.labels(
            'silent' if is_unconfirmed else 'cut'
        ).inc()
        crash = TargetCrash(
            call.fingerprint,
            assignment.target,
            assignment.incarnation,
            assignment.crash_count,
            is_unconfirmed=is_unconfirmed,
        )
        self.target_chooser.record_crash(call, crash, sent_s)

    async def _prepare_resend(self, call: Call, exc: AttemptError) -> None:
        """Return when the request may be sent again.

        Raises RequestError if it may not.
        """
        may_resend = exc.is_not_run or (
            call.may_resend()
            and self.target_chooser.allows_resend_after_crash(call)
        )
        if (
            not may_resend
            or call.assignment_attempts >= MAX_ASSIGNMENT_ATTEMPTS
        ):
            kind = ErrorKind.TARGET_ANSWER_LOST
            if exc.is_not_run:
                kind = ErrorKind.NO_TARGET
            raise RequestError(kind, exc.reason) from exc
        if exc.outcome is CallOutcome.NOT_SENT:
            call.target = ''
            await asyncio.sleep(REFUSED_RETRY_DELAY_S)
            return
        call.may_have_run |= not exc.is_not_run
        if exc.outcome is not CallOutcome.UNREACHABLE:
            call.resends += 1
        call_log.log_resend(call, exc.outcome)
        is_loading = exc.outcome is CallOutcome.REFUSED and call.resends == 1
        if is_loading:
            await asyncio.sleep(REFUSED_RETRY_DELAY_S)
        else:
            call.excluded_targets.add(call.target)
        call.target = ''

    def _record_first_bytes(self, call: Call, first_bytes_s: float) -> None:
        if call.call_ask is not None:
            self.target_chooser.holder_link.pending_updates.record_first_event(
                call.call_ask.call, first_bytes_s
            )
        self.meters.first_bytes_seconds.labels(call.service).observe(
            call.age_s()
        )
        call_log.log_answer_started(call, first_bytes_s)

    def _make_error_answer(
        self, open_request: OpenRequest, exc: RequestError
    ) -> web.StreamResponse:
        open_request.is_refused = True
        request_id = open_request.req.headers.get(REQUEST_ID, '')
        holder_age_s = self.target_chooser.holder_link.last_reply_age_s()
        call_log.log_refused(
            request_id, exc, self._deployment_version(), holder_age_s
        )
        self.meters.refusals.labels(exc.kind.value).inc()
        answer = web.json_response(
            {'error': {'code': exc.kind.value, 'message': exc.message}},
            status=_http_status(exc),
        )
        answer.headers[RUN_HEADER] = exc.run_state.value
        if exc.retry_after_s is not None:
            answer.headers[RETRY_AFTER_HEADER] = f'{exc.retry_after_s:.3f}'
        return answer

    def _deployment_version(self) -> int:
        deployment = self.target_chooser.cluster_state.deployment
        return 0 if deployment is None else deployment.version


def _can_finish_before_stop(call: Call, stop_remaining_s: float | None) -> bool:
    """Return whether a request may be sent to a target.

    During a stop its deadline must be before the stop's. A stream of which
    the caller has a part may be sent in any case, as no other node can
    complete it.
    """
    if stop_remaining_s is None or call.relayed_stream is not None:
        return True
    return call.remaining_s() <= stop_remaining_s


def _cancellation_outcome(call: Call) -> CallOutcome:
    """Return the outcome of a request that was cancelled."""
    if call.is_ended_by_node:
        return CallOutcome.NODE_STOPPED
    if call.target and call.remaining_s() <= 0:
        return CallOutcome.TIMED_OUT
    return CallOutcome.CALLER_LEFT


def _stopping_refusal() -> RequestError:
    return RequestError(
        ErrorKind.STOPPING,
        'the node stops before the answer would be complete',
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )


def _expired_request_error(call: Call | None) -> RequestError:
    """Return the error for a request that the stopping node ends."""
    if call is None or not (call.target or call.may_have_run):
        return _stopping_refusal()
    return RequestError(
        ErrorKind.TARGET_ANSWER_LOST,
        'the node stops before the answer was received',
    )


def _refusal_after_sends(call: Call, refusal: RequestError) -> RequestError:
    """Return a refusal that accounts for earlier attempts.

    If one of them may have run, the caller must not take the request for
    one that did not run.
    """
    if not call.may_have_run:
        return refusal
    return RequestError(
        ErrorKind.TARGET_ANSWER_LOST,
        f'an answer was lost, then: {refusal.message}',
        retry_after_s=refusal.retry_after_s,
    )


def _deadline_error(call: Call) -> RequestError:
    may_have_run = bool(call.target) or call.may_have_run
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED,
        f'no complete answer in {call.age_s():.2f} s',
        run_state=RunState.MAY_HAVE_RUN if may_have_run else RunState.NOT_RUN,
    )


def _end_call(call: Call) -> None:
    """Abort the caller's connection if its answer is incomplete.

    The body is dropped, as it is not accounted for any longer.
    """
    call.body = b''
    relayed_stream = call.relayed_stream
    if relayed_stream is None or relayed_stream.is_complete:
        return
    transport = call.req.transport
    if relayed_stream.response.prepared and transport is not None:
        transport.abort()


def _http_status(exc: RequestError) -> HTTPStatus:
    is_not_run = exc.run_state is RunState.NOT_RUN
    if exc.kind is ErrorKind.DEADLINE_EXCEEDED and is_not_run:
        # A request that was sent to no target may be repeated at once.
        return HTTPStatus.SERVICE_UNAVAILABLE
    if exc.kind is ErrorKind.CRASH_SUSPECT:
        # Callers repeat a request after a status that promises that it did not
        # run, which would crash another target.
        return HTTPStatus.BAD_GATEWAY
    return exc.answer.status
