"""Takes callers' requests and sees each to its end."""

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
    TargetEnd,
    outcome_of,
)
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.node import call_log
from mimosaworks.node.admission import admit_request
from mimosaworks.node.attempt_error import AttemptError, CallerDisconnectedError
from mimosaworks.node.attempt_sender import AttemptSender
from mimosaworks.node.call import Call
from mimosaworks.node.meters import Meters
from mimosaworks.node.open_requests import OpenRequest, OpenRequests
from mimosaworks.node.stall_detector import StallDetector
from mimosaworks.node.target_chooser import TargetChooser
from mimosaworks.platform.headers import REQUEST_ID
from mimosaworks.serving import RUN_HEADER
from mimosaworks.wire import RunningCall

RETRY_AFTER_HEADER = 'Retry-After'
REFUSED_RETRY_DELAY_S = (
    0.05  # an engine's order usually ends within some of these
)
MAX_ASSIGNMENT_ATTEMPTS = 8
STOPPING_RETRY_AFTER_S = 0.05  # another node takes the request at once

_UNANSWERED_OUTCOMES = frozenset((
    CallOutcome.TIMED_OUT,
    CallOutcome.CALLER_LEFT,
))


@attrs.define
class _Attempt:
    """How a request's stay at a target ends."""

    outcome: CallOutcome = CallOutcome.ANSWERED


@attrs.define(eq=False)
class Frontend:
    """Serves callers at one node.

    stop_left_s gives the seconds until a node that stops ends what is left;
    None for one that does not stop. Connections are closed meanwhile. stays
    are all requests, calls those at targets by the name of their ask. pulse
    tells since when a request may have waited to be read.
    """

    chooser: TargetChooser
    attempt_sender: AttemptSender
    meters: Meters
    stop_remaining_s: Callable[[], float | None]
    open_requests: OpenRequests = attrs.field(factory=OpenRequests)
    running_calls: dict[str, Call] = attrs.field(factory=dict)
    stall_detector: StallDetector = attrs.field(factory=StallDetector)

    async def handle_request(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; used as the server's handler."""
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
        """Return the requests that are at targets now."""
        return tuple(
            RunningCall(call.ask, call.target, call.is_answer_started)
            for call in self.running_calls.values()
            if call.ask is not None
        )

    def begin_stop(self) -> None:
        """Refuse what waits for a target and may not end in time."""
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
            # There is nobody to answer; the server ends the handler.
            raise asyncio.CancelledError from exc
        open_request.is_answered = True
        return answer

    async def _admit_and_serve(
        self, open_request: OpenRequest
    ) -> web.StreamResponse:
        call = await admit_request(
            open_request.req,
            self.chooser.cluster_state.deployment,
            self.stall_detector.earliest_arrival_s(),
        )
        open_request.call = call
        call.closes_connection = self.stop_remaining_s() is not None
        call_log.log_admitted(call, self._deployment_version())
        try:
            async with asyncio.timeout(call.remaining_s()):
                return await self._send_until_answered(call)
        except asyncio.CancelledError:
            if not call.target:
                call_log.log_abandoned(call, _cancellation_outcome(call))
            raise
        except TimeoutError as exc:
            raise _deadline_error(call) from exc
        finally:
            _abort_incomplete_answer(call)

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
        """Find a target while there is time left to end the answer."""
        if not _can_finish_before_stop(call, self.stop_remaining_s()):
            raise _refusal_after_sends(call, _stopping_refusal())
        try:
            return await self.chooser.choose_target(call)
        except RequestError as exc:
            raise _refusal_after_sends(call, exc) from exc

    def _check_before_send(self, call: Call, assignment: Assignment) -> None:
        """Raise AttemptError when a request must not be sent after all."""
        if not _can_finish_before_stop(call, self.stop_remaining_s()):
            raise AttemptError(
                CallOutcome.NOT_SENT, 'the node stops', is_not_run=True
            )
        self.chooser.check_assignment(call.fingerprint, assignment)

    async def _send_attempt(
        self, call: Call, assignment: Assignment
    ) -> web.StreamResponse:
        self.meters.wait_seconds.labels(call.service).observe(call.age_s())
        call_log.log_sent(call, assignment, self.chooser.holder_link.fence)
        with self._track_attempt(call, assignment) as attempt:
            answer = await self.attempt_sender.send_and_relay(
                call,
                assignment,
                functools.partial(self._check_before_send, call),
                functools.partial(self._record_first_bytes, call),
            )
            attempt.outcome = outcome_of(answer.status)
            if attempt.outcome is CallOutcome.ANSWERED:
                self.chooser.holder_link.crashes.note_answer(call.fingerprint)
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
        """Keep the books of a request while it is at a target."""
        sent_s = now_s()
        call_id = '' if call.ask is None else call.ask.call
        call.target = assignment.target
        call.sent_s = sent_s
        self.running_calls[call_id] = call
        self.chooser.standalone_chooser.adjust_running_count(
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
        self.chooser.standalone_chooser.adjust_running_count(
            assignment.target, -1
        )
        reported_outcome = outcome
        if outcome is CallOutcome.NODE_STOPPED:
            # The holder may be of an earlier release, which can't read it.
            reported_outcome = CallOutcome.CALLER_LEFT
        self.chooser.holder_link.news.note_end(
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
        """Note that the target may have crashed while it ran a request.

        One that fell silent shows it by no answer, or by half of one.
        """
        is_silent = outcome in _UNANSWERED_OUTCOMES
        if is_silent or outcome is CallOutcome.BROKEN:
            self.meters.possible_crashes.labels(
                'silent' if is_silent else 'cut'
            ).inc()
            crash = TargetEnd(
                call.fingerprint,
                assignment.target,
                assignment.born,
                assignment.ended,
                is_silent=is_silent,
            )
            self.chooser.record_crash(call, crash, sent_s)

    async def _prepare_resend(self, call: Call, exc: AttemptError) -> None:
        """Return when the request may be sent once more, else raise."""
        may_resend = exc.is_not_run or (
            call.may_resend()
            and self.chooser.allows_resend_after_crash(call.fingerprint)
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
        if call.ask is not None:
            self.chooser.holder_link.news.note_start(
                call.ask.call, first_bytes_s
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
        holder_age_s = self.chooser.holder_link.silent_s()
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
        deployment = self.chooser.cluster_state.deployment
        return 0 if deployment is None else deployment.version


def _can_finish_before_stop(call: Call, stop_remaining_s: float | None) -> bool:
    """Tell whether a request may be sent to a target.

    It must end before a node that stops does. One of which the caller has a
    part can be completed nowhere else.
    """
    if stop_remaining_s is None or call.relayed_stream is not None:
        return True
    return call.remaining_s() <= stop_remaining_s


def _cancellation_outcome(call: Call) -> CallOutcome:
    """Return how a request ended that was cancelled."""
    if call.is_ended_by_node:
        return CallOutcome.NODE_STOPPED
    if call.target and call.remaining_s() <= 0:
        return CallOutcome.TIMED_OUT
    return CallOutcome.CALLER_LEFT


def _stopping_refusal() -> RequestError:
    return RequestError(
        ErrorKind.STOPPING,
        'the node stops before the answer would end',
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )


def _expired_request_error(call: Call | None) -> RequestError:
    """Return the answer to a request that the node ends."""
    if call is None or not (call.target or call.may_have_run):
        return _stopping_refusal()
    return RequestError(
        ErrorKind.TARGET_ANSWER_LOST, 'the node stops before the answer came'
    )


def _refusal_after_sends(call: Call, refusal: RequestError) -> RequestError:
    """Return a refusal that holds for what was sent before it too."""
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
        f'no whole answer in {call.age_s():.2f} s',
        run_state=RunState.MAY_HAVE_RUN if may_have_run else RunState.NOT_RUN,
    )


def _abort_incomplete_answer(call: Call) -> None:
    """Close the connection of an answer that will not be completed."""
    relayed_stream = call.relayed_stream
    if relayed_stream is None or relayed_stream.is_complete:
        return
    transport = call.req.transport
    if relayed_stream.response.prepared and transport is not None:
        transport.abort()


def _http_status(exc: RequestError) -> HTTPStatus:
    is_not_run = exc.run_state is RunState.NOT_RUN
    if exc.kind is ErrorKind.DEADLINE_EXCEEDED and is_not_run:
        # A request that never reached a target may be sent again at once.
        return HTTPStatus.SERVICE_UNAVAILABLE
    if exc.kind is ErrorKind.CRASH_SUSPECT:
        # Callers here send again after what promises that it did not run.
        return HTTPStatus.BAD_GATEWAY
    return exc.answer.status
