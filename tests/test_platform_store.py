"""Proofs about the client of the store, against the stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import attrs
import pytest
from aiohttp.test_utils import TestServer

from mimosaworks.errors import (
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform import (
    RowAssert,
    RowChange,
    RowName,
    RowWrite,
    StoreClient,
    TableClient,
    platform_clients,
)
from standins.platform import StoreFaults, store_app
from standins.platform.store import ShownRows, Store

TABLE = 'things'
PAGE_ROWS = 2


@attrs.define(eq=False)
class ChangingStore(Store):
    """Changes a row of the first page before a later page is read."""

    changes_left: int = 0

    def read_page(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> tuple[ShownRows, bool]:
        if start > 'b' and self.changes_left:
            self.changes_left -= 1
            row = {'table': table, 'part': part, 'key': 'a', 'value': 'bmV3'}
            self.commit({'put': [row]})
        return super().read_page(table, part, start, end)


@attrs.define
class Served:
    """A store over HTTP, with its client."""

    store: ChangingStore
    faults: StoreFaults
    session: aiohttp.ClientSession
    url: str

    @property
    def client(self) -> StoreClient:
        return StoreClient(self.session, self.url, timeout_s=0.5)

    @property
    def table(self) -> TableClient:
        return TableClient(self.client)


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    store = ChangingStore(page_rows=PAGE_ROWS)
    faults = StoreFaults()
    async with contextlib.AsyncExitStack() as stack:
        server = TestServer(store_app(store, faults))
        await stack.enter_async_context(server)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield Served(store, faults, session, str(server.make_url('')))


def put(key: str) -> RowChange:
    return RowChange(RowName(TABLE, key), key.encode())


async def test_a_feed_after_a_read_in_pages_misses_no_change(
    served: Served,
) -> None:
    """A row changes after its page was read and before the last page."""
    names = 'abcde'
    await served.client.commit([], [put(key) for key in names])
    first = await served.client.read(TABLE)
    assert [row.name.key for row in first.rows] == list(names)
    assert first.version == first.newest_version
    served.store.changes_left = 1
    paged = await served.client.read(TABLE)
    assert paged.version < paged.newest_version
    changed = await served.client.follow(TABLE, paged.version, 0)
    assert [(row.name.key, row.content) for row in changed.rows] == [
        ('a', b'new')
    ]


@pytest.mark.parametrize('changes', [1, 4])
async def test_rows_that_are_read_together_are_of_one_moment(
    served: Served, changes: int
) -> None:
    """One page is read, a row of it changes, the next page is read."""
    writes = [RowWrite(key, 'old') for key in 'abcde']
    await served.table.commit([], writes)
    served.store.changes_left = changes
    rows = await served.table.read(prefixes=('',))
    assert rows['a'].content == 'new'
    assert rows['a'].version > rows['e'].version


async def test_a_read_of_rows_that_never_rest_fails(served: Served) -> None:
    await served.table.commit([], [RowWrite(key, 'old') for key in 'abcde'])
    served.store.changes_left = 100
    with pytest.raises(StoreUnavailableError):
        await served.table.read(prefixes=('',))


async def test_a_read_returns_just_the_keys_that_were_asked_for(
    served: Served,
) -> None:
    keys = ('a/1', 'a/2', 'b', 'c/1', 'd')
    await served.table.commit([], [RowWrite(key, key) for key in keys])
    assert list(await served.table.read(('b',), ('a/',))) == [
        'a/1',
        'a/2',
        'b',
    ]
    assert list(await served.table.read(('a/1', 'd'))) == ['a/1', 'd']
    assert not await served.table.read(('a',))
    assert not await served.table.read()


async def test_a_removed_row_may_be_asserted_to_be_absent(
    served: Served,
) -> None:
    version = await served.table.commit([], [RowWrite('a', 'x')])
    with pytest.raises(StoreConflictError):
        await served.table.commit([RowAssert('a', 0)], [RowWrite('a', 'y')])
    await served.table.commit([RowAssert('a', version)], [RowWrite('a', None)])
    await served.table.commit([RowAssert('a', 0)], [RowWrite('a', 'z')])
    rows = await served.table.read(('a',))
    assert rows['a'].content == 'z'


async def test_a_lost_answer_is_in_doubt_only_for_what_changes(
    served: Served,
) -> None:
    clients = platform_clients(served.session, served.url)
    served.faults.drop_replies = 1
    with pytest.raises(StoreInDoubtError):
        await served.table.commit([], [RowWrite('a', 'x')])
    served.faults.is_silent = True
    with pytest.raises(StoreUnavailableError):
        await served.table.read(('a',))
    with pytest.raises(StoreInDoubtError):
        await served.table.commit([], [RowWrite('a', 'y')])
    served.faults.is_silent = False
    assert (await served.table.read(('a',)))['a'].content == 'x'
    assert await clients.snapshots.get('none') is None


async def test_a_refused_call_has_done_nothing(served: Served) -> None:
    clients = platform_clients(served.session, served.url)
    served.faults.outage = True
    for refused in (
        served.table.read(('a',)),
        served.table.commit([], [RowWrite('a', 'x')]),
        clients.snapshots.put('folder/one', b'x'),
        clients.vm_list.states(),
    ):
        with pytest.raises(StoreUnavailableError):
            await refused
    served.faults.outage = False
    assert not served.store.rows
    assert not served.store.blobs


async def test_objects_are_kept_apart_by_their_whole_name(
    served: Served,
) -> None:
    objects = platform_clients(served.session, served.url).snapshots
    await asyncio.gather(
        objects.put('config/snapshots/1', b'one'),
        objects.put('config/snapshots/2', b'two'),
    )
    assert await objects.get('config/snapshots/1') == b'one'
    assert await objects.get('config/snapshots/2') == b'two'
