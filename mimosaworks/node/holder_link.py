"""A node's connection to the lease holder: assignment requests, heartbeats."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Generator, Mapping
from itertools import starmap
from typing import Any, Protocol

import attrs

from mimosaworks.clock import now_s
from mimosaworks.errors import PeerError, PeerRefusedError
from mimosaworks.events import Event, log_event
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.crash_view import CrashView
from mimosaworks.node.election import Lease
from mimosaworks.node.heartbeat_times import (
    HEARTBEAT_TIMEOUT_S,
    HOLDER_TIMEOUT_S,
    MIN_HEARTBEAT_INTERVAL_S,
    UNANSWERED_HEARTBEAT_INTERVAL_S,
)
from mimosaworks.node.heartbeat_updates import HeartbeatUpdates
from mimosaworks.node.interruptible_sleep import wait_for_event
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.replicated_view import ReplicatedView
from mimosaworks.node.stored_streams import StreamSaver
from mimosaworks.node.stream_origins import StreamOrigins
from mimosaworks.wire import (
    Ack,
    Beat,
    BeatReply,
    CallAsk,
    CallReply,
    LeaseNotice,
    NodeRow,
    PeerClient,
    RunningCall,
    StreamAsk,
    StreamReply,
    TargetLeaving,
)

# A tenth of the shortest heartbeat interval.
UPDATE_BATCHING_S = 0.025
# An assignment request that takes longer triggers a heartbeat, which shows
# whether the holder is still there.
SLOW_REPLY_S = 0.3
# A new holder may have to read the streams from the store first.
STREAM_REPLY_TIMEOUT_S = 1.5


class LocalHolder(Protocol):
    """The lease holder in this process, while it is elected."""

    async def handle_call_ask(self, call_ask: CallAsk) -> CallReply:
        """Return a target for a request, or a refusal."""

    async def handle_heartbeat(self, heartbeat: Beat) -> BeatReply:
        """Apply this node's updates; return the changes that it lacks."""

    @property
    def stream_saver(self) -> StreamSaver | None:
        """What the holder knows of where streams began."""


@attrs.define(eq=False)
class HolderLink:
    """A node's link to the holder, which gets updates and assigns targets.

    find_lease returns the lease as this node knows it, find_local_holder the
    holder when it is this process, make_node_row this node's row,
    list_running_calls its requests at targets, list_leaving_targets the
    incarnations of targets that announced to this node that they leave.
    stream_origins are those of the streams that began at this node.
    last_reply_s is when the holder last confirmed what it had reported,
    contact_lost_s when it was last taken for lost. on_reply is called with
    each answer of the holder, on_lost when it stops answering.
    _first_unanswered_s is the time of the first heartbeat without an answer
    since the last one that was answered. _open_request_count is the number of
    assignment requests that wait for the holder's decision.
    """

    peers: PeerClient
    find_lease: Callable[[], Lease | None]
    find_local_holder: Callable[[], LocalHolder | None]
    make_node_row: Callable[[], NodeRow]
    list_running_calls: Callable[[], tuple[RunningCall, ...]]
    list_leaving_targets: Callable[[], Mapping[str, int]]
    on_reply: Callable[[BeatReply], None]
    on_lost: Callable[[], None]
    replicated_view: ReplicatedView = attrs.field(factory=ReplicatedView)
    pending_updates: HeartbeatUpdates = attrs.field(factory=HeartbeatUpdates)
    crash_view: CrashView = attrs.field(factory=CrashView)
    limit_view: LimitView = attrs.field(factory=LimitView)
    brittle_targets: BrittleTargets = attrs.field(factory=BrittleTargets)
    stream_origins: StreamOrigins = attrs.field(factory=StreamOrigins)
    fence: int = 0
    last_reply_s: float = 0
    contact_lost_s: float = attrs.field(factory=now_s)
    _first_unanswered_s: float | None = None
    _open_request_count: int = 0
    _heartbeat_interval_s: float = UNANSWERED_HEARTBEAT_INTERVAL_S
    _notice_calls: set['asyncio.Future[Ack]'] = attrs.field(factory=set)
    _holder_lost: asyncio.Event = attrs.field(factory=asyncio.Event)

    def has_contact(self) -> bool:
        """Return whether the holder is this process or answered lately."""
        if self.find_local_holder() is not None:
            return True
        first_unanswered_s = self._first_unanswered_s
        silence_s = (
            0 if first_unanswered_s is None else now_s() - first_unanswered_s
        )
        return bool(self.fence) and silence_s < HOLDER_TIMEOUT_S

    def standalone_s(self) -> float:
        """Return the seconds for which no holder has answered."""
        return 0 if self.has_contact() else now_s() - self.contact_lost_s

    def last_reply_age_s(self) -> float:
        """Return the seconds since the holder's last answer."""
        return now_s() - self.last_reply_s

    async def request_assignment(self, call_ask: CallAsk) -> CallReply:
        """Return the holder's decision; raises PeerError if there is none."""
        local_holder = self.find_local_holder()
        if local_holder is not None:
            return await local_holder.handle_call_ask(call_ask)
        lease = self.find_lease()
        if lease is None or not self.has_contact():
            raise PeerError('no holder answers')
        assignment_call = asyncio.ensure_future(
            self.peers.call(lease.address, call_ask, CallReply, call_ask.left_s)
        )
        holder_lost = asyncio.ensure_future(self._holder_lost.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(_cancel_call, assignment_call)
            stack.callback(holder_lost.cancel)
            stack.enter_context(self._count_open_request())
            call_or_loss = {assignment_call, holder_lost}
            done, _ = await asyncio.wait(
                call_or_loss,
                timeout=SLOW_REPLY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                # The next heartbeat shows whether the holder is still there.
                self.pending_updates.has_urgent_updates.set()
                await asyncio.wait(
                    call_or_loss, return_when=asyncio.FIRST_COMPLETED
                )
            if assignment_call.done():
                reply = assignment_call.result()
                self._first_unanswered_s = None
                return reply
        raise PeerError('the holder stopped answering')

    async def request_stream_origin(self, request_id: str) -> StreamReply:
        """Return where a stream began; raises PeerError without a holder."""
        local_holder = self.find_local_holder()
        if local_holder is not None and local_holder.stream_saver is not None:
            return await local_holder.stream_saver.find_stream(request_id)
        lease = self.find_lease()
        if lease is None or not self.has_contact():
            raise PeerError('no holder answers')
        return await self.peers.call(
            lease.address,
            StreamAsk(request_id),
            StreamReply,
            STREAM_REPLY_TIMEOUT_S,
        )

    def send_notice(self, address: str, notice: LeaseNotice) -> None:
        """Send a notice without waiting for its answer."""
        notice_call = asyncio.ensure_future(
            self.peers.call(address, notice, Ack, HEARTBEAT_TIMEOUT_S)
        )
        self._notice_calls.add(notice_call)
        notice_call.add_done_callback(self._notice_calls.discard)
        notice_call.add_done_callback(_discard_exception)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            lease = self.find_lease()
            local_holder = self.find_local_holder()
            if local_holder is not None:
                await self._send_local_heartbeat(local_holder)
            elif lease is not None and not lease.is_free:
                await self._send_remote_heartbeat(lease)
            await self._wait_until_next_heartbeat()

    def schedule_heartbeat(self) -> None:
        """Send a heartbeat to a newly elected holder after a random delay.

        All nodes are notified at the same moment; the delay spreads their
        heartbeats.
        """
        spread_s = random.uniform(0, self._heartbeat_interval_s / 2)
        asyncio.get_running_loop().call_later(
            spread_s, self.pending_updates.has_urgent_updates.set
        )

    async def send_extra_heartbeat(self) -> None:
        """Send a heartbeat outside the loop, such as at a planned stop."""
        lease = self.find_lease()
        if (
            lease is not None
            and not lease.is_free
            and not self.find_local_holder()
        ):
            await self._send_remote_heartbeat(lease)

    @contextlib.contextmanager
    def _count_open_request(self) -> Generator[None, None, None]:
        self._open_request_count += 1
        try:
            yield
        finally:
            self._open_request_count -= 1

    async def _wait_until_next_heartbeat(self) -> None:
        self.pending_updates.has_urgent_updates.clear()
        interval_s = self._heartbeat_interval_s
        if self._open_request_count:
            interval_s = min(interval_s, MIN_HEARTBEAT_INTERVAL_S)
        if self._first_unanswered_s is not None or not self.has_contact():
            interval_s = UNANSWERED_HEARTBEAT_INTERVAL_S
        if await wait_for_event(
            self.pending_updates.has_urgent_updates, interval_s
        ):
            # Adds updates of the next moments to the same heartbeat.
            await asyncio.sleep(UPDATE_BATCHING_S)

    async def _send_local_heartbeat(self, local_holder: LocalHolder) -> None:
        lease = self.find_lease()
        is_first = lease is None or self.fence != lease.fence
        heartbeat = self._make_heartbeat(is_first=is_first)
        self._apply_reply(
            await local_holder.handle_heartbeat(heartbeat), heartbeat
        )

    async def _send_remote_heartbeat(self, lease: Lease) -> None:
        is_first = self.fence != lease.fence or not self.has_contact()
        heartbeat = self._make_heartbeat(is_first=is_first)
        if self._first_unanswered_s is None:
            self._first_unanswered_s = now_s()
        try:
            reply = await self.peers.call(
                lease.address, heartbeat, BeatReply, HEARTBEAT_TIMEOUT_S
            )
        except (PeerError, ValueError) as exc:
            self.pending_updates.restore_from_heartbeat(heartbeat)
            if isinstance(exc, PeerRefusedError) or not self.has_contact():
                self._drop_holder(str(exc))
            return
        if reply.is_holder and reply.fence == lease.fence:
            self._apply_reply(reply, heartbeat)
        else:
            self.pending_updates.restore_from_heartbeat(heartbeat)
            self._drop_holder(f'{lease.holder} does not hold the lease')

    def _make_heartbeat(self, *, is_first: bool) -> Beat:
        replicated = self.replicated_view
        leaving_targets = self.list_leaving_targets() if is_first else {}
        return self.pending_updates.move_into_heartbeat(
            Beat(
                row=self.make_node_row(),
                fence=self.fence,
                running=self.list_running_calls() if is_first else (),
                leaving=tuple(starmap(TargetLeaving, leaving_targets.items())),
                crashes=self.crash_view.unsaved_notes() if is_first else (),
                limits=self.limit_view.make_limit_notes() if is_first else (),
                brittle=self.brittle_targets.make_notes() if is_first else (),
                streams=self.stream_origins.make_notes() if is_first else (),
                targets_version=0 if is_first else replicated.targets_version,
                members_version=0 if is_first else replicated.members_version,
                suspects_version=0
                if is_first
                else self.crash_view.suspects_version,
                limits_version=0
                if is_first
                else self.limit_view.limits_version,
                wants_levels=is_first or replicated.needs_balances(now_s()),
            )
        )

    def _apply_reply(self, reply: BeatReply, heartbeat: Beat) -> None:
        if self.fence != reply.fence or not self.last_reply_s:
            log_event(
                Event.DEPENDENCY_REGAINED,
                dependency='holder',
                away_s=self.last_reply_age_s() if self.last_reply_s else 0,
            )
        self.fence = reply.fence
        self.last_reply_s = now_s()
        self._first_unanswered_s = None
        self._holder_lost.clear()
        self._heartbeat_interval_s = (
            reply.interval_s or UNANSWERED_HEARTBEAT_INTERVAL_S
        )
        self.replicated_view.apply_reply(reply, self.last_reply_s)
        self.crash_view.apply_reply(reply, heartbeat, self.last_reply_s)
        self.limit_view.apply_reply(reply, heartbeat, self.last_reply_s)
        self.brittle_targets.apply_reply(heartbeat)
        self.on_reply(reply)

    def _drop_holder(self, reason: str) -> None:
        if self.fence:
            log_event(
                Event.DEPENDENCY_LOST,
                dependency='holder',
                reason=reason,
                age_s=self.last_reply_age_s(),
            )
            self.on_lost()
            self.contact_lost_s = now_s()
        self.fence = 0
        self._holder_lost.set()


def _cancel_call(call: 'asyncio.Future[CallReply]') -> None:
    call.cancel()
    call.add_done_callback(_discard_exception)


def _discard_exception(call: 'asyncio.Future[Any]') -> None:
    # Retrieves the exception of a call that nobody awaits any more, so that
    # asyncio does not report it.
    if not call.cancelled():
        call.exception()
