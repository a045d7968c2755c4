"""Takes a version or a join through the barrier."""

import asyncio

import attrs

from mimosaworks.errors import PeerError, PeerRefusedError, PlatformError
from mimosaworks.members.barrier import Barrier
from mimosaworks.members.core import MemberCore
from mimosaworks.members.member_id import MemberId
from mimosaworks.members.registry import Registry
from mimosaworks.wire import PeerClient, PushAck

PUSH_TIMEOUT_S = 0.5
PUSH_EVERY_S = 0.1


@attrs.define
class Publisher:
    """Pushes what is in force here and collects the confirmations."""

    core: MemberCore
    registry: Registry
    peers: PeerClient

    async def publish(self, version: int, until_s: float) -> bool:
        """Tell whether the version came into force everywhere by until_s.

        version 0 stands for the members' view alone.
        """
        barrier = None
        while self.core.now() < until_s:
            barrier = barrier or await self._open(version)
            if barrier and await self._is_passed(barrier):
                return True
            if version == 0 and barrier and self._has_new_voters(barrier):
                # After a restart of many members the first view still shows
                # their predecessors, which can't give a majority any more.
                barrier = None
            await asyncio.sleep(PUSH_EVERY_S)
        return False

    def _has_new_voters(self, barrier: Barrier) -> bool:
        view = self.core.freshness.view
        return view.serving_ids() != barrier.view.serving_ids()

    async def _open(self, version: int) -> Barrier | None:
        try:
            state = await self.registry.read(self.core.catalogue)
        except PlatformError:
            return None
        self.core.take(state.catalogue, state.view, state.entries)
        if self.core.catalogue.version < version:
            return None
        return Barrier(
            self.core.now(),
            state.catalogue.version,
            state.view,
            self.core.freshness.own.id,
        )

    async def _is_passed(self, barrier: Barrier) -> bool:
        freshness = self.core.freshness
        dead = freshness.evidence.dead_since_s.keys()
        pushes = (
            self._push(barrier, member)
            for member in barrier.unconfirmed() - dead
        )
        await asyncio.gather(*pushes)
        return barrier.is_passed(
            self.core.now(), freshness.evidence.dead_since_s.keys()
        )

    async def _push(self, barrier: Barrier, member: MemberId) -> None:
        asked_s = self.core.now()
        push = self.core.push_to(member)
        try:
            ack = await self.peers.call(
                member.address, push, PushAck, PUSH_TIMEOUT_S
            )
        except PeerRefusedError:
            self.core.freshness.on_refused(
                asked_s, self.core.now(), member.address
            )
        except PeerError:
            return
        else:
            answered = self.core.on_ack(member, ack)
            barrier.on_ack(answered, ack.version, ack.view)
