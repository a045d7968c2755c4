"""In-memory store and members for tests of the administration API."""

import contextlib
import types
from collections.abc import AsyncGenerator, Sequence
from typing import Any

import attrs
from aiohttp.test_utils import TestClient, TestServer

from mimosaworks.admin.process import new_admin_app
from mimosaworks.admin.service import AdminService
from mimosaworks.admin.settings import AdminSettings
from mimosaworks.configs import ConfigConflictError
from mimosaworks.entities import Catalogue, Change, apply_changes
from mimosaworks.errors import PlatformError, StoreUnavailableError
from mimosaworks.members import Acceptance, Member, MemberRole

OPERATORS = 'asel:s3cret,jun:other'
SETTINGS = AdminSettings('127.0.0.1:0', '127.0.0.1:0', 'http://x', OPERATORS)
ASEL = types.MappingProxyType({'Authorization': 'Bearer s3cret'})


@attrs.define
class FakeStore:
    """Keeps versions in memory; error, if set, ends every append."""

    catalogue: Catalogue = Catalogue()
    authors: list[str] = attrs.field(factory=list)
    error: PlatformError | None = None
    is_down: bool = False
    winners: list[Sequence[Change]] = attrs.field(factory=list)

    async def load(self, since: Catalogue) -> Catalogue:
        if self.is_down:
            raise StoreUnavailableError('table: status 503')
        return self.catalogue

    async def member_rows(self) -> tuple[Member, ...]:
        if self.is_down:
            raise StoreUnavailableError('table: status 503')
        return (Member('r:1', 'r:2', MemberRole.ROUTER, 'qc'),)

    async def append(
        self, base_version: int, changes: Sequence[Change], author: str
    ) -> int:
        if self.error is not None:
            raise self.error
        if self.winners:
            self._add(self.winners.pop(), 'winner')
        if base_version != self.catalogue.version:
            raise ConfigConflictError(self.catalogue.version)
        self._add(changes, author)
        return self.catalogue.version

    def _add(self, changes: Sequence[Change], author: str) -> None:
        version = self.catalogue.version + 1
        self.catalogue = apply_changes(self.catalogue, changes, version)
        self.authors.append(author)


@attrs.define
class FakeMembers:
    """Answers each publication with a set acceptance."""

    acceptance: Acceptance = Acceptance.IN_FORCE
    catalogue: Catalogue = Catalogue()
    own: Member = Member('a:1', 'a:2', MemberRole.ADMIN, 'qc')

    async def publish(self, version: int) -> Acceptance:
        return self.acceptance

    def is_fresh(self) -> bool:
        return True

    def members(self) -> tuple[Member, ...]:
        return (self.own,)


@contextlib.asynccontextmanager
async def admin_client(
    store: Any, members: Any
) -> AsyncGenerator[TestClient[Any, Any], None]:
    """Yield a client of the API that sends the token of operator asel."""
    service = AdminService(store, members, store.member_rows)
    app = new_admin_app(SETTINGS, service)
    async with TestClient(TestServer(app), headers=ASEL) as client:
        yield client
