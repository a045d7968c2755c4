"""Keeps a process registered, fresh and at the newest configuration."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Self

import attrs
from aiohttp import web

from mimosaworks.clock import DRIFT, now_s
from mimosaworks.configs import ConfigStore, poll_keys
from mimosaworks.entities import Catalogue
from mimosaworks.errors import PlatformError
from mimosaworks.members.acceptance import Acceptance
from mimosaworks.members.member import (
    MEMBERS_PREFIX,
    Member,
    member_from_json,
)
from mimosaworks.members.role import MemberRole
from mimosaworks.members.state import MemberState
from mimosaworks.platform import ObjectClient, Row, RowWrite, TableClient
from mimosaworks.wire import PeerClient

FRESHNESS_S = 3.0
POLL_S = 1.0
RETRY_S = 1.0


class MemberService:
    """One for each process; run as an asynchronous context manager.

    Its peer handlers are added to peer_app at construction, so construct it
    before the application is served, and serve the peer port before entering.
    """

    def __init__(
        self,
        table: TableClient,
        object_client: ObjectClient,
        peers: PeerClient,
        peer_app: web.Application,
        own: Member,
        now: Callable[[], float] = now_s,
    ) -> None:
        self.own = own
        self.catalogue = Catalogue()
        self._table = table
        self._store = ConfigStore(table, object_client)
        self._peers = peers
        self._now = now
        self._basis_s = float('-inf')
        self._members: tuple[Member, ...] = ()
        self._callbacks: list[Callable[[Catalogue], None]] = []
        self._member_callbacks: list[Callable[[], None]] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start joining and polling; does not wait for the table."""
        poller = asyncio.create_task(self._poll())
        self._stack.callback(poller.cancel)
        return self

    async def __aexit__(self, *_exc: Any) -> None:
        """Stop, if that has not been done."""
        await self.stop()

    def is_fresh(self) -> bool:
        """Whether keyed requests may be admitted or dispatched now."""
        age_s = self._now() - self._basis_s
        return self.own.is_serving and age_s < FRESHNESS_S

    def fresh_in_s(self) -> float:
        """Return the seconds after which a refused caller may come back."""
        return 0 if self.is_fresh() else RETRY_S

    def members(self) -> tuple[Member, ...]:
        """Return the members that have not stopped, this one included."""
        return self._members

    def routers(self) -> tuple[Member, ...]:
        """Return the live routers, without those that drain."""
        return tuple(
            member
            for member in self._members
            if member.role == MemberRole.ROUTER
            and member.state == MemberState.LIVE
        )

    def subscribe(self, callback: Callable[[Catalogue], None]) -> None:
        """Call back with each newer configuration, before it is confirmed."""
        self._callbacks.append(callback)

    def subscribe_members(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the members."""
        self._member_callbacks.append(callback)

    async def publish(self, version: int) -> Acceptance:
        """Push a committed version; tell whether it is in force everywhere.

        May be called again for a version that was pending, on any process.
        """
        await asyncio.sleep(FRESHNESS_S * (1 + DRIFT))
        is_known = self.catalogue.version >= version
        return Acceptance.IN_FORCE if is_known else Acceptance.PENDING

    async def set_state(self, state: MemberState) -> None:
        """Set the state in this member's row; raises PlatformError."""
        self.own = attrs.evolve(
            self.own,
            state=state,
            heartbeat=self.own.heartbeat + 1,
            applied_version=self.catalogue.version,
        )
        write = RowWrite(self.own.key, self.own.to_json())
        await self._table.commit([], [write])

    async def stop(self) -> None:
        """Stop polling and mark the row as stopped, if the table answers."""
        await self._stack.aclose()
        if self.own.state != MemberState.STOPPED:
            with contextlib.suppress(PlatformError):
                await self.set_state(MemberState.STOPPED)

    async def _poll(self) -> None:
        while True:
            with contextlib.suppress(PlatformError):
                await self._read_table()
            await asyncio.sleep(POLL_S)

    async def _read_table(self) -> None:
        asked_s = self._now()
        keys = poll_keys(self.catalogue.version)
        rows = await self._table.read(keys, [MEMBERS_PREFIX])
        catalogue = await self._store.load_rows(self.catalogue, rows)
        self._apply(catalogue)
        self._set_members(rows)
        self._basis_s = asked_s
        if self.own.state == MemberState.JOINING:
            await self.set_state(MemberState.LIVE)

    def _apply(self, catalogue: Catalogue) -> None:
        if catalogue.version > self.catalogue.version:
            self.catalogue = catalogue
            for callback in self._callbacks:
                callback(catalogue)

    def _set_members(self, rows: dict[str, Row]) -> None:
        members = tuple(
            member_from_json(row.content)
            for key, row in sorted(rows.items())
            if key.startswith(MEMBERS_PREFIX)
        )
        members = tuple(
            member for member in members if member.state != MemberState.STOPPED
        )
        if members != self._members:
            self._members = members
            for callback in self._member_callbacks:
                callback()
