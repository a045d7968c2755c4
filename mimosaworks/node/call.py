"""One request of a caller at an entry node."""

import attrs
from aiohttp import ClientError, web

from mimosaworks.clock import now_s
from mimosaworks.deployment import CallFacts, ServiceRoute
from mimosaworks.node.attempt_error import CallerDisconnectedError
from mimosaworks.node.event_buffer import EventBuffer
from mimosaworks.wire import CallAsk


@attrs.define(eq=False)
class RelayedStream:
    """The part of a stream that went to the caller.

    out keeps the head of the first target's answer when the stream goes on
    at another target.
    """

    response: web.StreamResponse
    event_buffer: EventBuffer = attrs.field(factory=EventBuffer)
    is_complete: bool = False

    async def write(self, req: web.BaseRequest, chunk: bytes) -> None:
        """Pass bytes on, behind the head; raises CallerLeftError."""
        try:
            await self._write(req, chunk)
        except (ClientError, OSError) as exc:
            raise CallerDisconnectedError(repr(exc)) from exc

    async def finish(self, req: web.BaseRequest) -> None:
        """Complete the answer."""
        await self.write(req, self.event_buffer.flush())
        try:
            await self.response.write_eof()
        except (ClientError, OSError) as exc:
            raise CallerDisconnectedError(repr(exc)) from exc
        self.is_complete = True

    async def _write(self, req: web.BaseRequest, chunk: bytes) -> None:
        if not self.response.prepared:
            await self.response.prepare(req)
        if chunk:
            await self.response.write(chunk)


@attrs.define(eq=False)
class Call:
    """A request that was admitted, with its body.

    deadline_s is on this process's clock; time after it helps nobody.
    asks counts the times a target was asked for, resends the sends after
    the first; target is where it runs now. may_have_run: a send failed that
    may have run. passed is what the caller has of an
    answer, sent_s when the request went to its target. is_cut: the node
    ends it. ends_conn: the caller's connection ends with the answer.
    """

    req: web.BaseRequest
    request_id: str
    route: ServiceRoute
    service: str
    workspace: str | None
    cost: float
    priority: int
    facts: CallFacts
    body: bytes
    arrived_s: float
    deadline_s: float
    fingerprint: str = ''
    assignment_attempts: int = 0
    resends: int = 0
    excluded_targets: set[str] = attrs.field(factory=set)
    ask: CallAsk | None = None
    target: str = ''
    sent_s: float = 0
    is_answer_started: bool = False
    may_have_run: bool = False
    relayed_stream: RelayedStream | None = None
    is_ended_by_node: bool = False
    closes_connection: bool = False

    def may_resend(self) -> bool:
        """Tell whether it may be sent again though it may have run."""
        may_repeat = self.route.may_repeat and self.relayed_stream is None
        may_repeat = may_repeat or self.route.is_resumable
        return may_repeat and self.resends + 1 < self.route.max_attempts

    def remaining_s(self) -> float:
        """Return the seconds until the deadline; never below zero."""
        return max(self.deadline_s - now_s(), 0)

    def first_event_remaining_s(self) -> float:
        """Return the seconds in which the first event still helps."""
        first_event_timeout_s = self.route.patience_s - self.age_s()
        return max(min(first_event_timeout_s, self.remaining_s()), 0)

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return now_s() - self.arrived_s
