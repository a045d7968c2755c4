"""Queues requests and hands each a target, in fair order."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from mimosaworks.clock import now_s
from mimosaworks.entities import Catalogue, Target
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.events import Event, log_event
from mimosaworks.limits import Receipt
from mimosaworks.routing.choice import Choice, choose_target
from mimosaworks.routing.lane import Lane, Waiter
from mimosaworks.routing.lane_key import LaneKey
from mimosaworks.routing.replica_table import ReplicaTable
from mimosaworks.routing.slot import Slot
from mimosaworks.routing.suspects import SuspectTable
from mimosaworks.routing.target_state import TargetState
from mimosaworks.routing.ticket import Ticket
from mimosaworks.routing.tokens import NO_CHARGE, Tokens

OPEN_WEIGHT = 100.0
MAX_WAITING = 2000  # requests in one lane of one router
MIN_COST_TOKENS = 1.0
RECHECK_S = 0.05  # while a target's cool-down or exclusive run ends


@attrs.define
class Dispatcher:
    """Owns the lanes and the target states of one router.

    max_in_flight limits this router's requests at one target, so that the
    order of service is decided here and not in the target's own queue.
    """

    catalogue: Callable[[], Catalogue]
    tokens: Tokens
    replicas: ReplicaTable
    suspects: SuspectTable
    max_in_flight: int
    is_leaving: Callable[[Target], bool]
    rng: random.Random
    lanes: dict[LaneKey, Lane] = attrs.field(factory=dict)
    _states: dict[str, TargetState] = attrs.field(factory=dict)

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
        for key, lane in self.lanes.items():
            lane.note_serving(self._is_served(key), now_s())
            lane.pump()

    async def run(self) -> None:
        """Pump after each change of the replicas and at least each RECHECK_S.

        A target's cool-down ends without a message that would tell.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECHECK_S):
                    await self.replicas.wait_changed()
            self.pump()

    def lane(self, ticket: Ticket) -> Lane:
        """Return the ticket's lane, made when it is the first."""
        key = ticket.lane_key
        if key not in self.lanes:
            self.lanes[key] = Lane(
                lambda granted: self._has_room(ticket, granted)
            )
        return self.lanes[key]

    def candidates(self, ticket: Ticket) -> list[TargetState]:
        """Return the targets that may take the ticket now.

        Targets that failed it or are cooling down are left out unless no
        other is there.
        """
        now = now_s()
        open_states = [
            state
            for state in self._serving(ticket)
            if self._may_take(state, ticket)
        ]
        healthy = [
            state
            for state in open_states
            if not state.is_cooling(now) and state.name not in ticket.tried
        ]
        return healthy or [
            state for state in open_states if not state.is_cooling(now)
        ]

    def _serving(self, ticket: Ticket) -> list[TargetState]:
        targets = self.catalogue().target
        if ticket.model:
            ready = self.replicas.ready(ticket.model, ticket.adapter)
            names = [entry.target for entry in ready]
        else:
            names = [
                target.name
                for target in targets.values()
                if target.pool == ticket.route.pool
            ]
        return [
            self._states.setdefault(name, TargetState(name))
            for name in names
            if name in targets and not self.is_leaving(targets[name])
        ]

    def _may_take(self, state: TargetState, ticket: Ticket) -> bool:
        if state.exclusive_to:
            return False
        if self.suspects.is_suspect(ticket.mark):
            return state.in_flight == 0
        return state.in_flight < self.max_in_flight

    def _has_room(self, ticket: Ticket, granted: int) -> bool:
        states = self._serving(ticket)
        now = now_s()
        room = sum(
            self.max_in_flight - state.in_flight
            for state in states
            if not state.is_cooling(now) and not state.exclusive_to
        )
        return room > granted

    def _check_feasible(self, ticket: Ticket) -> None:
        # A request that can't be served in time is told so on arrival.
        left_s = ticket.deadline.remaining_s(now_s())
        lane = self.lane(ticket)
        if len(lane) >= MAX_WAITING:
            raise RequestError(ErrorKind.QUEUE_FULL, 'too many requests wait')
        places = self.max_in_flight * len(self._serving(ticket))
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
            self.candidates(ticket), ticket.prompt_prefix, self.rng
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
        if self.suspects.is_suspect(ticket.mark):
            state.exclusive_to = ticket.mark
        log_event(
            Event.ROUTING_DECIDED,
            request_id=ticket.request_id,
            workspace=ticket.workspace_name,
            lane=str(ticket.lane_key),
            choice=state.name,
            runners_up=list(choice.runners_up),
            reason=choice.reason,
        )
        target = self.catalogue().target[state.name]
        return Slot(target, state, lane, receipt, now_s())

    def _take_tokens(self, ticket: Ticket) -> Receipt | None:
        if ticket.workspace is None or not ticket.cost_tokens:
            return NO_CHARGE
        return self.tokens.try_take(ticket.workspace.name, ticket.cost_tokens)

    async def _wait_tokens(self, ticket: Ticket) -> Receipt | None:
        left_s = ticket.deadline.remaining_s(now_s())
        if ticket.workspace is None or not self.candidates(ticket):
            # A suspect waits for a target without other requests.
            await asyncio.sleep(min(left_s, RECHECK_S))
            return None
        return await self.tokens.acquire(
            ticket.workspace.name, ticket.cost_tokens, left_s
        )

    def _is_served(self, key: LaneKey) -> bool:
        return not key.model or bool(
            self.replicas.ready(key.model, key.adapter)
        )

    def _too_late(self, ticket: Ticket) -> RequestError:
        return _timeout_error(ticket, has_target=bool(self._serving(ticket)))


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
