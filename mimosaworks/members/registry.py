"""The members' rows in the table."""

import asyncio
import json
import random
from collections.abc import Callable, Mapping

import attrs

from mimosaworks.configs import HEAD_KEY, ConfigStore, head_version
from mimosaworks.entities import Catalogue
from mimosaworks.errors import (
    PlatformError,
    StoreConflictError,
    StoreInDoubtError,
)
from mimosaworks.members.member import (
    MEMBERS_PREFIX,
    Member,
    member_from_json,
)
from mimosaworks.members.state import MemberState
from mimosaworks.members.table_state import TableState
from mimosaworks.members.view import View, view_of
from mimosaworks.platform import Row, RowAssert, RowWrite, TableClient

# Sorts between the configuration's head and the members, so that one read
# of all three is short.
MEMBERSHIP_KEY = 'member-list'
WRITE_TRIES = 12
RETRY_S = 0.1


class RemovedError(PlatformError):
    """The member's row is gone or belongs to another process."""


@attrs.define
class Registry:
    """Reads and writes members; each change of the view moves one head row.

    Heartbeats don't move it, so that members need to be read only after a
    change.
    """

    table: TableClient
    store: ConfigStore
    now: Callable[[], float]

    async def poll(self, catalogue: Catalogue, view: View) -> TableState:
        """Read what is newer than the given state; raises PlatformError."""
        asked_s = self.now()
        keys = [HEAD_KEY, MEMBERSHIP_KEY]
        rows = await self.table.read(keys)
        if _view_version(rows) > view.version:
            return await self.read(catalogue)
        return await self._state(asked_s, catalogue, view, rows)

    async def read(self, catalogue: Catalogue) -> TableState:
        """Read the members too; raises PlatformError."""
        asked_s = self.now()
        keys = [HEAD_KEY, MEMBERSHIP_KEY]
        rows = await self.table.read(keys, [MEMBERS_PREFIX])
        view = view_of(_view_version(rows), _members(rows).values())
        return await self._state(asked_s, catalogue, view, rows)

    async def rows(self) -> list[Member]:
        """Return all members with their heartbeats; raises PlatformError."""
        rows = await self.table.read([], [MEMBERS_PREFIX])
        return list(_members(rows).values())

    async def put(self, member: Member) -> None:
        """Write a member's row as a change of the view.

        Raises RemovedError unless the row is its own (a joining member may
        replace any row), and PlatformError.
        """
        await self._retry(member, member.to_json())

    async def remove(self, member: Member) -> None:
        """Delete the row of a member that has stopped or is dead."""
        await self._retry(member, None)

    async def beat(self, member: Member) -> None:
        """Count up the heartbeat; raises RemovedError, PlatformError.

        Takes only the applied version from member: its state may be older
        than the row's.
        """
        rows = await self.table.read([member.key])
        _check_owner(rows, member)
        row = rows[member.key]
        previous = member_from_json(row.content)
        beaten = attrs.evolve(
            previous,
            heartbeat=previous.heartbeat + 1,
            applied_version=member.applied_version,
        )
        await self.table.commit(
            [RowAssert(member.key, row.version)],
            [RowWrite(member.key, beaten.to_json())],
        )

    async def _state(
        self,
        asked_s: float,
        catalogue: Catalogue,
        view: View,
        rows: Mapping[str, Row],
    ) -> TableState:
        newer, entries = await self.store.load_version(
            catalogue, head_version(rows)
        )
        return TableState(asked_s, newer, view, entries)

    async def _retry(self, member: Member, content: str | None) -> None:
        tries = 0
        while not await self._is_written(member, content):
            tries += 1
            if tries == WRITE_TRIES:
                raise StoreInDoubtError(f'{member.key}: outcome unknown')
            # Members that join together race for the head row.
            await asyncio.sleep(RETRY_S * (1 + random.random()))  # noqa: S311

    async def _is_written(self, member: Member, content: str | None) -> bool:
        # The commit asserts both rows; between them lie all members.
        rows = await self.table.read([MEMBERSHIP_KEY])
        rows |= await self.table.read([member.key])
        row = rows.get(member.key)
        previous = row.content if row else None
        if content == previous:
            return True
        if content is None or member.state != MemberState.JOINING:
            _check_owner(rows, member)
        try:
            await self.table.commit(
                [
                    _unchanged(rows, MEMBERSHIP_KEY),
                    _unchanged(rows, member.key),
                ],
                [
                    RowWrite(MEMBERSHIP_KEY, _next_head(rows)),
                    RowWrite(member.key, content),
                ],
            )
        except (StoreConflictError, StoreInDoubtError):
            return False
        return True


def _unchanged(rows: Mapping[str, Row], key: str) -> RowAssert:
    row = rows.get(key)
    return RowAssert(key, row.version if row else 0)


def _view_version(rows: Mapping[str, Row]) -> int:
    head = rows.get(MEMBERSHIP_KEY)
    if head is None:
        return 0
    return int(json.loads(head.content)['version'])


def _next_head(rows: Mapping[str, Row]) -> str:
    return json.dumps({'version': _view_version(rows) + 1})


def _members(rows: Mapping[str, Row]) -> dict[str, Member]:
    return {
        key: member_from_json(row.content)
        for key, row in rows.items()
        if key.startswith(MEMBERS_PREFIX)
    }


def _check_owner(rows: Mapping[str, Row], member: Member) -> None:
    row = rows.get(member.key)
    if row is None or member_from_json(row.content).id != member.id:
        raise RemovedError(f'{member.key} is not of {member.boot_nonce}')
