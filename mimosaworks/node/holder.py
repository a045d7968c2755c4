"""What the holder of the dispatch lease does for all nodes."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import (
    Assignment,
    AssignmentRequest,
    CallOutcome,
    Decision,
    Dispatcher,
    EnginePool,
    EngineTarget,
    EntriesView,
    Refusal,
    Step,
    preload_models,
    with_current_duration,
)
from mimosaworks.errors import ErrorKind, PeerError
from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.conversions import (
    assignment_request_from,
    call_reply_from,
    target_row_from,
)
from mimosaworks.node.crash_view import crash_of_note
from mimosaworks.node.lease_handover import LeaseHandover
from mimosaworks.node.limit_monitor import LimitMonitor
from mimosaworks.node.members import Members
from mimosaworks.node.order_runner import FencedError, OrderRunner
from mimosaworks.node.stored_streams import StreamSaver, make_stream_saver
from mimosaworks.node.stored_suspects import SuspectSaver
from mimosaworks.node.suspect_monitor import SuspectMonitor
from mimosaworks.node.target_monitor import TargetMonitor
from mimosaworks.node.weights_monitor import (
    WeightsMonitor,
    log_store_load_end,
    log_store_load_start,
)
from mimosaworks.platform import StoreClient
from mimosaworks.wire import (
    Beat,
    BeatReply,
    CallAsk,
    CallReply,
    Spent,
)

TICK_S = 0.05
# The wait for the targets' entries has time for some calls to a slow store.
FIRST_ENTRIES_TIMEOUT_S = 1.0
ENTRIES_POLL_S = 0.02
# Has time for two probes of the store and an election.
VIEW_TIMEOUT_S = 1.0
OLD_VIEW_REFUSAL = Refusal(
    ErrorKind.NO_TARGET,
    VIEW_TIMEOUT_S,
    'the view of the targets is too old',
)
# Added to the deadline of a request before its job is dropped.
EXPIRED_JOB_GRACE_S = 3.0


def _ignore_rate_limited_call(_outcome: str) -> None:
    """Ignore a call beyond a rate limit."""


def _skip_early_renewal() -> None:
    """Renew the lease no earlier."""


@attrs.define(eq=False)
class Holder:
    """The lease holder: it decides for all nodes until its tasks are cancelled.

    One instance serves one election. on_fenced is called when a target has
    seen a later holder, or when the ticks failed. is_lease_verified tells
    whether the lease was checked lately, entries_view returns the targets'
    entries as they were read. pending_decisions holds the futures of the
    requests that wait, by call id. on_rate_limited_call is called with what
    became of a request for which a target's rate limit has no permit:
    'waited' or 'refused'. request_early_renewal is called when the store
    should get suspects soon. handover moves the lease to a node that reaches
    the store when this one does not. stream_saver keeps the origins of streams
    in the store, if there is one, in rows of row_bytes at most.
    """

    cluster_state: ClusterState
    dispatcher: Dispatcher
    order_runner: OrderRunner
    on_fenced: Callable[[str], None]
    is_lease_verified: Callable[[], bool]
    entries_view: Callable[[], EntriesView]
    on_rate_limited_call: Callable[[str], None] = _ignore_rate_limited_call
    request_early_renewal: Callable[[], None] = _skip_early_renewal
    members: Members = attrs.field(factory=Members)
    target_monitor: TargetMonitor = attrs.field(factory=TargetMonitor)
    weights_monitor: WeightsMonitor = attrs.field(factory=WeightsMonitor)
    suspect_monitor: SuspectMonitor = attrs.field(factory=SuspectMonitor)
    limit_monitor: LimitMonitor = attrs.field(factory=LimitMonitor)
    suspect_saver: SuspectSaver = attrs.field(factory=SuspectSaver)
    handover: LeaseHandover | None = None
    elected_s: float = attrs.field(factory=now_s)
    store: StoreClient | None = None
    row_bytes: int = 0
    stream_saver: StreamSaver | None = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda made: make_stream_saver(
                made.store,
                made.order_runner,
                made.row_bytes,
                made.elected_s,
            ),
            takes_self=True,
        ),
    )
    lease_version: int = 0
    pending_decisions: dict[str, 'asyncio.Future[Assignment | Refusal]'] = (
        attrs.field(factory=dict)
    )
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    target_log: ChangeLog[TargetEntry] = attrs.field(factory=ChangeLog)
    _applied_deployment_version: int = 0
    _applied_targets_version: int = 0
    _is_stopped: bool = False

    def start(self) -> None:
        """Apply the known cluster state and start the ticks."""
        self._apply_cluster_state()
        loops = [self._run_ticks()]
        if self.handover is not None:
            loops.append(self.handover.run())
        if self.stream_saver is not None:
            loops.append(self.stream_saver.run())
        for loop in loops:
            self._create_task(loop).add_done_callback(
                functools.partial(_step_down_on_failure, self)
            )

    def stop(self) -> None:
        """Cancel all tasks; nodes send waiting requests to the next holder."""
        self._is_stopped = True
        for task in tuple(self._tasks):
            task.cancel()
        for fut in self.pending_decisions.values():
            if not fut.done():
                fut.set_exception(
                    PeerError('another node was elected as the holder')
                )
        self.pending_decisions.clear()

    async def handle_call_ask(self, call_ask: CallAsk) -> CallReply:
        """Return a target once the request's model is loaded, or a refusal."""
        # The remaining times count from the arrival of the message.
        received_s = now_s()
        assignment_req = assignment_request_from(call_ask, received_s)
        wait_until_s = min(
            self.elected_s + FIRST_ENTRIES_TIMEOUT_S,
            assignment_req.first_event_deadline_s,
        )
        await _wait_for_target_entries(
            self.cluster_state, self.elected_s, wait_until_s
        )
        is_view_usable = await _wait_for_usable_view(
            self.handover,
            lambda: self._is_stopped,
            assignment_req.first_event_deadline_s,
        )
        if self._is_stopped:
            raise PeerError('another node was elected as the holder')
        if not is_view_usable:
            _log_decision(self, call_ask, OLD_VIEW_REFUSAL, 0)
            return call_reply_from(OLD_VIEW_REFUSAL, received_s)
        now = now_s()
        self._apply_cluster_state()
        token_wait_s = self.dispatcher.admit(assignment_req, now)
        if isinstance(token_wait_s, Refusal):
            _log_decision(self, call_ask, token_wait_s, 0)
            return call_reply_from(token_wait_s, received_s)
        if token_wait_s:
            await self._wait_for_tokens(call_ask, token_wait_s)
        decision = await self._submit_request(call_ask, assignment_req)
        if isinstance(decision, Assignment):
            incarnations = self.dispatcher.crash_tracker.incarnation_crashes
            crash_count = incarnations.count_crashes(
                decision.target, decision.incarnation
            )
            decision = attrs.evolve(
                decision,
                crash_count=crash_count,
                view_age_s=_binding_view_age_s(self.handover),
            )
        return call_reply_from(decision, received_s)

    async def handle_heartbeat(self, heartbeat: Beat) -> BeatReply:
        """Apply a node's updates; return the changes that the node lacks."""
        now = now_s()
        self.members.record_heartbeat(heartbeat.row, now)
        is_charged = self.members.shares.settle_heartbeat(
            self.dispatcher.limiter,
            heartbeat.row.name,
            now,
            is_confirmed=heartbeat.fence == self.order_runner.fence,
        )
        for running_call in heartbeat.running:
            if running_call.ask.call not in self.dispatcher.jobs:
                job = self.dispatcher.import_running_job(
                    assignment_request_from(running_call.ask, now),
                    running_call.target,
                    now,
                )
                job.is_started = running_call.is_started
        self.limit_monitor.record_announcements(self.dispatcher, heartbeat, now)
        for call_start in heartbeat.starts:
            self.dispatcher.record_first_event(
                call_start.call, call_start.first_s
            )
        self._deliver_decisions(
            self.dispatcher.record_crashes(
                map(crash_of_note, heartbeat.crashes), now
            )
        )
        for call_end in heartbeat.ends:
            outcome = CallOutcome(call_end.outcome)
            self._deliver_decisions(
                self.dispatcher.record_outcome(
                    call_end.call, outcome, call_end.duration_s, now
                )
            )
        if self.stream_saver is not None:
            self.stream_saver.record_notes(heartbeat.streams)
        if is_charged:
            self.dispatcher.limiter.charge(
                (charge.workspace, charge.cost) for charge in heartbeat.spent
            )
        for leaving_target in heartbeat.leaving:
            self.dispatcher.record_leaving_target(
                leaving_target.target, leaving_target.born
            )
        if heartbeat.leaving:
            self._deliver_decisions(
                self.dispatcher.apply_entries(self.cluster_state.targets, now)
            )
        self._start_order_runs()
        return self._make_heartbeat_reply(heartbeat, now)

    async def _wait_for_tokens(self, call_ask: CallAsk, wait_s: float) -> None:
        log_event(
            Event.CALL_POSTPONED,
            request_id=call_ask.request_id,
            call=call_ask.call,
            workspace=call_ask.workspace,
            cost=call_ask.cost,
            wait_s=wait_s,
        )
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            self.dispatcher.limiter.refund(call_ask.workspace, call_ask.cost)
            raise
        if self._is_stopped:
            raise PeerError('another node was elected as the holder')

    async def _submit_request(
        self, call_ask: CallAsk, assignment_req: AssignmentRequest
    ) -> Assignment | Refusal:
        decision = self.dispatcher.submit(assignment_req, now_s())
        self._start_order_runs()
        if isinstance(decision, Refusal) and decision.is_rate_limited:
            self.on_rate_limited_call('refused')
        if decision is not None:
            _log_decision(self, call_ask, decision, 0)
            return decision
        job = self.dispatcher.jobs[call_ask.call]
        if job.permit_wait_s:
            self.on_rate_limited_call('waited')
        log_event(
            Event.CALL_QUEUED,
            request_id=call_ask.request_id,
            call=call_ask.call,
            target=job.target,
            model=call_ask.model,
            adapter=call_ask.adapter,
            left_s=call_ask.left_s,
            limit_s=job.permit_wait_s,
        )
        return await self._wait_for_decision(call_ask)

    def _make_heartbeat_reply(self, heartbeat: Beat, now: float) -> BeatReply:
        token_balances: dict[str, float] = {}
        if heartbeat.wants_levels:
            token_balances = self.dispatcher.limiter.current_balances(now)
        deployment = self.cluster_state.deployment
        members = self.members.row_log.changes_since(heartbeat.members_version)
        targets = self.target_log.changes_since(heartbeat.targets_version)
        _check_suspects(self)
        suspects = self.suspect_monitor.row_log.changes_since(
            heartbeat.suspects_version
        )
        self.limit_monitor.update_rows(
            self.dispatcher.rate_limits, self.dispatcher.rejection_limits
        )
        limits = self.limit_monitor.row_log.changes_since(
            heartbeat.limits_version
        )
        return BeatReply(
            is_holder=True,
            fence=self.order_runner.fence,
            lease_version=self.lease_version,
            members=members.rows,
            members_gone=members.removed_names,
            members_whole=members.is_full_snapshot,
            members_version=self.members.row_log.version,
            deployment_version=0 if deployment is None else deployment.version,
            levels=tuple(
                Spent(name, balance) for name, balance in token_balances.items()
            ),
            targets=tuple(target_row_from(row, now) for row in targets.rows),
            targets_gone=targets.removed_names,
            targets_whole=targets.is_full_snapshot,
            targets_version=self.target_log.version,
            suspects=suspects.rows,
            suspects_gone=suspects.removed_names,
            suspects_whole=suspects.is_full_snapshot,
            suspects_version=self.suspect_monitor.row_log.version,
            unsaved_s=now - self.suspect_saver.saved_s,
            limits=limits.rows,
            limits_gone=limits.removed_names,
            limits_whole=limits.is_full_snapshot,
            limits_version=self.limit_monitor.row_log.version,
            interval_s=self.members.heartbeat_interval_s(),
            view_age_s=self.cluster_state.targets_age_s(),
            silent=tuple(sorted(self.members.shares.silent_nodes())),
        )

    async def _wait_for_decision(
        self, call_ask: CallAsk
    ) -> Assignment | Refusal:
        wait_started_s = now_s()
        fut: asyncio.Future[Assignment | Refusal]
        fut = asyncio.get_running_loop().create_future()
        self.pending_decisions[call_ask.call] = fut
        try:
            decision = await fut
        except asyncio.CancelledError:
            # The node has closed its connection.
            self._deliver_decisions(
                self.dispatcher.withdraw_job(call_ask.call, now_s())
            )
            raise
        finally:
            self.pending_decisions.pop(call_ask.call, None)
        _log_decision(self, call_ask, decision, now_s() - wait_started_s)
        return decision

    def _deliver_decisions(self, decisions: list[Decision]) -> None:
        for call_id, outcome in decisions:
            fut = self.pending_decisions.get(call_id)
            if fut is not None and not fut.done():
                fut.set_result(outcome)

    async def _run_ticks(self) -> None:
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            now = now_s()
            self._apply_cluster_state()
            self._deliver_decisions(self.dispatcher.decide_due_jobs(now))
            preload_models(self.dispatcher.pools.values(), now)
            self.target_monitor.log_changes(self.dispatcher.pools, now)
            self.weights_monitor.log_changes(self.dispatcher.pools, now)
            _reconcile_crashes(self, now)
            self._drop_expired_jobs(now)
            self.members.shares.withhold_from(self.dispatcher.limiter, now)
            self._start_order_runs()
            await asyncio.sleep(TICK_S)

    def _apply_cluster_state(self) -> None:
        now = now_s()
        deployment = self.cluster_state.deployment
        if deployment is None:
            return
        is_new = deployment.version != self._applied_deployment_version
        if is_new:
            self._applied_deployment_version = deployment.version
            self.dispatcher.apply_deployment(deployment, now)
        if (
            is_new
            or self._applied_targets_version
            != self.cluster_state.targets_version
        ):
            self._applied_targets_version = self.cluster_state.targets_version
            self.target_log.replace_rows(self.cluster_state.targets)
            self._deliver_decisions(
                self.dispatcher.apply_entries(self.cluster_state.targets, now)
            )

    def _start_order_runs(self) -> None:
        for name, pool in self.dispatcher.pools.items():
            if not isinstance(pool, EnginePool):
                continue
            for target in tuple(pool.targets.values()):
                if _needs_order_run(target):
                    target.is_running_orders = True
                    self._create_task(
                        self._run_target_orders(name, pool, target)
                    )

    async def _run_target_orders(
        self, service: str, pool: EnginePool, target: EngineTarget
    ) -> None:
        try:
            await self._run_order_steps(service, pool, target)
        except FencedError as exc:
            self.on_fenced(f'target {exc} has seen a later holder')
        finally:
            target.is_running_orders = False

    async def _run_order_steps(
        self, service: str, pool: EnginePool, target: EngineTarget
    ) -> None:
        if not target.is_synced:
            await self.order_runner.sync_models(target)
        while target.steps and pool.contains_target(target):
            while not self.is_lease_verified():
                await asyncio.sleep(TICK_S)
            step = with_current_duration(target, target.steps.popleft())
            is_done = await _run_order_step(
                self.order_runner, service, pool, target, step
            )
            report_outcome = (
                self.dispatcher.record_finished_step
                if is_done
                else self.dispatcher.record_failed_step
            )
            self._deliver_decisions(
                report_outcome(service, target, step, now_s())
            )
            if step.is_from_store:
                log_store_load_end(
                    service, pool, target, step.model, is_done=is_done
                )
            if not is_done:
                # Orders for other requests may now be queued at other targets.
                self._start_order_runs()
                return

    def _drop_expired_jobs(self, now: float) -> None:
        lost_members = self.members.remove_silent_members(now)
        for call_id, job in list(self.dispatcher.jobs.items()):
            is_expired = (
                now > job.assignment_req.deadline_s + EXPIRED_JOB_GRACE_S
            )
            if is_expired or job.assignment_req.node in lost_members:
                log_event(
                    Event.CALL_FORGOTTEN,
                    call=call_id,
                    node=job.assignment_req.node,
                )
                self._deliver_decisions(
                    self.dispatcher.withdraw_job(call_id, now, may_run=True)
                )

    def _create_task(
        self, coro: Coroutine[Any, Any, None]
    ) -> 'asyncio.Task[None]':
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _step_down_on_failure(holder: Holder, task: 'asyncio.Task[None]') -> None:
    """Step down when the ticks have failed, so that another node is elected."""
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        task.get_loop().call_exception_handler({
            'message': 'the ticks of the holder failed',
            'exception': exc,
        })
        holder.on_fenced(f'the ticks failed: {exc!r}')


async def _wait_for_target_entries(
    cluster_state: ClusterState, elected_s: float, wait_until_s: float
) -> None:
    """Wait until the targets' entries were read since a holder's election.

    Before that the holder may know no target, or outdated models of them.
    """
    while cluster_state.targets_read_s < elected_s and now_s() < wait_until_s:
        await asyncio.sleep(ENTRIES_POLL_S)


async def _wait_for_usable_view(
    handover: LeaseHandover | None,
    is_stopped: Callable[[], bool],
    first_event_deadline_s: float,
) -> bool:
    """Wait while the holder's view is too old; return whether it is usable.

    Meanwhile it is read again, or another node gets the lease, or it is found
    that the store answers no node.
    """
    if handover is None:
        return True
    wait_until_s = min(now_s() + VIEW_TIMEOUT_S, first_event_deadline_s)
    while not handover.is_view_usable() and now_s() < wait_until_s:
        if is_stopped():
            break
        await asyncio.sleep(ENTRIES_POLL_S)
    return handover.is_view_usable()


def _binding_view_age_s(handover: LeaseHandover | None) -> float:
    return 0 if handover is None else handover.binding_age_s()


def _reconcile_crashes(holder: Holder, now: float) -> None:
    view = holder.entries_view()
    # Removals of entries before this holder's election were not observed.
    since_s = max(view.read_since_s, holder.elected_s)
    view = attrs.evolve(view, read_since_s=since_s)
    holder.dispatcher.crash_tracker.reconcile_entries(view, now)
    _check_suspects(holder)


def _check_suspects(holder: Holder) -> None:
    """Have new suspects stored soon, so that the next holder knows them."""
    if holder.suspect_monitor.update_rows(holder.dispatcher.crash_tracker):
        holder.request_early_renewal()


def _needs_order_run(target: EngineTarget) -> bool:
    has_work = bool(target.steps) or not target.is_synced
    return has_work and not target.is_running_orders


async def _run_order_step(
    orders: OrderRunner,
    service: str,
    pool: EnginePool,
    target: EngineTarget,
    step: Step,
) -> bool:
    if not target.is_synced or not target.can_run_step(step):
        return False
    if step.is_from_store:
        pool.store_loads.record_load_sent(target, step, now_s())
        log_store_load_start(service, pool, target, step.model)
    return await orders.run_order(target, step)


def _log_decision(
    holder: Holder,
    call_ask: CallAsk,
    decision: Assignment | Refusal,
    decision_wait_s: float,
) -> None:
    log_event(
        Event.CALL_DECIDED,
        request_id=call_ask.request_id,
        call=call_ask.call,
        node=call_ask.node,
        target='' if isinstance(decision, Refusal) else decision.target,
        kind=decision.kind.value if isinstance(decision, Refusal) else '',
        reason=decision.reason,
        waited_s=decision_wait_s,
        left_s=call_ask.left_s - decision_wait_s,
        excluded=list(call_ask.excluded),
        view_age_s=holder.cluster_state.targets_age_s(),
    )
