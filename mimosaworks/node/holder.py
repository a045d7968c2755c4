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
from mimosaworks.node.crash_view import end_of
from mimosaworks.node.limit_watch import LimitWatch
from mimosaworks.node.members import Members
from mimosaworks.node.order_runner import FencedError, OrderRunner
from mimosaworks.node.stored_suspects import SuspectSaver
from mimosaworks.node.suspect_watch import SuspectWatch
from mimosaworks.node.target_watch import TargetWatch
from mimosaworks.node.weights_watch import (
    WeightsWatch,
    log_load_begun,
    log_load_ended,
)
from mimosaworks.wire import (
    Beat,
    BeatReply,
    CallAsk,
    CallReply,
    Spent,
)

TICK_S = 0.05
FIRST_READ_S = 1.0  # for the targets' entries; some calls to a slow store
READ_POLL_S = 0.02
FORGET_S = 3.0  # after the moment at which a request is given up


def _tell_nobody(_news: str) -> None:
    """Need no news."""


def _need_nothing() -> None:
    """Have nothing written."""


@attrs.define(eq=False)
class Holder:
    """Decides under one election, until its tasks are cancelled.

    on_fenced is called when a target has seen a later holder, or when the ticks
    failed. is_sure tells whether the lease was looked at lately, view gives the
    targets' entries as they were read. replies holds the requests that wait, by
    the name of their ask. on_limited is called with what became of a request
    for which a target's limit has no place: waited, or refused. renew_soon is
    called when the store should know of suspects.
    """

    beliefs: Beliefs
    dispatcher: Dispatcher
    orders: OrderRunner
    on_fenced: Callable[[str], None]
    is_sure: Callable[[], bool]
    view: Callable[[], EntriesView]
    on_limited: Callable[[str], None] = _tell_nobody
    renew_soon: Callable[[], None] = _need_nothing
    members: Members = attrs.field(factory=Members)
    watch: TargetWatch = attrs.field(factory=TargetWatch)
    weights: WeightsWatch = attrs.field(factory=WeightsWatch)
    suspects: SuspectWatch = attrs.field(factory=SuspectWatch)
    limits: LimitWatch = attrs.field(factory=LimitWatch)
    saver: SuspectSaver = attrs.field(factory=SuspectSaver)
    lease_version: int = 0
    replies: dict[str, 'asyncio.Future[Assignment | Refusal]'] = attrs.field(
        factory=dict
    )
    begun_s: float = attrs.field(factory=now_s)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    targets: ChangeLog[TargetEntry] = attrs.field(factory=ChangeLog)
    _deployment_version: int = 0
    _targets_version: int = 0
    _is_stopped: bool = False

    def start(self) -> None:
        """Begin to decide."""
        self._refresh()
        ticks = self._spawn(self._run_ticks())
        ticks.add_done_callback(functools.partial(_end_on_failure, self))

    def stop(self) -> None:
        """Cancel all tasks; requests that wait are left to their nodes."""
        self._is_stopped = True
        for task in tuple(self._tasks):
            task.cancel()
        for fut in self.replies.values():
            if not fut.done():
                fut.set_exception(PeerError('the holder changed'))
        self.replies.clear()

    async def on_ask(self, ask: CallAsk) -> CallReply:
        """Choose a target for a request, once its model is loaded."""
        # The time left counts from the arrival of the ask.
        asked_s = now_s()
        request = ask_of(ask, asked_s)
        until_s = min(self.begun_s + FIRST_READ_S, request.first_by_s)
        await _await_targets(self.beliefs, self.begun_s, until_s)
        if self._is_stopped:
            raise PeerError('the holder changed')
        now = now_s()
        self._refresh()
        admitted = self.dispatcher.admit(request, now)
        if isinstance(admitted, Refusal):
            _log_decided(ask, admitted, 0)
            return reply_of(admitted, asked_s)
        if admitted:
            await self._await_tokens(ask, admitted)
        decided = await self._place(ask, request)
        if isinstance(decided, Assignment):
            births = self.dispatcher.crashes.births
            ended = births.count(decided.target, decided.born)
            decided = attrs.evolve(decided, ended=ended)
        return reply_of(decided, asked_s)

    async def on_beat(self, beat: Beat) -> BeatReply:
        """Take over what happened at a node; return this process's view."""
        now = now_s()
        self.members.note(beat.row, now)
        for running in beat.running:
            if running.ask.call not in self.dispatcher.jobs:
                job = self.dispatcher.resume(
                    ask_of(running.ask, now), running.target, now
                )
                job.is_started = running.is_started
        self.limits.take_notes(self.dispatcher, beat, now)
        for start in beat.starts:
            self.dispatcher.started(start.call, start.first_s)
        self._settle(self.dispatcher.note_ends(map(end_of, beat.crashes), now))
        for end in beat.ends:
            outcome = CallOutcome(end.outcome)
            self._settle(
                self.dispatcher.ended(end.call, outcome, end.duration_s, now)
            )
        self.dispatcher.limiter.charge(
            (spent.workspace, spent.cost) for spent in beat.spent
        )
        for told in beat.leaving:
            self.dispatcher.note_leaving(told.target, told.born)
        if beat.leaving:
            self._settle(
                self.dispatcher.follow_entries(self.beliefs.targets, now)
            )
        self._start_orders()
        return self._reply(beat, now)

    async def _await_tokens(self, ask: CallAsk, wait_s: float) -> None:
        log_event(
            Event.CALL_POSTPONED,
            request_id=ask.request_id,
            call=ask.call,
            workspace=ask.workspace,
            cost=ask.cost,
            wait_s=wait_s,
        )
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            self.dispatcher.limiter.give_back(ask.workspace, ask.cost)
            raise
        if self._is_stopped:
            raise PeerError('the holder changed')

    async def _place(self, ask: CallAsk, request: Ask) -> Assignment | Refusal:
        decided = self.dispatcher.submit(request, now_s())
        self._start_orders()
        if isinstance(decided, Refusal) and decided.is_limited:
            self.on_limited('refused')
        if decided is not None:
            _log_decided(ask, decided, 0)
            return decided
        job = self.dispatcher.jobs[ask.call]
        if job.limit_s:
            self.on_limited('waited')
        log_event(
            Event.CALL_QUEUED,
            request_id=ask.request_id,
            call=ask.call,
            target=job.target,
            model=ask.model,
            adapter=ask.adapter,
            left_s=ask.left_s,
            limit_s=job.limit_s,
        )
        return await self._wait(ask)

    def _reply(self, beat: Beat, now: float) -> BeatReply:
        levels: dict[str, float] = {}
        if beat.wants_levels:
            levels = self.dispatcher.limiter.levels(now)
        deployment = self.beliefs.deployment
        members = self.members.log.since(beat.members_version)
        targets = self.targets.since(beat.targets_version)
        _look_for_suspects(self)
        suspects = self.suspects.log.since(beat.suspects_version)
        self.limits.look(self.dispatcher.limits)
        limits = self.limits.log.since(beat.limits_version)
        return BeatReply(
            is_holder=True,
            fence=self.orders.fence,
            lease_version=self.lease_version,
            members=members.rows,
            members_gone=members.gone,
            members_whole=members.is_whole,
            members_version=self.members.log.version,
            deployment_version=0 if deployment is None else deployment.version,
            levels=tuple(Spent(name, left) for name, left in levels.items()),
            targets=tuple(map(row_of_target, targets.rows)),
            targets_gone=targets.gone,
            targets_whole=targets.is_whole,
            targets_version=self.targets.version,
            suspects=suspects.rows,
            suspects_gone=suspects.gone,
            suspects_whole=suspects.is_whole,
            suspects_version=self.suspects.log.version,
            unsaved_s=now - self.saver.saved_s,
            limits=limits.rows,
            limits_gone=limits.gone,
            limits_whole=limits.is_whole,
            limits_version=self.limits.log.version,
            interval_s=self.members.interval_s(),
        )

    async def _wait(self, ask: CallAsk) -> Assignment | Refusal:
        begun_s = now_s()
        fut: asyncio.Future[Assignment | Refusal]
        fut = asyncio.get_running_loop().create_future()
        self.replies[ask.call] = fut
        try:
            decided = await fut
        except asyncio.CancelledError:
            # The node has hung up.
            self._settle(self.dispatcher.withdraw(ask.call, now_s()))
            raise
        finally:
            self.replies.pop(ask.call, None)
        _log_decided(ask, decided, now_s() - begun_s)
        return decided

    def _settle(self, decided: list[Decided]) -> None:
        for call, outcome in decided:
            fut = self.replies.get(call)
            if fut is not None and not fut.done():
                fut.set_result(outcome)

    async def _run_ticks(self) -> None:
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            now = now_s()
            self._refresh()
            self._settle(self.dispatcher.tick(now))
            load_ahead(self.dispatcher.pools.values(), now)
            self.watch.look(self.dispatcher.pools, now)
            self.weights.look(self.dispatcher.pools, now)
            _follow_crashes(self, now)
            self._forget(now)
            self._start_orders()
            await asyncio.sleep(TICK_S)

    def _refresh(self) -> None:
        now = now_s()
        deployment = self.beliefs.deployment
        if deployment is None:
            return
        is_new = deployment.version != self._deployment_version
        if is_new:
            self._deployment_version = deployment.version
            self.dispatcher.follow_deployment(deployment, now)
        if is_new or self._targets_version != self.beliefs.targets_version:
            self._targets_version = self.beliefs.targets_version
            self.targets.replace(self.beliefs.targets)
            self._settle(
                self.dispatcher.follow_entries(self.beliefs.targets, now)
            )

    def _start_orders(self) -> None:
        for name, pool in self.dispatcher.pools.items():
            if not isinstance(pool, EnginePool):
                continue
            for target in tuple(pool.targets.values()):
                if _needs_run(target):
                    target.is_ordering = True
                    self._spawn(self._run_orders(name, pool, target))

    async def _run_orders(
        self, service: str, pool: EnginePool, target: EngineTarget
    ) -> None:
        try:
            await self._run_queue(service, pool, target)
        except FencedError as exc:
            self.on_fenced(f'{exc} has seen a later holder')
        finally:
            target.is_ordering = False

    async def _run_queue(
        self, service: str, pool: EnginePool, target: EngineTarget
    ) -> None:
        if not target.is_synced:
            await self.orders.sync(target)
        while target.steps and pool.holds(target):
            while not self.is_sure():
                await asyncio.sleep(TICK_S)
            step = timed(target, target.steps.popleft())
            is_done = await _carry_out(self.orders, service, pool, target, step)
            report = (
                self.dispatcher.step_done
                if is_done
                else self.dispatcher.step_failed
            )
            self._settle(report(service, target, step, now_s()))
            if step.is_from_store:
                log_load_ended(
                    service, pool, target, step.model, is_done=is_done
                )
            if not is_done:
                # Orders for other requests may wait at other targets now.
                self._start_orders()
                return

    def _forget(self, now: float) -> None:
        lost = self.members.drop_silent(now)
        for call, job in list(self.dispatcher.jobs.items()):
            is_untold = now > job.ask.give_up_s + FORGET_S
            if is_untold or job.ask.node in lost:
                log_event(Event.CALL_FORGOTTEN, call=call, node=job.ask.node)
                self._settle(self.dispatcher.withdraw(call, now, may_run=True))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _end_on_failure(holder: Holder, task: 'asyncio.Task[None]') -> None:
    """Have another holder elected when this one's ticks have failed."""
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        task.get_loop().call_exception_handler({
            'message': 'the ticks of the holder failed',
            'exception': exc,
        })
        holder.on_fenced(f'the ticks failed: {exc!r}')


async def _await_targets(
    beliefs: Beliefs, since_s: float, until_s: float
) -> None:
    """Wait until the targets were read since a holder's election.

    Before that it may know none of them, or what they held a while ago.
    """
    while beliefs.targets_read_s < since_s and now_s() < until_s:
        await asyncio.sleep(READ_POLL_S)


def _follow_crashes(holder: Holder, now: float) -> None:
    view = holder.view()
    # Entries of targets that ended before its time were not seen to go.
    since_s = max(view.since_s, holder.begun_s)
    view = attrs.evolve(view, since_s=since_s)
    holder.dispatcher.crashes.follow_entries(view, now)
    _look_for_suspects(holder)


def _look_for_suspects(holder: Holder) -> None:
    """Have the next holder know soon what this one refuses."""
    if holder.suspects.look(holder.dispatcher.crashes):
        holder.renew_soon()


def _needs_run(target: EngineTarget) -> bool:
    has_work = bool(target.steps) or not target.is_synced
    return has_work and not target.is_ordering


async def _carry_out(
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
        log_load_begun(service, pool, target, step.model)
    return await orders.run(target, step)


def _log_decided(
    ask: CallAsk, decided: Assignment | Refusal, waited_s: float
) -> None:
    log_event(
        Event.CALL_DECIDED,
        request_id=ask.request_id,
        call=ask.call,
        node=ask.node,
        target='' if isinstance(decided, Refusal) else decided.target,
        kind=decided.kind.value if isinstance(decided, Refusal) else '',
        reason=decided.reason,
        waited_s=waited_s,
        left_s=ask.left_s - waited_s,
        excluded=list(ask.excluded),
    )
