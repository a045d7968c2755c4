"""Queues requests and assigns targets to them in fair order."""

import asyncio
import contextlib
import random

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import ErrorKind, RequestError, RunState
from mimosaworks.events import Event, log_event
from mimosaworks.limits import TokenCharge
from mimosaworks.metrics import Metric, MetricsClient
from mimosaworks.routing.choice import TargetChoice, choose_target
from mimosaworks.routing.queue_key import QueueKey
from mimosaworks.routing.request_queue import QueuedRequest, RequestQueue
from mimosaworks.routing.routed_request import RoutedRequest
from mimosaworks.routing.slot import Slot
from mimosaworks.routing.target_pool import TargetPool
from mimosaworks.routing.token_source import NO_CHARGE, TokenSource

OPEN_ROUTE_WEIGHT = 100.0
# In one queue of one router.
MAX_QUEUED_REQUESTS = 2000
MIN_COST_TOKENS = 1.0
IDLE_QUEUE_TTL_S = 300.0
# No message announces the end of a target's cool-down or exclusive run.
DISPATCH_CHECK_INTERVAL_S = 0.05


@attrs.define
class Dispatcher:
    """The request queues of one router; assigns targets and tokens.

    targets has the targets that can accept a request.
    """

    targets: TargetPool
    tokens: TokenSource
    rng: random.Random
    metrics: MetricsClient
    queues: dict[QueueKey, RequestQueue] = attrs.field(factory=dict)
    _nonempty_queues: dict[QueueKey, RequestQueue] = attrs.field(factory=dict)

    async def acquire_slot(self, routed_req: RoutedRequest) -> Slot:
        """Wait for the request's turn, tokens and target.

        Raises RequestError when the deadline passes or the tokens can't be
        had in time; nothing was sent to a target then.
        """
        self._check_deadline_reachable(routed_req)
        while not routed_req.deadline.has_passed(now_s()):
            await self._wait_for_turn(routed_req)
            slot = self._assign_target(
                routed_req, self._try_acquire_tokens(routed_req)
            )
            if slot is not None:
                return slot
            # The slot that this request did not use goes to the next one.
            self.grant_turns()
            slot = self._assign_target(
                routed_req, await self._wait_for_tokens(routed_req)
            )
            if slot is not None:
                return slot
        raise self._deadline_error(routed_req)

    def release_slot(self, slot: Slot) -> None:
        """Free a slot and grant turns to waiting requests."""
        slot.target_status.in_flight -= 1
        slot.queue.running_count -= 1
        slot.queue.wait_estimate.record_service_time(
            now_s() - slot.started_at_s
        )
        if slot.target_status.in_flight == 0:
            slot.target_status.exclusive_fingerprint = ''
        self.grant_turns()

    def refund_tokens(self, slot: Slot, unused: float | None = None) -> None:
        """Refund unused tokens of a slot; all of them by default."""
        charge = slot.charge
        self.tokens.refund(charge, charge.tokens if unused is None else unused)

    def grant_turns(self) -> None:
        """Grant turns to the requests for which targets have free slots."""
        for key, queue in tuple(self._nonempty_queues.items()):
            queue.update_cold_start(
                self.targets.has_serving_target(key), now_s()
            )
            queue.grant_turns()
            if not len(queue):
                self._nonempty_queues.pop(key)

    async def run(self) -> None:
        """Grant turns after each change of the replicas, until cancelled.

        Also at least each DISPATCH_CHECK_INTERVAL_S, since a target's
        cool-down ends without a message. Queues that were idle for
        IDLE_QUEUE_TTL_S are dropped, since there are many adapters.
        """
        next_drop_s = now_s() + IDLE_QUEUE_TTL_S
        while True:
            if now_s() > next_drop_s:
                next_drop_s = now_s() + IDLE_QUEUE_TTL_S
                self._drop_idle_queues()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISPATCH_CHECK_INTERVAL_S):
                    await self.targets.replicas.wait_for_change()
            self.grant_turns()

    def find_queue(self, routed_req: RoutedRequest) -> RequestQueue:
        """Return the request's queue; create it for the first request."""
        key = routed_req.queue_key
        if key not in self.queues:
            self.queues[key] = RequestQueue(
                lambda granted: self.targets.has_free_slot(key, granted)
            )
        return self.queues[key]

    def _drop_idle_queues(self) -> None:
        for key, queue in tuple(self.queues.items()):
            if queue.is_idle:
                self.queues.pop(key)
            queue.is_idle = not len(queue) and not queue.running_count

    def _check_deadline_reachable(self, routed_req: RoutedRequest) -> None:
        # A request that can't be served in time is refused on arrival.
        remaining_s = routed_req.deadline.remaining_s(now_s())
        queue = self.find_queue(routed_req)
        if len(queue) >= MAX_QUEUED_REQUESTS:
            raise RequestError(
                ErrorKind.QUEUE_FULL, 'the request queue is full'
            )
        slots = self.targets.max_in_flight * len(
            self.targets.serving_targets(routed_req.queue_key)
        )
        wait_s = queue.wait_estimate.predict_wait_s(len(queue), slots)
        if wait_s > remaining_s:
            raise RequestError(
                ErrorKind.DEADLINE_UNREACHABLE,
                f'the expected wait is {wait_s:.1f} s',
                retry_after_s=wait_s - remaining_s,
            )
        if routed_req.workspace and routed_req.cost_tokens:
            self.tokens.check_obtainable(
                routed_req.workspace.name, routed_req.cost_tokens, remaining_s
            )

    async def _wait_for_turn(self, routed_req: RoutedRequest) -> None:
        workspace = routed_req.workspace
        queued_request = QueuedRequest(
            workspace=routed_req.workspace_name,
            weight=workspace.rate_tokens_per_s
            if workspace
            else OPEN_ROUTE_WEIGHT,
            cost=max(routed_req.cost_tokens, MIN_COST_TOKENS),
            priority=routed_req.priority,
        )
        queue = self.find_queue(routed_req)
        routed_req.was_cold = (
            routed_req.was_cold
            or not self.targets.has_serving_target(routed_req.queue_key)
        )
        queue.is_idle = False
        self._nonempty_queues[routed_req.queue_key] = queue
        remaining_s = routed_req.deadline.remaining_s(now_s())
        if not await queue.wait_for_turn(queued_request, remaining_s):
            raise self._deadline_error(routed_req)
        # _assign_target uses the turn in this same step of the event loop, so
        # no other request can take the slot in between.
        queue.return_turn()

    def _assign_target(
        self, routed_req: RoutedRequest, charge: TokenCharge | None
    ) -> Slot | None:
        if charge is None:
            return None
        choice = choose_target(
            self.targets.candidates(routed_req),
            routed_req.prompt_prefix,
            self.rng,
        )
        if choice is None:
            self.tokens.refund(charge, charge.tokens)
            return None
        return self._occupy_slot(routed_req, choice, charge)

    def _occupy_slot(
        self,
        routed_req: RoutedRequest,
        choice: TargetChoice,
        charge: TokenCharge,
    ) -> Slot:
        target_status = choice.target
        target_status.in_flight += 1
        queue = self.find_queue(routed_req)
        queue.running_count += 1
        if self.targets.suspects.is_suspect(routed_req.fingerprint):
            target_status.exclusive_fingerprint = routed_req.fingerprint
        self._record_metrics(routed_req)
        log_event(
            Event.ROUTING_DECIDED,
            request_id=routed_req.request_id,
            workspace=routed_req.workspace_name,
            lane=str(routed_req.queue_key),
            choice=target_status.name,
            runners_up=list(choice.runners_up),
            reason=choice.reason,
        )
        target = self.targets.catalogue().target[target_status.name]
        return Slot(target, target_status, queue, charge, now_s())

    def _record_metrics(self, routed_req: RoutedRequest) -> None:
        wait_s = now_s() - routed_req.arrived_at_s
        metric = (
            Metric.COLD_START if routed_req.was_cold else Metric.REQUEST_WAIT
        )
        self.metrics.timing(metric, wait_s)
        self.metrics.count(Metric.TOKENS_DISPATCHED, routed_req.cost_tokens)

    def _try_acquire_tokens(
        self, routed_req: RoutedRequest
    ) -> TokenCharge | None:
        if routed_req.workspace is None or not routed_req.cost_tokens:
            return NO_CHARGE
        return self.tokens.try_acquire(
            routed_req.workspace.name, routed_req.cost_tokens
        )

    async def _wait_for_tokens(
        self, routed_req: RoutedRequest
    ) -> TokenCharge | None:
        remaining_s = routed_req.deadline.remaining_s(now_s())
        if routed_req.workspace is None or not self.targets.candidates(
            routed_req
        ):
            # A crash suspect waits for a target without other requests.
            await asyncio.sleep(min(remaining_s, DISPATCH_CHECK_INTERVAL_S))
            return None
        return await self.tokens.acquire(
            routed_req.workspace.name, routed_req.cost_tokens, remaining_s
        )

    def _deadline_error(self, routed_req: RoutedRequest) -> RequestError:
        return _timeout_error(
            routed_req,
            has_target=bool(self.targets.serving_targets(routed_req.queue_key)),
        )


def _timeout_error(
    routed_req: RoutedRequest, *, has_target: bool
) -> RequestError:
    if has_target:
        return RequestError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no target had a free slot before the deadline',
            run_state=RunState.NOT_RUN,
        )
    if routed_req.model:
        return RequestError(
            ErrorKind.MODEL_NOT_READY,
            f'model {routed_req.model} was not ready before the deadline',
        )
    return RequestError(ErrorKind.NO_TARGET, 'the pool has no target')
