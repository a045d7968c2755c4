"""A node's connection to the holder: asks, beats, and what it was told."""

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
from mimosaworks.node.beat_news import BeatNews
from mimosaworks.node.beat_times import (
    BEAT_TIMEOUT_S,
    FIRST_BEAT_S,
    MAX_SILENCE_S,
    MIN_INTERVAL_S,
)
from mimosaworks.node.crash_view import CrashView
from mimosaworks.node.election import Lease
from mimosaworks.node.hurried_pause import is_set_within
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.told_view import ToldView
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
    TargetLeaving,
)

GATHER_S = 0.025  # a tenth of the shortest interval
PROBE_S = 0.3  # an ask that takes longer has the holder looked after


class LocalHolder(Protocol):
    """The holder in this process, when it is elected."""

    async def on_ask(self, ask: CallAsk) -> CallReply:
        """Choose a target for a request."""

    async def on_beat(self, beat: Beat) -> BeatReply:
        """Take over what happened at this node."""


@attrs.define(eq=False)
class HolderLink:
    """Tells the holder what happens here and asks it for targets.

    lease gives the believed lease, local the holder when it is this process,
    row what this node says of itself, running its requests at targets,
    leaving the births of targets that announced that to it.
    heard_s is when the holder last confirmed what it told, lost_s when it was
    lost last. on_reply is called with each of its answers, on_lost when it
    falls silent. _unanswered_s is when the first beat was sent that got no
    answer since the last one that did.
    """

    peers: PeerClient
    lease: Callable[[], Lease | None]
    local: Callable[[], LocalHolder | None]
    row: Callable[[], NodeRow]
    running: Callable[[], tuple[RunningCall, ...]]
    leaving: Callable[[], Mapping[str, int]]
    on_reply: Callable[[BeatReply], None]
    on_lost: Callable[[], None]
    told: ToldView = attrs.field(factory=ToldView)
    news: BeatNews = attrs.field(factory=BeatNews)
    crashes: CrashView = attrs.field(factory=CrashView)
    limits: LimitView = attrs.field(factory=LimitView)
    fence: int = 0
    heard_s: float = 0
    lost_s: float = attrs.field(factory=now_s)
    _unanswered_s: float | None = None
    _asking: int = 0
    _interval_s: float = FIRST_BEAT_S
    _notices: set['asyncio.Future[Ack]'] = attrs.field(factory=set)
    _lost: asyncio.Event = attrs.field(factory=asyncio.Event)

    def is_up(self) -> bool:
        """Tell whether the holder answered lately."""
        if self.local() is not None:
            return True
        sent_s = self._unanswered_s
        unheard_s = 0 if sent_s is None else now_s() - sent_s
        return bool(self.fence) and unheard_s < MAX_SILENCE_S

    def alone_s(self) -> float:
        """Return the seconds for which no holder has answered."""
        return 0 if self.is_up() else now_s() - self.lost_s

    def silent_s(self) -> float:
        """Return the seconds since the holder's last answer."""
        return now_s() - self.heard_s

    async def ask(self, ask: CallAsk) -> CallReply:
        """Return the holder's decision; raises PeerError without one."""
        local = self.local()
        if local is not None:
            return await local.on_ask(ask)
        lease = self.lease()
        if lease is None or not self.is_up():
            raise PeerError('no holder is heard')
        call = asyncio.ensure_future(
            self.peers.call(lease.address, ask, CallReply, ask.left_s)
        )
        lost = asyncio.ensure_future(self._lost.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(_abandon, call)
            stack.callback(lost.cancel)
            stack.enter_context(self._count_ask())
            either = {call, lost}
            done, _ = await asyncio.wait(
                either, timeout=PROBE_S, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                # The holder may be gone, which the next beat tells.
                self.news.has_news.set()
                await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                reply = call.result()
                self._unanswered_s = None
                return reply
        raise PeerError('the holder fell silent')

    def tell(self, address: str, notice: LeaseNotice) -> None:
        """Send a notice without waiting for its answer."""
        call = asyncio.ensure_future(
            self.peers.call(address, notice, Ack, BEAT_TIMEOUT_S)
        )
        self._notices.add(call)
        call.add_done_callback(self._notices.discard)
        call.add_done_callback(_forget_failure)

    async def run(self) -> None:
        """Send beats until cancelled."""
        while True:  # noqa: WPS457 -- ends when the task is cancelled
            lease = self.lease()
            local = self.local()
            if local is not None:
                await self._beat_locally(local)
            elif lease is not None and not lease.is_free:
                await self._beat(lease)
            await self._pause()

    def meet(self) -> None:
        """Send a beat to a holder that was elected just now.

        All nodes hear of it at the same moment, so that they spread.
        """
        spread_s = random.uniform(0, self._interval_s / 2)
        asyncio.get_running_loop().call_later(spread_s, self.news.has_news.set)

    async def beat_now(self) -> None:
        """Send a beat outside the loop, such as at a planned stop."""
        lease = self.lease()
        if lease is not None and not lease.is_free and not self.local():
            await self._beat(lease)

    @contextlib.contextmanager
    def _count_ask(self) -> Generator[None, None, None]:
        self._asking += 1
        try:
            yield
        finally:
            self._asking -= 1

    async def _pause(self) -> None:
        self.news.has_news.clear()
        interval_s = self._interval_s
        if self._asking:
            interval_s = min(interval_s, MIN_INTERVAL_S)
        if self._unanswered_s is not None or not self.is_up():
            interval_s = FIRST_BEAT_S
        if await is_set_within(self.news.has_news, interval_s):
            # Gathers what happens in the next moments into the same beat.
            await asyncio.sleep(GATHER_S)

    async def _beat_locally(self, local: LocalHolder) -> None:
        lease = self.lease()
        is_first = lease is None or self.fence != lease.fence
        beat = self._make_beat(is_first=is_first)
        self._take_over(await local.on_beat(beat), beat)

    async def _beat(self, lease: Lease) -> None:
        is_first = self.fence != lease.fence or not self.is_up()
        beat = self._make_beat(is_first=is_first)
        if self._unanswered_s is None:
            self._unanswered_s = now_s()
        try:
            reply = await self.peers.call(
                lease.address, beat, BeatReply, BEAT_TIMEOUT_S
            )
        except (PeerError, ValueError) as exc:
            self.news.keep(beat)
            if isinstance(exc, PeerRefusedError) or not self.is_up():
                self._lose(str(exc))
            return
        if reply.is_holder and reply.fence == lease.fence:
            self._take_over(reply, beat)
        else:
            self.news.keep(beat)
            self._lose(f'{lease.holder} does not hold the lease')

    def _make_beat(self, *, is_first: bool) -> Beat:
        told = self.told
        leaving = self.leaving() if is_first else {}
        return self.news.fill(
            Beat(
                row=self.row(),
                fence=self.fence,
                running=self.running() if is_first else (),
                leaving=tuple(starmap(TargetLeaving, leaving.items())),
                crashes=self.crashes.seen() if is_first else (),
                limits=self.limits.notes() if is_first else (),
                targets_version=0 if is_first else told.targets_version,
                members_version=0 if is_first else told.members_version,
                suspects_version=0 if is_first else self.crashes.told_version,
                limits_version=0 if is_first else self.limits.told_version,
                wants_levels=is_first or told.wants_levels(now_s()),
            )
        )

    def _take_over(self, reply: BeatReply, beat: Beat) -> None:
        if self.fence != reply.fence or not self.heard_s:
            log_event(
                Event.DEPENDENCY_REGAINED,
                dependency='holder',
                away_s=self.silent_s() if self.heard_s else 0,
            )
        self.fence = reply.fence
        self.heard_s = now_s()
        self._unanswered_s = None
        self._lost.clear()
        self._interval_s = reply.interval_s or FIRST_BEAT_S
        self.told.take_over(reply, self.heard_s)
        self.crashes.take_over(reply, beat, self.heard_s)
        self.limits.take_over(reply, beat, self.heard_s)
        self.on_reply(reply)

    def _lose(self, reason: str) -> None:
        if self.fence:
            log_event(
                Event.DEPENDENCY_LOST,
                dependency='holder',
                reason=reason,
                age_s=self.silent_s(),
            )
            self.on_lost()
            self.lost_s = now_s()
        self.fence = 0
        self._lost.set()


def _abandon(call: 'asyncio.Future[CallReply]') -> None:
    call.cancel()
    call.add_done_callback(_forget_failure)


def _forget_failure(call: 'asyncio.Future[Any]') -> None:
    # Nobody waits for this answer any more; its failure is not news.
    if not call.cancelled():
        call.exception()
