"""Queues requests and hands each a target, in fair order."""

import asyncio
import contextlib
import random

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.events import Event, log_event
from mimosaworks.limits import Receipt
from mimosaworks.metrics import Metric, MetricsClient
from mimosaworks.routing.choice import Choice, choose_target
from mimosaworks.routing.lane import Lane, Waiter
from mimosaworks.routing.lane_key import LaneKey
from mimosaworks.routing.slot import Slot
from mimosaworks.routing.target_pool import TargetPool
from mimosaworks.routing.ticket import Ticket
from mimosaworks.routing.tokens import NO_CHARGE, Tokens

OPEN_WEIGHT = 100.0
MAX_WAITING = 2000  # requests in one lane of one router
MIN_COST_TOKENS = 1.0
DROP_IDLE_S = 300.0
RECHECK_S = 0.05  # while a target's cool-down or exclusive run ends


@attrs.define
class Dispatcher:
    """Owns the lanes of one router; targets says who can take a request."""

    targets: TargetPool
    tokens: Tokens
    rng: random.Random
    metrics: MetricsClient
    lanes: dict[LaneKey, Lane] = attrs.field(factory=dict)
    _waiting: dict[LaneKey, Lane] = attrs.field(factory=dict)

    async def acquire(self, ticket: Ticket) -> Slot:
        """Wait for the ticket's turn, tokens and target.

        Raises RequestError when the deadline passes or tokens won't come;
        nothing was sent to a target then.
        """
        self._check_feasible(ticket)
        while not ticket.deadline.has_passed(now_s()):
            await self._wait_turn(ticket)
            slot = self._dispatch(ticket, self._take_tokens(ticket))
            if slot is not None:
                return slot
            # The room that this request did not use goes to the next one.
            self.pump()
            slot = self._dispatch(ticket, await self._wait_tokens(ticket))
            if slot is not None:
                return slot
        raise self._too_late(ticket)

    def release(self, slot: Slot) -> None:
        """Give the place back and let waiting requests go on."""
        slot.state.in_flight -= 1
        slot.lane.running -= 1
        slot.lane.estimate.note_service(now_s() - slot.started_at_s)
        if slot.state.in_flight == 0:
            slot.state.exclusive_to = ''
        self.pump()

    def refund(self, slot: Slot, unused: float | None = None) -> None:
        """Give tokens back that were not used; all by default."""
        receipt = slot.receipt
        self.tokens.refund(
            receipt, receipt.tokens if unused is None else unused
        )

    def pump(self) -> None:
        """Let requests go on that targets have room for."""
        for key, lane in tuple(self._waiting.items()):
            lane.note_serving(self.targets.is_served(key), now_s())
            lane.pump()
            if not len(lane):
                self._waiting.pop(key)

    async def run(self) -> None:
        """Pump after each change of the replicas and at least each RECHECK_S.

        A target's cool-down ends without a message that would tell. Lanes
        that were idle for DROP_IDLE_S are dropped: adapters are many.
        """
        drop_at_s = now_s() + DROP_IDLE_S
        while True:
            if now_s() > drop_at_s:
                drop_at_s = now_s() + DROP_IDLE_S
                self._drop_idle()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECHECK_S):
                    await self.targets.replicas.wait_changed()
            self.pump()

    def lane(self, ticket: Ticket) -> Lane:
        """Return the ticket's lane, made when it is the first."""
        key = ticket.lane_key
        if key not in self.lanes:
            self.lanes[key] = Lane(
                lambda granted: self.targets.has_room(key, granted)
            )
        return self.lanes[key]

    def _drop_idle(self) -> None:
        for key, lane in tuple(self.lanes.items()):
            if lane.is_idle:
                self.lanes.pop(key)
            lane.is_idle = not len(lane) and not lane.running

    def _check_feasible(self, ticket: Ticket) -> None:
        # A request that can't be served in time is told so on arrival.
        left_s = ticket.deadline.remaining_s(now_s())
        lane = self.lane(ticket)
        if len(lane) >= MAX_WAITING:
            raise RequestError(ErrorKind.QUEUE_FULL, 'too many requests wait')
        places = self.targets.max_in_flight * len(
            self.targets.serving(ticket.lane_key)
        )
        wait_s = lane.estimate.queue_wait_s(len(lane), places)
        if wait_s > left_s:
            raise RequestError(
                ErrorKind.DEADLINE_UNREACHABLE,
                f'the expected wait is {wait_s:.1f} s',
                retry_after_s=wait_s - left_s,
            )
        if ticket.workspace and ticket.cost_tokens:
            self.tokens.check(ticket.workspace.name, ticket.cost_tokens, left_s)

    async def _wait_turn(self, ticket: Ticket) -> None:
        workspace = ticket.workspace
        waiter = Waiter(
            workspace=ticket.workspace_name,
            weight=workspace.rate_tokens_per_s if workspace else OPEN_WEIGHT,
            cost=max(ticket.cost_tokens, MIN_COST_TOKENS),
            priority=ticket.priority,
        )
        lane = self.lane(ticket)
        ticket.was_cold = ticket.was_cold or not self.targets.is_served(
            ticket.lane_key
        )
        lane.is_idle = False
        self._waiting[ticket.lane_key] = lane
        left_s = ticket.deadline.remaining_s(now_s())
        if not await lane.wait_turn(waiter, left_s):
            raise self._too_late(ticket)
        # The turn is used in this same step of the event loop by
        # _try_dispatch, so no other request can take the room between.
        lane.end_turn()

    def _dispatch(self, ticket: Ticket, receipt: Receipt | None) -> Slot | None:
        if receipt is None:
            return None
        choice = choose_target(
            self.targets.candidates(ticket), ticket.prompt_prefix, self.rng
        )
        if choice is None:
            self.tokens.refund(receipt, receipt.tokens)
            return None
        return self._occupy(ticket, choice, receipt)

    def _occupy(self, ticket: Ticket, choice: Choice, receipt: Receipt) -> Slot:
        state = choice.target
        state.in_flight += 1
        lane = self.lane(ticket)
        lane.running += 1
        if self.targets.suspects.is_suspect(ticket.mark):
            state.exclusive_to = ticket.mark
        self._measure(ticket)
        log_event(
            Event.ROUTING_DECIDED,
            request_id=ticket.request_id,
            workspace=ticket.workspace_name,
            lane=str(ticket.lane_key),
            choice=state.name,
            runners_up=list(choice.runners_up),
            reason=choice.reason,
        )
        target = self.targets.catalogue().target[state.name]
        return Slot(target, state, lane, receipt, now_s())

    def _measure(self, ticket: Ticket) -> None:
        wait_s = now_s() - ticket.arrived_at_s
        metric = Metric.COLD_START if ticket.was_cold else Metric.REQUEST_WAIT
        self.metrics.timing(metric, wait_s)
        self.metrics.count(Metric.TOKENS_DISPATCHED, ticket.cost_tokens)

    def _take_tokens(self, ticket: Ticket) -> Receipt | None:
        if ticket.workspace is None or not ticket.cost_tokens:
            return NO_CHARGE
        return self.tokens.try_take(ticket.workspace.name, ticket.cost_tokens)

    async def _wait_tokens(self, ticket: Ticket) -> Receipt | None:
        left_s = ticket.deadline.remaining_s(now_s())
        if ticket.workspace is None or not self.targets.candidates(ticket):
            # A suspect waits for a target without other requests.
            await asyncio.sleep(min(left_s, RECHECK_S))
            return None
        return await self.tokens.acquire(
            ticket.workspace.name, ticket.cost_tokens, left_s
        )

    def _too_late(self, ticket: Ticket) -> RequestError:
        return _timeout_error(
            ticket, has_target=bool(self.targets.serving(ticket.lane_key))
        )


def _timeout_error(ticket: Ticket, *, has_target: bool) -> RequestError:
    if has_target:
        return RequestError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no target was free in time',
            run_state=RunState.NOT_RUN,
        )
    if ticket.model:
        return RequestError(
            ErrorKind.MODEL_NOT_READY,
            f'model {ticket.model} was not ready in time',
        )
    return RequestError(ErrorKind.NO_TARGET, 'the pool has no target')
