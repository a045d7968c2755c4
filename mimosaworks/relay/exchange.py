"""Has one request answered, over as many attempts as are allowed."""

import asyncio
import contextlib
from collections.abc import Callable, Generator

import attrs
from aiohttp import ClientError, ClientResponse, web

from mimosaworks.body_framing import has_other_coding
from mimosaworks.clock import now_s
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.events import Event, log_event
from mimosaworks.metrics import Metric, MetricsClient
from mimosaworks.relay.answer_body import AnswerBody
from mimosaworks.relay.answers import COLD_HEADER
from mimosaworks.relay.attempt_error import (
    AttemptInDoubtError,
    AttemptNotRunError,
    AttemptRefusedError,
)
from mimosaworks.relay.caller_stream import CallerStream
from mimosaworks.relay.cutoff import Cutoff
from mimosaworks.relay.headers import copy_answer_headers
from mimosaworks.relay.not_run import says_not_run
from mimosaworks.relay.outgoing import Outgoing
from mimosaworks.relay.sent_call import note_sent
from mimosaworks.relay.stream_relay import (
    relay_events,
    relay_pieces,
    relay_tokens,
)
from mimosaworks.relay.upstream import Upstream
from mimosaworks.relay.usage import read_completion_tokens
from mimosaworks.routing import (
    CrashMonitor,
    Dispatcher,
    RetryBudget,
    RoutedRequest,
    Slot,
)
from mimosaworks.send_guard import SendGuard
from mimosaworks.serving import REQUEST_ID_HEADER

_TRANSPORT_ERRORS = (ClientError, OSError, TimeoutError)


@attrs.define
class Exchange:
    """One request with its attempts; made by the frontend.

    check raises RequestError when the request must not be sent any more.
    is_repeatable tells whether it may be sent again after a doubt. resumed_at
    is the count of tokens at which the latest attempt began.
    """

    ticket: RoutedRequest
    outgoing: Outgoing
    stream: CallerStream
    dispatcher: Dispatcher
    upstream: Upstream
    crashes: CrashMonitor
    budget: RetryBudget
    metrics: MetricsClient
    check: Callable[[], None]
    is_repeatable: bool
    was_in_doubt: bool = False
    resumed_at: int = 0

    async def run(self, cutoff: Cutoff) -> web.StreamResponse:
        """Return the whole answer to the caller, unless it is cut off.

        Raises RequestError, with run state by what the attempts left behind,
        unless the answer has begun; then the stream ends with the error.
        """
        self.budget.record_request()
        try:
            async with cutoff.limit():
                return await self._run_attempts()
        except RequestError as exc:
            if self.was_in_doubt:
                exc.run_state = RunState.MAY_HAVE_RUN
            if self.stream.resp is None:
                raise
            self._log_broken(exc)
            return await self.stream.finish_with_error(exc)

    def _log_broken(self, exc: RequestError) -> None:
        log_event(
            Event.REQUEST_REFUSED,
            request_id=self.ticket.request_id,
            kind=exc.kind.value,
            run=exc.run_state.value,
            reason=exc.message,
        )

    async def _run_attempts(self) -> web.StreamResponse:
        while True:
            self._refuse_suspect()
            slot = await self.dispatcher.acquire_slot(self.ticket)
            self.crashes.learn_generation(slot.target)
            try:
                return await self._attempt(slot)
            except AttemptNotRunError as exc:
                self.dispatcher.refund_tokens(slot)
                self._note_failed(slot, exc)
            except AttemptInDoubtError as exc:
                self.was_in_doubt = True
                self._reduce_cost()
                await self.crashes.record_failure(
                    slot.target, self.ticket.fingerprint
                )
                self._require_repeatable(exc)
                self._note_failed(slot, exc)
            finally:
                self.dispatcher.release_slot(slot)

    def _refuse_suspect(self) -> None:
        if self.dispatcher.targets.suspects.is_refused(self.ticket.fingerprint):
            raise RequestError(
                ErrorKind.CRASH_SUSPECT,
                'this request crashed the targets that ran it',
            )

    async def _attempt(self, slot: Slot) -> web.StreamResponse:
        guard = SendGuard(self.check)
        try:
            with _noted_doubt(self, guard):
                return await self._send(slot, guard)
        except _TRANSPORT_ERRORS as exc:
            if guard.is_sending:
                raise AttemptInDoubtError(repr(exc)) from exc
            raise AttemptNotRunError(repr(exc)) from exc
        except RequestError:
            if not guard.is_sending:
                self.dispatcher.refund_tokens(slot)
            raise

    async def _send(self, slot: Slot, guard: SendGuard) -> web.StreamResponse:
        sending = self.upstream.send(
            slot.target,
            self.outgoing,
            guard,
            resume_from=self.stream.counter.tokens,
            is_repeatable=self.is_repeatable,
        )
        left_s = self.ticket.deadline.remaining_s(now_s())
        try:
            async with asyncio.timeout(left_s) as limit, sending as body:
                await self._verify(slot, body)
                self._measure_first_byte()
                if body.has_events:
                    limit.reschedule(None)
                elif await body.read():
                    return await self._relay_whole(slot, body)
                return await self._relay_parts(slot, body)
        except TimeoutError as exc:
            if self.ticket.deadline.has_passed(now_s()):
                raise self._give_up(slot, guard) from exc
            raise

    async def _verify(self, slot: Slot, body: AnswerBody) -> None:
        resp = body.resp
        self.upstream.note_answer(slot.target, resp)
        answered = resp.headers.get(REQUEST_ID_HEADER, self.ticket.request_id)
        if answered != self.ticket.request_id:
            raise AttemptInDoubtError(f'answer belongs to {answered}')
        if await says_not_run(body, slot.target):
            raise AttemptRefusedError(f'target answered {resp.status}')
        if has_other_coding(resp):
            raise AttemptInDoubtError('answer has another Transfer-Encoding')
        is_resumed = self.stream.resp is not None
        if is_resumed and not body.has_events:
            raise AttemptInDoubtError(f'resume was answered {resp.status}')

    def _measure_first_byte(self) -> None:
        waited_s = now_s() - self.ticket.arrived_at_s
        self.metrics.timing(Metric.FIRST_BYTE, waited_s)

    async def _relay_whole(
        self, slot: Slot, body: AnswerBody
    ) -> web.StreamResponse:
        resp = body.resp
        await _confirm_end(self, slot, resp)
        answer = web.Response(status=resp.status, body=body.part)
        answer.headers.popall('Content-Type', None)
        copy_answer_headers(resp.headers, answer.headers)
        answer.headers[REQUEST_ID_HEADER] = self.ticket.request_id
        if self.ticket.was_cold:
            answer.headers[COLD_HEADER] = 'true'
        self._note_answered(slot, resp.status, self._used_tokens(body.part))
        return answer

    async def _relay_parts(
        self, slot: Slot, body: AnswerBody
    ) -> web.StreamResponse:
        """Relay a stream, or a plain body that is too large to be held."""
        await self.stream.begin(
            body.resp,
            was_cold=self.ticket.was_cold,
            has_events=body.has_events,
        )
        if body.has_events and self.ticket.model:
            await relay_tokens(self.stream, body)
        else:
            # A service knows no resume, nor does a plain body.
            self.is_repeatable = False
            relay = relay_events if body.has_events else relay_pieces
            await relay(
                self.stream, body, lambda: _confirm_end(self, slot, body.resp)
            )
        tokens = self.stream.counter.tokens
        if not body.has_events:
            tokens = self._used_tokens(body.part)
        self._note_answered(slot, body.resp.status, tokens)
        return await self.stream.finish()

    def _note_answered(self, slot: Slot, status: int, tokens: int) -> None:
        unused = self.ticket.max_tokens - (tokens - self.resumed_at)
        self.dispatcher.refund_tokens(slot, max(unused, 0))
        slot.target_status.record_success()
        self.crashes.record_success(self.ticket.fingerprint)
        log_event(
            Event.REQUEST_ANSWERED,
            request_id=self.ticket.request_id,
            target=slot.target.name,
            status=status,
            tokens=tokens,
            seconds=now_s() - slot.started_at_s,
        )

    def _used_tokens(self, body: bytes) -> int:
        if not self.ticket.model:
            return 0
        return read_completion_tokens(body, self.ticket.max_tokens)

    def _note_failed(self, slot: Slot, exc: Exception) -> None:
        if isinstance(exc, AttemptRefusedError):
            self.dispatcher.targets.record_refusal(
                slot.target.name, self.ticket.queue_key, now_s()
            )
        else:
            slot.target_status.record_failure(now_s())
            self.upstream.note_failure(slot.target)
        self.metrics.count(Metric.REQUESTS_RETRIED)
        self.ticket.failed_targets.add(slot.target.name)
        log_event(
            Event.REQUEST_RETRIED,
            request_id=self.ticket.request_id,
            target=slot.target.name,
            tokens=self.stream.counter.tokens,
            reason=str(exc),
        )
        if not self.budget.try_acquire_retry():
            raise RequestError(
                ErrorKind.TARGET_FAILED,
                f'target failed and no retry is left: {exc}',
                run_state=RunState.NOT_RUN,
            ) from exc

    def _reduce_cost(self) -> None:
        # A resumed stream generates only the tokens that are missing.
        sent = self.stream.counter.tokens - self.resumed_at
        self.resumed_at = self.stream.counter.tokens
        prompt = self.ticket.cost_tokens - self.ticket.max_tokens
        self.ticket.max_tokens = max(self.ticket.max_tokens - sent, 0)
        self.ticket.cost_tokens = prompt + self.ticket.max_tokens

    def _require_repeatable(self, exc: Exception) -> None:
        if not self.is_repeatable:
            raise RequestError(
                ErrorKind.TARGET_ANSWER_LOST, f'answer was lost: {exc}'
            ) from exc

    def _give_up(self, slot: Slot, guard: SendGuard) -> RequestError:
        self.was_in_doubt = self.was_in_doubt or guard.is_sending
        log_event(
            Event.REQUEST_REFUSED,
            request_id=self.ticket.request_id,
            target=slot.target.name,
            reason='deadline passed at the target',
        )
        return RequestError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no answer in time',
            run_state=RunState.NOT_RUN,
        )


async def _confirm_end(
    exchange: Exchange, slot: Slot, resp: ClientResponse
) -> None:
    """Raise ClientError unless the end of a body shows that it is whole."""
    sent = note_sent(
        slot.target,
        exchange.outgoing,
        slot.started_at_s,
        exchange.ticket.deadline,
    )
    await exchange.upstream.confirm_end(sent, resp)


@contextlib.contextmanager
def _noted_doubt(exchange: Exchange, guard: SendGuard) -> Generator[None]:
    try:
        yield
    except asyncio.CancelledError:
        exchange.was_in_doubt = exchange.was_in_doubt or guard.is_sending
        raise
