"""Joins, sends heartbeats and removes dead members."""

import asyncio
import contextlib

import attrs

from mimosaworks.errors import PlatformError
from mimosaworks.members.core import MemberCore
from mimosaworks.members.evidence import HEARTBEAT_S
from mimosaworks.members.member import Member
from mimosaworks.members.member_id import MemberId
from mimosaworks.members.poller import Poller
from mimosaworks.members.publisher import Publisher
from mimosaworks.members.registry import Registry, RemovedError
from mimosaworks.members.schedule import pollers_of
from mimosaworks.members.state import MemberState
from mimosaworks.platform import VmListClient

JOIN_TRY_S = 8.0
JOIN_RETRY_S = 0.5
GONE = 'gone'  # state of a VM in the platform's list


@attrs.define
class Registrar:
    """Owns the member's own row, and removes rows of dead members."""

    core: MemberCore
    registry: Registry
    publisher: Publisher
    poller: Poller
    vms: VmListClient
    _heartbeats: dict[MemberId, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Join, then send heartbeats until cancelled."""
        while self.core.freshness.own.state == MemberState.JOINING:
            with contextlib.suppress(PlatformError):
                await self._join()
            await asyncio.sleep(JOIN_RETRY_S)
        while True:
            with contextlib.suppress(PlatformError):
                await self._beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def set_state(self, state: MemberState) -> None:
        """Act on a state and write it to the own row.

        Raises PlatformError when the row could not be written. A member is
        live only once its row says so; it drains or stops in any case.
        """
        own = attrs.evolve(
            self.core.freshness.own,
            state=state,
            applied_version=self.core.catalogue.version,
        )
        if state != MemberState.LIVE:
            self.core.freshness.own = own
        if state == MemberState.STOPPED:
            await self.registry.remove(own)
        else:
            await self.registry.put(own)
        self.core.freshness.own = own

    async def _join(self) -> None:
        await self.registry.put(self.core.freshness.own)
        until_s = self.core.now() + JOIN_TRY_S
        if await self.publisher.publish(0, until_s):
            await self.set_state(MemberState.LIVE)
        else:
            # Members that have died may be what prevents the majority.
            await self._remove_dead()

    async def _beat(self) -> None:
        freshness = self.core.freshness
        own = attrs.evolve(
            freshness.own, applied_version=self.core.catalogue.version
        )
        try:
            await self.registry.beat(own)
        except RemovedError:
            freshness.own = attrs.evolve(
                freshness.own, state=MemberState.STOPPED
            )
            return
        if own.address in pollers_of(freshness.view)[:2]:
            await self._remove_dead()

    async def _remove_dead(self) -> None:
        evidence = self.core.freshness.evidence
        members = await self.registry.rows()
        for member in members:
            evidence.on_heartbeat(member.id, member.heartbeat)
        suspects = filter(self._is_standing, members)
        probes = (self.poller.ask(peer.address) for peer in suspects)
        await asyncio.gather(*probes)
        self._heartbeats = {peer.id: peer.heartbeat for peer in members}
        await self._note_gone(members)
        doomed = [peer for peer in members if peer.id in evidence.dead_since_s]
        while doomed:
            await self.registry.remove(doomed.pop())

    def _is_standing(self, member: Member) -> bool:
        # Whether the heartbeat has not moved since the previous look.
        is_own = member.id == self.core.freshness.own.id
        previous = self._heartbeats.get(member.id)
        return previous == member.heartbeat and not is_own

    async def _note_gone(self, members: list[Member]) -> None:
        states = await self.vms.states()
        now_s = self.core.now()
        for member in members:
            host, _, _ = member.address.rpartition(':')
            if GONE in {states.get(host), states.get(member.address)}:
                self.core.freshness.evidence.on_gone(now_s, member.id)
