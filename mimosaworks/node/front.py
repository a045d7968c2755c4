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
from mimosaworks.node.admission import admit
from mimosaworks.node.attempt_error import AttemptError, CallerLeftError
from mimosaworks.node.call import Call
from mimosaworks.node.chooser import Chooser
from mimosaworks.node.exchange import Exchange
from mimosaworks.node.meters import Meters
from mimosaworks.node.pulse import Pulse
from mimosaworks.node.stays import Stay, Stays
from mimosaworks.platform.headers import REQUEST_ID
from mimosaworks.serving import RUN_HEADER
from mimosaworks.wire import RunningCall

RETRY_AFTER_HEADER = 'Retry-After'
REFUSED_PAUSE_S = 0.05  # an engine's order usually ends within some of these
MAX_ASKS = 8
ELSEWHERE_S = 0.05  # another node takes the request at once

_UNANSWERED = frozenset((CallOutcome.TIMED_OUT, CallOutcome.CALLER_LEFT))


@attrs.define
class _Visit:
    """How a request's stay at a target ends."""

    outcome: CallOutcome = CallOutcome.ANSWERED


@attrs.define(eq=False)
class Front:
    """Serves callers at one node.

    stop_left_s gives the seconds until a node that stops ends what is left;
    None for one that does not stop. Connections are closed meanwhile. stays
    are all requests, calls those at targets by the name of their ask. pulse
    tells since when a request may have waited to be read.
    """

    chooser: Chooser
    exchange: Exchange
    meters: Meters
    stop_left_s: Callable[[], float | None]
    stays: Stays = attrs.field(factory=Stays)
    calls: dict[str, Call] = attrs.field(factory=dict)
    pulse: Pulse = attrs.field(factory=Pulse)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; used as the server's handler."""
        with (
            self.meters.running.track_inprogress(),
            self.stays.count(req) as stay,
        ):
            answer = await self._answer(stay)
            if self.stop_left_s() is not None:
                answer.force_close()
            await stay.write(answer)
        return answer

    def running(self) -> tuple[RunningCall, ...]:
        """Return the requests that are at targets now."""
        return tuple(
            RunningCall(call.ask, call.target, call.is_started)
            for call in self.calls.values()
            if call.ask is not None
        )

    def begin_stop(self) -> None:
        """Refuse what waits for a target and may not end in time."""
        for stay in self.stays.taken:
            call = stay.call
            if call is None:
                continue
            call.ends_conn = True
            if not call.target and not _may_begin(call, self.stop_left_s()):
                stay.expire()

    async def _answer(self, stay: Stay) -> web.StreamResponse:
        try:
            async with stay.bound():
                answer = await self._handle(stay)
        except TimeoutError:
            return self._refuse(stay, _ended(stay.call))
        except RequestError as exc:
            return self._refuse(stay, exc)
        except CallerLeftError as exc:
            # There is nobody to answer; the server ends the handler.
            raise asyncio.CancelledError from exc
        stay.is_answered = True
        return answer

    async def _handle(self, stay: Stay) -> web.StreamResponse:
        call = await admit(
            stay.req, self.chooser.beliefs.deployment, self.pulse.arrived_s()
        )
        stay.call = call
        call.ends_conn = self.stop_left_s() is not None
        call_log.log_admitted(call, self._version())
        try:
            async with asyncio.timeout(call.left_s()):
                return await self._serve(call)
        except asyncio.CancelledError:
            if not call.target:
                call_log.log_abandoned(call, _left_outcome(call))
            raise
        except TimeoutError as exc:
            raise _out_of_time(call) from exc
        finally:
            _cut_unfinished(call)

    async def _serve(self, call: Call) -> web.StreamResponse:
        while True:  # noqa: WPS457 -- each round sends, or raises
            call.asks += 1
            assignment = await self._choose(call)
            try:
                return await self._send(call, assignment)
            except AttemptError as exc:
                call_log.log_broken(call, exc.reason)
                await self._prepare_resend(call, exc)

    async def _choose(self, call: Call) -> Assignment:
        """Find a target while there is time left to end the answer."""
        if not _may_begin(call, self.stop_left_s()):
            raise _after_sends(call, _stopping())
        try:
            return await self.chooser.choose(call)
        except RequestError as exc:
            raise _after_sends(call, exc) from exc

    def _check(self, call: Call, assignment: Assignment) -> None:
        """Raise AttemptError when a request must not be sent after all."""
        if not _may_begin(call, self.stop_left_s()):
            raise AttemptError(
                CallOutcome.NOT_SENT, 'the node stops', is_not_run=True
            )
        self.chooser.check_grant(call.mark, assignment)

    async def _send(
        self, call: Call, assignment: Assignment
    ) -> web.StreamResponse:
        self.meters.wait.labels(call.service).observe(call.age_s())
        call_log.log_sent(call, assignment, self.chooser.link.fence)
        with self._visit(call, assignment) as visit:
            answer = await self.exchange.send(
                call,
                assignment,
                functools.partial(self._check, call),
                functools.partial(self._started, call),
            )
            visit.outcome = outcome_of(answer.status)
            if visit.outcome is CallOutcome.ANSWERED:
                self.chooser.link.crashes.note_answer(call.mark)
        self.meters.answers.labels(call.service, str(answer.status)).inc()
        self.meters.whole.labels(call.service).observe(call.age_s())
        call_log.log_answered(call, assignment, answer.status)
        return answer

    @contextlib.contextmanager
    def _visit(
        self, call: Call, assignment: Assignment
    ) -> Generator[_Visit, None, None]:
        """Keep the books of a request while it is at a target."""
        begun_s = now_s()
        name = '' if call.ask is None else call.ask.call
        call.target = assignment.target
        call.sent_s = begun_s
        self.calls[name] = call
        self.chooser.local.note(assignment.target, 1)
        visit = _Visit()
        try:
            yield visit
        except AttemptError as exc:
            visit.outcome = exc.outcome
            raise
        except (asyncio.CancelledError, CallerLeftError):
            visit.outcome = _left_outcome(call)
            call_log.log_abandoned(call, visit.outcome)
            raise
        finally:
            self._note_end(call, visit.outcome, assignment, begun_s)
            self._leave(name, assignment, visit.outcome, now_s() - begun_s)

    def _leave(
        self,
        name: str,
        assignment: Assignment,
        outcome: CallOutcome,
        duration_s: float,
    ) -> None:
        self.calls.pop(name, None)
        self.chooser.local.note(assignment.target, -1)
        told = outcome
        if outcome is CallOutcome.NODE_STOPPED:
            # The holder may be of an earlier release, which can't read it.
            told = CallOutcome.CALLER_LEFT
        self.chooser.link.news.note_end(name, told.value, duration_s)
        self.meters.sends.labels(outcome.value).inc()

    def _note_end(
        self,
        call: Call,
        outcome: CallOutcome,
        assignment: Assignment,
        begun_s: float,
    ) -> None:
        """Note that the target may have crashed while it ran a request.

        One that fell silent shows it by no answer, or by half of one.
        """
        is_silent = outcome in _UNANSWERED
        if is_silent or outcome is CallOutcome.BROKEN:
            self.meters.ends.labels('silent' if is_silent else 'cut').inc()
            end = TargetEnd(
                call.mark,
                assignment.target,
                assignment.born,
                assignment.ended,
                is_silent=is_silent,
            )
            self.chooser.note_end(call, end, begun_s)

    async def _prepare_resend(self, call: Call, exc: AttemptError) -> None:
        """Return when the request may be sent once more, else raise."""
        may_resend = exc.is_not_run or (
            call.may_resend() and self.chooser.may_resend(call.mark)
        )
        if not may_resend or call.asks >= MAX_ASKS:
            kind = ErrorKind.TARGET_ANSWER_LOST
            if exc.is_not_run:
                kind = ErrorKind.NO_TARGET
            raise RequestError(kind, exc.reason) from exc
        if exc.outcome is CallOutcome.NOT_SENT:
            call.target = ''
            await asyncio.sleep(REFUSED_PAUSE_S)
            return
        call.may_have_run |= not exc.is_not_run
        if exc.outcome is not CallOutcome.UNREACHABLE:
            call.resends += 1
        call_log.log_resent(call, exc.outcome)
        is_loading = exc.outcome is CallOutcome.REFUSED and call.resends == 1
        if is_loading:
            await asyncio.sleep(REFUSED_PAUSE_S)
        else:
            call.excluded.add(call.target)
        call.target = ''

    def _started(self, call: Call, first_s: float) -> None:
        if call.ask is not None:
            self.chooser.link.news.note_start(call.ask.call, first_s)
        self.meters.first.labels(call.service).observe(call.age_s())
        call_log.log_started(call, first_s)

    def _refuse(self, stay: Stay, exc: RequestError) -> web.StreamResponse:
        stay.is_refused = True
        request_id = stay.req.headers.get(REQUEST_ID, '')
        silent_s = self.chooser.link.silent_s()
        call_log.log_refused(request_id, exc, self._version(), silent_s)
        self.meters.refusals.labels(exc.kind.value).inc()
        answer = web.json_response(
            {'error': {'code': exc.kind.value, 'message': exc.message}},
            status=_status(exc),
        )
        answer.headers[RUN_HEADER] = exc.run_state.value
        if exc.retry_after_s is not None:
            answer.headers[RETRY_AFTER_HEADER] = f'{exc.retry_after_s:.3f}'
        return answer

    def _version(self) -> int:
        deployment = self.chooser.beliefs.deployment
        return 0 if deployment is None else deployment.version


def _may_begin(call: Call, stop_left_s: float | None) -> bool:
    """Tell whether a request may be sent to a target.

    It must end before a node that stops does. One of which the caller has a
    part can be completed nowhere else.
    """
    if stop_left_s is None or call.passed is not None:
        return True
    return call.left_s() <= stop_left_s


def _left_outcome(call: Call) -> CallOutcome:
    """Return how a request ended that was cancelled."""
    if call.is_cut:
        return CallOutcome.NODE_STOPPED
    if call.target and call.left_s() <= 0:
        return CallOutcome.TIMED_OUT
    return CallOutcome.CALLER_LEFT


def _stopping() -> RequestError:
    return RequestError(
        ErrorKind.STOPPING,
        'the node stops before the answer would end',
        retry_after_s=ELSEWHERE_S,
    )


def _ended(call: Call | None) -> RequestError:
    """Return the answer to a request that the node ends."""
    if call is None or not (call.target or call.may_have_run):
        return _stopping()
    return RequestError(
        ErrorKind.TARGET_ANSWER_LOST, 'the node stops before the answer came'
    )


def _after_sends(call: Call, refusal: RequestError) -> RequestError:
    """Return a refusal that holds for what was sent before it too."""
    if not call.may_have_run:
        return refusal
    return RequestError(
        ErrorKind.TARGET_ANSWER_LOST,
        f'an answer was lost, then: {refusal.message}',
        retry_after_s=refusal.retry_after_s,
    )


def _out_of_time(call: Call) -> RequestError:
    may_have_run = bool(call.target) or call.may_have_run
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED,
        f'no whole answer in {call.age_s():.2f} s',
        run_state=RunState.MAY_HAVE_RUN if may_have_run else RunState.NOT_RUN,
    )


def _cut_unfinished(call: Call) -> None:
    """Close the connection of an answer that will not be completed."""
    passed = call.passed
    if passed is None or passed.is_ended:
        return
    transport = call.req.transport
    if passed.out.prepared and transport is not None:
        transport.abort()


def _status(exc: RequestError) -> HTTPStatus:
    is_not_run = exc.run_state is RunState.NOT_RUN
    if exc.kind is ErrorKind.DEADLINE_EXCEEDED and is_not_run:
        # A request that never reached a target may be sent again at once.
        return HTTPStatus.SERVICE_UNAVAILABLE
    if exc.kind is ErrorKind.CRASH_SUSPECT:
        # Callers here send again after what promises that it did not run.
        return HTTPStatus.BAD_GATEWAY
    return exc.answer.status
