"""Gathers small independent commits into one transaction."""

import asyncio
from collections.abc import Sequence

import attrs

from mimosaworks.errors import PlatformError, StoreConflictError
from mimosaworks.platform.row import RowAssert, RowWrite
from mimosaworks.platform.table import TableClient

GATHER_S = 0.003
# The store takes 100 entries a call; a commit here has two.
MAX_GROUP = 50


@attrs.define(eq=False)
class _Pending:
    asserts: Sequence[RowAssert]
    writes: Sequence[RowWrite]
    done: 'asyncio.Future[int]'

    @property
    def keys(self) -> frozenset[str]:
        """The rows that the commit touches."""
        asserted = frozenset(need.key for need in self.asserts)
        return asserted.union(put.key for put in self.writes)


@attrs.define
class GroupCommit:
    """Commits like a TableClient, but together with others' commits.

    Commits that touch the same row never share a transaction, where each
    would find its asserts to hold. A conflict of one makes each of its group
    be committed by itself. Used where many requests write one row each.
    """

    table: TableClient
    _pending: list[_Pending] = attrs.field(factory=list)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def commit(
        self, asserts: Sequence[RowAssert], writes: Sequence[RowWrite]
    ) -> int:
        """Write all rows if all asserts hold; return the commit's version.

        Raises the errors of TableClient.commit.
        """
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(asserts, writes, fut))
        if len(self._pending) == 1:
            task = asyncio.create_task(self._gather())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await fut

    async def _gather(self) -> None:
        await asyncio.sleep(GATHER_S)
        pending = self._pending
        self._pending = []
        await asyncio.gather(*map(self._commit_group, _split(pending)))

    async def _commit_group(self, group: list[_Pending]) -> None:
        asserts = [need for entry in group for need in entry.asserts]
        writes = [put for entry in group for put in entry.writes]
        try:
            version = await self.table.commit(asserts, writes)
        except StoreConflictError:
            await asyncio.gather(*(self._commit_one(one) for one in group))
        except PlatformError as exc:
            for entry in group:
                _fail(entry, exc)
        else:
            for entry in group:
                _succeed(entry, version)

    async def _commit_one(self, entry: _Pending) -> None:
        try:
            version = await self.table.commit(entry.asserts, entry.writes)
        except PlatformError as exc:
            _fail(entry, exc)
        else:
            _succeed(entry, version)


def _split(pending: Sequence[_Pending]) -> list[list[_Pending]]:
    """Return groups of up to MAX_GROUP; no two in one touch the same row."""
    groups: list[list[_Pending]] = []
    for entry in pending:
        fitting = (group for group in groups if _fits(group, entry))
        group = next(fitting, None)
        if group is None:
            groups.append([entry])
        else:
            group.append(entry)
    return groups


def _fits(group: Sequence[_Pending], entry: _Pending) -> bool:
    keys = entry.keys
    return len(group) < MAX_GROUP and all(
        keys.isdisjoint(other.keys) for other in group
    )


def _fail(entry: _Pending, exc: PlatformError) -> None:
    if not entry.done.done():
        entry.done.set_exception(exc)


def _succeed(entry: _Pending, version: int) -> None:
    if not entry.done.done():
        entry.done.set_result(version)
