"""Takes callers' requests and sees each to its end."""

import asyncio
import itertools
from collections.abc import Callable, Iterator

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.dispatch import Assignment, CallOutcome, Refusal
from mimosaworks.errors import ErrorKind, PeerError, RequestError, RunState
from mimosaworks.events import Event, log_event
from mimosaworks.node.admission import admit
from mimosaworks.node.attempt_error import AttemptError, StreamCutError
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.call import Call
from mimosaworks.node.conversions import parts_of
from mimosaworks.node.exchange import Exchange
from mimosaworks.node.holder_link import HolderLink
from mimosaworks.node.local_choice import LocalChoice
from mimosaworks.node.meters import Meters
from mimosaworks.serving import RUN_HEADER
from mimosaworks.wire import CallAsk, RunningCall

RETRY_AFTER_HEADER = 'Retry-After'
REFUSED_PAUSE_S = 0.05  # an engine's order usually ends within some of these
MAX_ASKS = 8
HOLDER_WAIT_S = 2.0  # a little more than a lease
HOLDER_POLL_S = 0.1
MIN_SEND_S = 0.03  # less time than this serves nobody


@attrs.define(eq=False)
class Front:
    """Serves callers at one node; is_stopping closes their connections."""

    node: str
    nonce: str
    data_centre: str
    beliefs: Beliefs
    link: HolderLink
    local: LocalChoice
    exchange: Exchange
    meters: Meters
    is_stopping: Callable[[], bool]
    calls: dict[str, Call] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; used as the server's handler."""
        with self.meters.running.track_inprogress():
            try:
                answer = await self._handle(req)
            except RequestError as exc:
                answer = self._refuse(req, exc)
        if self.is_stopping() and not answer.prepared:
            answer.force_close()
        return answer

    def running(self) -> tuple[RunningCall, ...]:
        """Return the requests that are at targets now."""
        return tuple(
            RunningCall(call.ask, call.target, call.is_started)
            for call in self.calls.values()
            if call.ask is not None
        )

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        call = await admit(req, self.beliefs.deployment)
        log_event(
            Event.CALL_ADMITTED,
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            workspace=call.workspace or '',
            model=call.facts.model,
            adapter=call.facts.adapter,
            tokens=call.facts.declared_tokens,
            left_s=call.left_s(),
            version=self._version(),
        )
        try:
            async with asyncio.timeout(call.left_s()):
                return await self._serve(call)
        except asyncio.CancelledError:
            if not call.target:
                self._log_abandoned(call, CallOutcome.CALLER_LEFT)
            raise
        except TimeoutError as exc:
            if call.is_started:
                _cut(req)
            may_have_run = bool(call.target) or call.is_started
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                f'no whole answer in {call.age_s():.2f} s',
                run_state=(
                    RunState.MAY_HAVE_RUN if may_have_run else RunState.NOT_RUN
                ),
            ) from exc

    async def _serve(self, call: Call) -> web.StreamResponse:
        while True:  # noqa: WPS457 -- each round sends, or raises
            assignment = await self._choose(call)
            try:
                return await self._send(call, assignment)
            except AttemptError as exc:
                await self._after_failure(call, assignment, exc)

    async def _choose(self, call: Call) -> Assignment:
        call.asks += 1
        ask = self._make_ask(call)
        decided = await self._decide(call, ask)
        call.ask = ask
        if isinstance(decided, Refusal):
            raise RequestError(
                decided.kind,
                decided.reason,
                retry_after_s=decided.retry_after_s,
            )
        return decided

    async def _decide(
        self, call: Call, ask: CallAsk
    ) -> Assignment | Refusal:
        give_up_s = now_s() + min(HOLDER_WAIT_S, call.left_s() / 2)
        while True:  # noqa: WPS457 -- ends with a decision
            try:
                reply = await self.link.ask(ask)
            except asyncio.CancelledError:
                # A decision that is on its way books a target for nobody.
                self.link.note_end(
                    ask.call, CallOutcome.CALLER_LEFT.value, 0
                )
                raise
            except PeerError as exc:
                alone = self._decide_alone(call, ask, str(exc))
                if not _may_wait(alone) or now_s() > give_up_s:
                    return alone
                await asyncio.sleep(HOLDER_POLL_S)
            else:
                break
        if reply.kind:
            return Refusal(
                ErrorKind(reply.kind), reply.retry_after_s, reply.reason
            )
        return Assignment(
            reply.target, reply.address, reply.priority, reply.reason
        )

    def _decide_alone(
        self, call: Call, ask: CallAsk, reason: str
    ) -> Assignment | Refusal:
        deployment = self.beliefs.deployment
        if deployment is None:
            return Refusal(ErrorKind.CONFIG_STALE, 1, 'no deployment')
        now = now_s()
        members = max(len(self.link.members), 1)
        self.local.enter(deployment, self.link.levels, members, now)
        targets = self._targets()
        decided = self.local.choose(ask, call.facts, targets, now)
        if isinstance(decided, Assignment):
            self.link.note_spent(ask.workspace, ask.cost)
        log_event(
            Event.CALL_DECIDED_ALONE,
            request_id=call.request_id,
            target='' if isinstance(decided, Refusal) else decided.target,
            reason=f'{reason}; {decided.reason}',
            silent_s=self.link.silent_s(),
            members=members,
            targets=len(targets),
        )
        return decided

    async def _send(
        self, call: Call, assignment: Assignment
    ) -> web.StreamResponse:
        ask = call.ask
        name = '' if ask is None else ask.call
        call.target = assignment.target
        self.calls[name] = call
        self.local.note(assignment.target, 1)
        self.meters.wait.labels(call.service).observe(call.age_s())
        log_event(
            Event.CALL_SENT,
            request_id=call.request_id,
            call=name,
            target=assignment.target,
            reason=assignment.reason,
            waited_s=call.age_s(),
            left_s=call.left_s(),
            fence=self.link.fence,
        )
        begun_s = now_s()
        outcome = CallOutcome.CALLER_LEFT
        try:
            answer = await self.exchange.send(
                call, assignment, lambda first_s: self._started(call, first_s)
            )
            outcome = CallOutcome.ANSWERED
        except AttemptError as exc:
            outcome = exc.outcome
            raise
        except StreamCutError as exc:
            outcome = CallOutcome.BROKEN
            self._log_broken(call, f'cut after event {exc}')
            _cut(call.req)
            raise RequestError(
                ErrorKind.TARGET_ANSWER_LOST, 'the stream broke off'
            ) from exc
        except asyncio.CancelledError:
            if call.left_s() <= 0:
                outcome = CallOutcome.TIMED_OUT
            self._log_abandoned(call, outcome)
            raise
        finally:
            self.calls.pop(name, None)
            self.local.note(assignment.target, -1)
            self.link.note_end(name, outcome.value, now_s() - begun_s)
            self.meters.sends.labels(outcome.value).inc()
        call.target = ''
        self._log_answered(call, assignment, answer.status)
        return answer

    async def _after_failure(
        self, call: Call, assignment: Assignment, exc: AttemptError
    ) -> None:
        """Return when the request may be sent once more, else raise."""
        may_repeat = exc.is_not_run or call.may_resend()
        self._log_broken(call, exc.reason)
        if not may_repeat or call.asks >= MAX_ASKS:
            raise RequestError(
                ErrorKind.NO_TARGET
                if exc.is_not_run
                else ErrorKind.TARGET_ANSWER_LOST,
                exc.reason,
            ) from exc
        call.target = ''
        if exc.outcome is not CallOutcome.UNREACHABLE:
            call.resends += 1
        if exc.outcome is CallOutcome.REFUSED and call.resends == 1:
            await asyncio.sleep(REFUSED_PAUSE_S)
        else:
            call.excluded.add(assignment.target)
        log_event(
            Event.CALL_RESENT,
            request_id=call.request_id,
            target=assignment.target,
            outcome=exc.outcome.value,
            resends=call.resends,
            left_s=call.left_s(),
        )

    def _make_ask(self, call: Call) -> CallAsk:
        facts = call.facts
        return CallAsk(
            call=f'{self.nonce}-{next(self._numbers)}',
            node=self.node,
            fence=self.link.fence,
            service=call.service,
            workspace=call.workspace or '',
            cost=call.cost,
            priority=call.priority,
            model=facts.model,
            adapter=facts.adapter,
            tokens_in=facts.tokens_in,
            tokens_out=facts.tokens_out,
            tokens_hint=facts.tokens_hint,
            parts=parts_of(facts),
            data_centre=self.data_centre,
            target_s=call.route.target_s,
            left_s=max(call.left_s(), MIN_SEND_S),
            resends=call.resends,
            excluded=tuple(sorted(call.excluded)),
            mark=call.mark,
        )

    def _targets(self) -> dict[str, object]:  # type: ignore[return]
        own = self.beliefs.targets
        return own or self.link.targets  # type: ignore[return-value]

    def _started(self, call: Call, first_s: float) -> None:
        ask = call.ask
        if ask is not None:
            self.link.note_start(ask.call, first_s)
        self.meters.first.labels(call.service).observe(call.age_s())
        log_event(
            Event.CALL_STARTED,
            request_id=call.request_id,
            target=call.target,
            first_s=first_s,
            age_s=call.age_s(),
        )

    def _refuse(
        self, req: web.BaseRequest, exc: RequestError
    ) -> web.StreamResponse:
        request_id = req.headers.get('X-Request-Id', '')
        log_event(
            Event.CALL_REFUSED,
            request_id=request_id,
            kind=exc.kind.value,
            run=exc.run_state.value,
            reason=exc.message,
            retry_after_s=exc.retry_after_s,
            version=self._version(),
            holder_age_s=self.link.silent_s(),
        )
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
        deployment = self.beliefs.deployment
        return 0 if deployment is None else deployment.version

    def _log_answered(
        self, call: Call, assignment: Assignment, status: int
    ) -> None:
        self.meters.answers.labels(call.service, str(status)).inc()
        self.meters.whole.labels(call.service).observe(call.age_s())
        log_event(
            Event.CALL_ANSWERED,
            request_id=call.request_id,
            target=assignment.target,
            status=status,
            seconds=call.age_s(),
            resends=call.resends,
        )

    def _log_broken(self, call: Call, reason: str) -> None:
        log_event(
            Event.CALL_BROKEN,
            request_id=call.request_id,
            target=call.target,
            is_started=call.is_started,
            reason=reason,
            age_s=call.age_s(),
        )

    def _log_abandoned(self, call: Call, outcome: CallOutcome) -> None:
        log_event(
            Event.CALL_ABANDONED,
            request_id=call.request_id,
            target=call.target,
            outcome=outcome.value,
            is_started=call.is_started,
            age_s=call.age_s(),
            left_s=call.left_s(),
        )


def _may_wait(decided: Assignment | Refusal) -> bool:
    """Tell whether the next holder may find a target."""
    return isinstance(decided, Refusal) and decided.kind in {
        ErrorKind.MODEL_NOT_READY,
        ErrorKind.NO_TARGET,
    }


def _cut(req: web.BaseRequest) -> None:
    """Close a caller's connection so that its answer looks incomplete."""
    if req.transport is not None:
        req.transport.abort()  # type: ignore[attr-defined]


def _status(exc: RequestError) -> int:
    if exc.kind is ErrorKind.DEADLINE_EXCEEDED:
        # A request that never reached a target may be sent again at once.
        if exc.run_state is RunState.NOT_RUN:
            return 503
    if exc.kind is ErrorKind.CRASH_SUSPECT:
        return 502
    return int(exc.answer.status)
