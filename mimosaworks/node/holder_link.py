"""A node's connection to the holder: asks, beats, and what it was told."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry
from mimosaworks.errors import PeerError, PeerRefusedError
from mimosaworks.events import Event, log_event
from mimosaworks.node.conversions import target_of_row
from mimosaworks.node.election import Lease
from mimosaworks.wire import (
    Ack,
    Beat,
    BeatReply,
    CallAsk,
    CallEnd,
    CallReply,
    CallStart,
    LeaseNotice,
    NodeRow,
    PeerClient,
    RunningCall,
    Spent,
)

BEAT_TIMEOUT_S = 0.5
FIRST_BEAT_S = 0.1
MAX_SILENCE_S = 0.9  # between two answered beats, under half of the lease


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
    row what this node says of itself, running its requests at targets.
    heard_s is when the holder last confirmed what it told. on_reply is called
    with each of its answers, on_lost when it falls silent.
    """

    peers: PeerClient
    lease: Callable[[], Lease | None]
    local: Callable[[], LocalHolder | None]
    row: Callable[[], NodeRow]
    running: Callable[[], tuple[RunningCall, ...]]
    on_reply: Callable[[BeatReply], None]
    on_lost: Callable[[], None]
    members: dict[str, NodeRow] = attrs.field(factory=dict)
    levels: dict[str, float] = attrs.field(factory=dict)
    targets: dict[str, TargetEntry] = attrs.field(factory=dict)
    fence: int = 0
    heard_s: float = 0
    _targets_version: int = 0
    _members_version: int = 0
    _interval_s: float = FIRST_BEAT_S
    _starts: list[CallStart] = attrs.field(factory=list)
    _ends: list[CallEnd] = attrs.field(factory=list)
    _notices: set['asyncio.Future[Ack]'] = attrs.field(factory=set)
    _spent: dict[str, float] = attrs.field(factory=dict)
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _lost: asyncio.Event = attrs.field(factory=asyncio.Event)

    def is_up(self) -> bool:
        """Tell whether the holder answered lately."""
        if self.local() is not None:
            return True
        return bool(self.fence) and now_s() - self.heard_s < MAX_SILENCE_S

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
            await asyncio.wait(
                {call, lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if call.done():
                return call.result()
        raise PeerError('the holder fell silent')

    def note_start(self, call: str, first_s: float) -> None:
        """Tell the holder of a first event with the next beat."""
        self._starts.append(CallStart(call, first_s))
        self._wake.set()

    def note_end(self, call: str, outcome: str, duration_s: float) -> None:
        """Tell the holder how a request ended, at once."""
        self._ends.append(CallEnd(call, outcome, duration_s))
        self._wake.set()

    def note_spent(self, workspace: str, cost: float) -> None:
        """Tell the holder of tokens that were admitted without it."""
        self._spent[workspace] = self._spent.get(workspace, 0) + cost

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

    async def beat_now(self) -> None:
        """Send a beat outside the loop, such as at a planned stop."""
        lease = self.lease()
        if lease is not None and not lease.is_free and not self.local():
            await self._beat(lease)

    async def _pause(self) -> None:
        self._wake.clear()
        interval_s = self._interval_s if self.is_up() else FIRST_BEAT_S
        try:
            async with asyncio.timeout(interval_s):
                await self._wake.wait()
        except TimeoutError:
            return
        # Gathers what happens in the next moments into the same beat.
        await asyncio.sleep(interval_s / 10)

    async def _beat_locally(self, local: LocalHolder) -> None:
        lease = self.lease()
        is_first = lease is None or self.fence != lease.fence
        beat = self._make_beat(is_first=is_first)
        self._take_over(await local.on_beat(beat))

    async def _beat(self, lease: Lease) -> None:
        is_first = self.fence != lease.fence or not self.is_up()
        beat = self._make_beat(is_first=is_first)
        try:
            reply = await self.peers.call(
                lease.address, beat, BeatReply, BEAT_TIMEOUT_S
            )
        except (PeerError, ValueError) as exc:
            self._keep(beat)
            if isinstance(exc, PeerRefusedError) or not self.is_up():
                self._lose(str(exc))
            return
        if reply.is_holder and reply.fence == lease.fence:
            self._take_over(reply)
        else:
            self._keep(beat)
            self._lose(f'{lease.holder} does not hold the lease')

    def _make_beat(self, *, is_first: bool) -> Beat:
        beat = Beat(
            row=self.row(),
            fence=self.fence,
            starts=tuple(self._starts),
            ends=tuple(self._ends),
            running=self.running() if is_first else (),
            spent=tuple(
                Spent(name, cost) for name, cost in self._spent.items()
            ),
            targets_version=0 if is_first else self._targets_version,
            members_version=0 if is_first else self._members_version,
        )
        self._starts.clear()
        self._ends.clear()
        self._spent.clear()
        return beat

    def _keep(self, beat: Beat) -> None:
        # The holder may have taken the beat: it ignores what it knows. Its
        # tokens may be charged twice, which is on the safe side.
        self._starts = [*beat.starts, *self._starts]
        self._ends = [*beat.ends, *self._ends]
        for spent in beat.spent:
            self.note_spent(spent.workspace, spent.cost)

    def _take_over(self, reply: BeatReply) -> None:
        if self.fence != reply.fence or not self.heard_s:
            log_event(
                Event.DEPENDENCY_REGAINED,
                dependency='holder',
                away_s=self.silent_s() if self.heard_s else 0,
            )
        self.fence = reply.fence
        self.heard_s = now_s()
        self._lost.clear()
        self._interval_s = reply.interval_s or FIRST_BEAT_S
        self.levels = {left.workspace: left.cost for left in reply.levels}
        self.on_reply(reply)
        # Another holder may have counted to the same versions.
        if reply.members_version != self._members_version or reply.members:
            self._members_version = reply.members_version
            self.members = {row.name: row for row in reply.members}
        if reply.targets_version != self._targets_version or reply.targets:
            self._targets_version = reply.targets_version
            self.targets = {
                row.name: target_of_row(row) for row in reply.targets
            }

    def _lose(self, reason: str) -> None:
        if self.fence:
            log_event(
                Event.DEPENDENCY_LOST,
                dependency='holder',
                reason=reason,
                age_s=self.silent_s(),
            )
            self.on_lost()
        self.fence = 0
        self._lost.set()


def _abandon(call: 'asyncio.Future[CallReply]') -> None:
    call.cancel()
    call.add_done_callback(_forget_failure)


def _forget_failure(call: 'asyncio.Future[Any]') -> None:
    # Nobody waits for this answer any more; its failure is not news.
    if not call.cancelled():
        call.exception()
