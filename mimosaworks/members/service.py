"""Keeps a process registered, fresh and at the newest configuration."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Self

from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.configs import ConfigStore
from mimosaworks.entities import Catalogue
from mimosaworks.errors import PlatformError
from mimosaworks.members.acceptance import Acceptance
from mimosaworks.members.core import MemberCore
from mimosaworks.members.freshness import Freshness
from mimosaworks.members.member import Member
from mimosaworks.members.poller import Poller
from mimosaworks.members.publisher import Publisher
from mimosaworks.members.registrar import Registrar
from mimosaworks.members.registry import Registry
from mimosaworks.members.role import MemberRole
from mimosaworks.members.state import MemberState
from mimosaworks.platform import PlatformClients
from mimosaworks.wire import (
    FreshAsk,
    PeerClient,
    VersionPush,
    add_peer_handler,
)

PUBLISH_WAIT_S = 5.5
RETRY_S = 1.0


class MemberService:
    """One for each process; run as an asynchronous context manager.

    Its peer handlers are added to peer_app at construction, so construct it
    before the application is served, and serve the peer port before entering
    and until after leaving: a refused connection is evidence that the
    process has ended.
    """

    def __init__(
        self,
        platform: PlatformClients,
        peers: PeerClient,
        peer_app: web.Application,
        own: Member,
    ) -> None:
        core = MemberCore(Freshness(own), now_s)
        store = ConfigStore(platform.table, platform.snapshots)
        registry = Registry(platform.table, store, now_s)
        self._core = core
        self._publisher = Publisher(core, registry, peers)
        self._poller = Poller(core, registry, peers)
        self._registrar = Registrar(
            core, registry, self._publisher, self._poller, platform.vm_list
        )
        self._stack = contextlib.AsyncExitStack()
        add_peer_handler(peer_app, FreshAsk, core.on_ask)
        add_peer_handler(peer_app, VersionPush, core.on_push)

    async def __aenter__(self) -> Self:
        """Start to join and to poll; does not wait for the table."""
        self._start(self._poller.run())
        self._start(self._registrar.run())
        return self

    async def __aexit__(self, *_exc: Any) -> None:
        """Stop, if that has not been done."""
        await self.stop()

    @property
    def own(self) -> Member:
        """The own member, with its state."""
        return self._core.freshness.own

    @property
    def catalogue(self) -> Catalogue:
        """The newest configuration in force here."""
        return self._core.catalogue

    def is_fresh(self) -> bool:
        """Whether keyed requests may be admitted or dispatched now."""
        return self._core.freshness.is_fresh(self._core.now())

    def fresh_in_s(self) -> float:
        """Return the seconds after which a refused caller may come back."""
        return 0 if self.is_fresh() else RETRY_S

    def members(self) -> tuple[Member, ...]:
        """Return the members that have not stopped, this one included."""
        return self._core.freshness.view.members

    def routers(self) -> tuple[Member, ...]:
        """Return the live routers, without those that drain or are dead."""
        dead = self._core.freshness.evidence.dead_since_s
        return tuple(
            member
            for member in self.members()
            if member.role == MemberRole.ROUTER
            and member.state == MemberState.LIVE
            and member.id not in dead
        )

    def subscribe(self, callback: Callable[[Catalogue], None]) -> None:
        """Call back with each newer configuration, before it is confirmed."""
        self._core.on_catalogue.append(callback)

    def subscribe_members(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the members."""
        self._core.on_view.append(callback)

    async def publish(self, version: int) -> Acceptance:
        """Push a committed version; tell whether it is in force everywhere.

        May be called again for a version that was pending, on any process.
        """
        if not self.own.is_serving:
            return Acceptance.PENDING
        until_s = self._core.now() + PUBLISH_WAIT_S
        is_passed = await self._publisher.publish(version, until_s)
        if is_passed and self.own.is_serving:
            return Acceptance.IN_FORCE
        return Acceptance.PENDING

    async def set_state(self, state: MemberState) -> None:
        """Act on a state and write it to the own row.

        Raises PlatformError when the row could not be written.
        """
        await self._registrar.set_state(state)

    async def stop(self) -> None:
        """Stop all tasks and remove the own row, if the table answers."""
        await self._stack.aclose()
        if self.own.state != MemberState.STOPPED:
            with contextlib.suppress(PlatformError):
                await self.set_state(MemberState.STOPPED)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._stack.callback(task.cancel)
