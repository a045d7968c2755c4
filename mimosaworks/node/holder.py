"""What the holder of the dispatch lease does for all nodes."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry
from mimosaworks.dispatch import (
    Ask,
    Assignment,
    CallOutcome,
    Decided,
    Dispatcher,
    EnginePool,
    EngineTarget,
    EntriesView,
    Refusal,
    Step,
    load_ahead,
    timed,
)
from mimosaworks.errors import PeerError
from mimosaworks.events import Event, log_event
from mimosaworks.node.beliefs import Beliefs
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.node.conversions import (
    ask_of,
    reply_of,
    row_of_target,
)
from mimosaworks.node.crash_view import crash_of_note
from mimosaworks.node.limit_watch import LimitMonitor
from mimosaworks.node.members import Members
from mimosaworks.node.order_runner import FencedError, OrderRunner
from mimosaworks.node.stored_suspects import SuspectSaver
from mimosaworks.node.suspect_watch import SuspectMonitor
from mimosaworks.node.target_watch import TargetMonitor
from mimosaworks.node.weights_watch import (
    WeightsMonitor,
    log_store_load_end,
    log_store_load_start,
)
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
    should get suspects soon.
    """

    beliefs: Beliefs
    dispatcher: Dispatcher
    orders: OrderRunner
    on_fenced: Callable[[str], None]
    is_sure: Callable[[], bool]
    view: Callable[[], EntriesView]
    on_limited: Callable[[str], None] = _ignore_rate_limited_call
    renew_soon: Callable[[], None] = _skip_early_renewal
    members: Members = attrs.field(factory=Members)
    target_monitor: TargetMonitor = attrs.field(factory=TargetMonitor)
    weights_monitor: WeightsMonitor = attrs.field(factory=WeightsMonitor)
    suspect_monitor: SuspectMonitor = attrs.field(factory=SuspectMonitor)
    limit_monitor: LimitMonitor = attrs.field(factory=LimitMonitor)
    saver: SuspectSaver = attrs.field(factory=SuspectSaver)
    lease_version: int = 0
    replies: dict[str, 'asyncio.Future[Assignment | Refusal]'] = attrs.field(
        factory=dict
    )
    elected_s: float = attrs.field(factory=now_s)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    target_log: ChangeLog[TargetEntry] = attrs.field(factory=ChangeLog)
    _applied_deployment_version: int = 0
    _applied_targets_version: int = 0
    _is_stopped: bool = False

    def start(self) -> None:
        """Apply the known cluster state and start the ticks."""
        self._apply_cluster_state()
        tick_task = self._create_task(self._run_ticks())
        tick_task.add_done_callback(
            functools.partial(_step_down_on_failure, self)
        )

    def stop(self) -> None:
        """Cancel all tasks; nodes send waiting requests to the next holder."""
        self._is_stopped = True
        for task in tuple(self._tasks):
            task.cancel()
        for fut in self.replies.values():
            if not fut.done():
                fut.set_exception(
                    PeerError('another node was elected as the holder')
                )
        self.replies.clear()

    async def on_ask(self, call_ask: CallAsk) -> CallReply:
        """Return a target once the request's model is loaded, or a refusal."""
        # The remaining times count from the arrival of the message.
        received_s = now_s()
        assignment_req = ask_of(call_ask, received_s)
        wait_until_s = min(
            self.elected_s + FIRST_ENTRIES_TIMEOUT_S, assignment_req.first_by_s
        )
        await _wait_for_target_entries(
            self.beliefs, self.elected_s, wait_until_s
        )
        if self._is_stopped:
            raise PeerError('another node was elected as the holder')
        now = now_s()
        self._apply_cluster_state()
        token_wait_s = self.dispatcher.admit(assignment_req, now)
        if isinstance(token_wait_s, Refusal):
            _log_decision(call_ask, token_wait_s, 0)
            return reply_of(token_wait_s, received_s)
        if token_wait_s:
            await self._wait_for_tokens(call_ask, token_wait_s)
        decision = await self._submit_request(call_ask, assignment_req)
        if isinstance(decision, Assignment):
            incarnations = self.dispatcher.crashes.births
            crash_count = incarnations.count(decision.target, decision.born)
            decision = attrs.evolve(decision, ended=crash_count)
        return reply_of(decision, received_s)

    async def on_beat(self, heartbeat: Beat) -> BeatReply:
        """Apply a node's updates; return the changes that the node lacks."""
        now = now_s()
        self.members.note(heartbeat.row, now)
        for running_call in heartbeat.running:
            if running_call.ask.call not in self.dispatcher.jobs:
                job = self.dispatcher.resume(
                    ask_of(running_call.ask, now), running_call.target, now
                )
                job.is_started = running_call.is_started
        self.limit_monitor.record_announcements(self.dispatcher, heartbeat, now)
        for call_start in heartbeat.starts:
            self.dispatcher.started(call_start.call, call_start.first_s)
        self._deliver_decisions(
            self.dispatcher.note_ends(
                map(crash_of_note, heartbeat.crashes), now
            )
        )
        for call_end in heartbeat.ends:
            outcome = CallOutcome(call_end.outcome)
            self._deliver_decisions(
                self.dispatcher.ended(
                    call_end.call, outcome, call_end.duration_s, now
                )
            )
        self.dispatcher.limiter.charge(
            (charge.workspace, charge.cost) for charge in heartbeat.spent
        )
        for leaving_target in heartbeat.leaving:
            self.dispatcher.note_leaving(
                leaving_target.target, leaving_target.born
            )
        if heartbeat.leaving:
            self._deliver_decisions(
                self.dispatcher.follow_entries(self.beliefs.targets, now)
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
            self.dispatcher.limiter.give_back(call_ask.workspace, call_ask.cost)
            raise
        if self._is_stopped:
            raise PeerError('another node was elected as the holder')

    async def _submit_request(
        self, call_ask: CallAsk, assignment_req: Ask
    ) -> Assignment | Refusal:
        decision = self.dispatcher.submit(assignment_req, now_s())
        self._start_order_runs()
        if isinstance(decision, Refusal) and decision.is_limited:
            self.on_limited('refused')
        if decision is not None:
            _log_decision(call_ask, decision, 0)
            return decision
        job = self.dispatcher.jobs[call_ask.call]
        if job.limit_s:
            self.on_limited('waited')
        log_event(
            Event.CALL_QUEUED,
            request_id=call_ask.request_id,
            call=call_ask.call,
            target=job.target,
            model=call_ask.model,
            adapter=call_ask.adapter,
            left_s=call_ask.left_s,
            limit_s=job.limit_s,
        )
        return await self._wait_for_decision(call_ask)

    def _make_heartbeat_reply(self, heartbeat: Beat, now: float) -> BeatReply:
        token_balances: dict[str, float] = {}
        if heartbeat.wants_levels:
            token_balances = self.dispatcher.limiter.levels(now)
        deployment = self.beliefs.deployment
        members = self.members.row_log.changes_since(heartbeat.members_version)
        targets = self.target_log.changes_since(heartbeat.targets_version)
        _check_suspects(self)
        suspects = self.suspect_monitor.row_log.changes_since(
            heartbeat.suspects_version
        )
        self.limit_monitor.update_rows(self.dispatcher.limits)
        limits = self.limit_monitor.row_log.changes_since(
            heartbeat.limits_version
        )
        return BeatReply(
            is_holder=True,
            fence=self.orders.fence,
            lease_version=self.lease_version,
            members=members.rows,
            members_gone=members.removed_names,
            members_whole=members.is_full_snapshot,
            members_version=self.members.row_log.version,
            deployment_version=0 if deployment is None else deployment.version,
            levels=tuple(
                Spent(name, balance) for name, balance in token_balances.items()
            ),
            targets=tuple(map(row_of_target, targets.rows)),
            targets_gone=targets.removed_names,
            targets_whole=targets.is_full_snapshot,
            targets_version=self.target_log.version,
            suspects=suspects.rows,
            suspects_gone=suspects.removed_names,
            suspects_whole=suspects.is_full_snapshot,
            suspects_version=self.suspect_monitor.row_log.version,
            unsaved_s=now - self.saver.saved_s,
            limits=limits.rows,
            limits_gone=limits.removed_names,
            limits_whole=limits.is_full_snapshot,
            limits_version=self.limit_monitor.row_log.version,
            interval_s=self.members.heartbeat_interval_s(),
        )

    async def _wait_for_decision(
        self, call_ask: CallAsk
    ) -> Assignment | Refusal:
        wait_started_s = now_s()
        fut: asyncio.Future[Assignment | Refusal]
        fut = asyncio.get_running_loop().create_future()
        self.replies[call_ask.call] = fut
        try:
            decision = await fut
        except asyncio.CancelledError:
            # The node has closed its connection.
            self._deliver_decisions(
                self.dispatcher.withdraw(call_ask.call, now_s())
            )
            raise
        finally:
            self.replies.pop(call_ask.call, None)
        _log_decision(call_ask, decision, now_s() - wait_started_s)
        return decision

    def _deliver_decisions(self, decisions: list[Decided]) -> None:
        for call_id, outcome in decisions:
            fut = self.replies.get(call_id)
            if fut is not None and not fut.done():
                fut.set_result(outcome)

    async def _run_ticks(self) -> None:
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            now = now_s()
            self._apply_cluster_state()
            self._deliver_decisions(self.dispatcher.tick(now))
            load_ahead(self.dispatcher.pools.values(), now)
            self.target_monitor.log_changes(self.dispatcher.pools, now)
            self.weights_monitor.log_changes(self.dispatcher.pools, now)
            _reconcile_crashes(self, now)
            self._drop_expired_jobs(now)
            self._start_order_runs()
            await asyncio.sleep(TICK_S)

    def _apply_cluster_state(self) -> None:
        now = now_s()
        deployment = self.beliefs.deployment
        if deployment is None:
            return
        is_new = deployment.version != self._applied_deployment_version
        if is_new:
            self._applied_deployment_version = deployment.version
            self.dispatcher.follow_deployment(deployment, now)
        if (
            is_new
            or self._applied_targets_version != self.beliefs.targets_version
        ):
            self._applied_targets_version = self.beliefs.targets_version
            self.target_log.replace_rows(self.beliefs.targets)
            self._deliver_decisions(
                self.dispatcher.follow_entries(self.beliefs.targets, now)
            )

    def _start_order_runs(self) -> None:
        for name, pool in self.dispatcher.pools.items():
            if not isinstance(pool, EnginePool):
                continue
            for target in tuple(pool.targets.values()):
                if _needs_order_run(target):
                    target.is_ordering = True
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
            target.is_ordering = False

    async def _run_order_steps(
        self, service: str, pool: EnginePool, target: EngineTarget
    ) -> None:
        if not target.is_synced:
            await self.orders.sync_models(target)
        while target.steps and pool.holds(target):
            while not self.is_sure():
                await asyncio.sleep(TICK_S)
            step = timed(target, target.steps.popleft())
            is_done = await _run_order_step(
                self.orders, service, pool, target, step
            )
            report_outcome = (
                self.dispatcher.step_done
                if is_done
                else self.dispatcher.step_failed
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
            is_expired = now > job.ask.give_up_s + EXPIRED_JOB_GRACE_S
            if is_expired or job.ask.node in lost_members:
                log_event(Event.CALL_FORGOTTEN, call=call_id, node=job.ask.node)
                self._deliver_decisions(
                    self.dispatcher.withdraw(call_id, now, may_run=True)
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
    cluster_state: Beliefs, elected_s: float, wait_until_s: float
) -> None:
    """Wait until the targets' entries were read since a holder's election.

    Before that the holder may know no target, or outdated models of them.
    """
    while cluster_state.targets_read_s < elected_s and now_s() < wait_until_s:
        await asyncio.sleep(ENTRIES_POLL_S)


def _reconcile_crashes(holder: Holder, now: float) -> None:
    view = holder.view()
    # Removals of entries before this holder's election were not observed.
    since_s = max(view.since_s, holder.elected_s)
    view = attrs.evolve(view, since_s=since_s)
    holder.dispatcher.crashes.follow_entries(view, now)
    _check_suspects(holder)


def _check_suspects(holder: Holder) -> None:
    """Have new suspects stored soon, so that the next holder knows them."""
    if holder.suspect_monitor.update_rows(holder.dispatcher.crashes):
        holder.renew_soon()


def _needs_order_run(target: EngineTarget) -> bool:
    has_work = bool(target.steps) or not target.is_synced
    return has_work and not target.is_ordering


async def _run_order_step(
    orders: OrderRunner,
    service: str,
    pool: EnginePool,
    target: EngineTarget,
    step: Step,
) -> bool:
    if not target.is_synced or not target.allows(step):
        return False
    if step.is_from_store:
        pool.loads.sent(target, step, now_s())
        log_store_load_start(service, pool, target, step.model)
    return await orders.run_order(target, step)


def _log_decision(
    call_ask: CallAsk, decision: Assignment | Refusal, decision_wait_s: float
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
    )
