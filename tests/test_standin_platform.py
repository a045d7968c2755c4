"""Tests of the platform stand-in."""

import asyncio
from http import HTTPStatus

import aiohttp
import pytest

from mimosaworks.errors import (
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform import (
    PlatformClients,
    RowAssert,
    RowWrite,
    TableClient,
    platform_clients,
)
from tests.harness import Cluster, wait_until


def _clients(cluster: Cluster) -> PlatformClients:
    return platform_clients(cluster.http, cluster.platform.url)


def _table(cluster: Cluster) -> TableClient:
    return _clients(cluster).table


async def test_a_commit_writes_all_rows_or_none(cluster: Cluster) -> None:
    table = _table(cluster)
    writes = (RowWrite('a/1', 'x'), RowWrite('a/2', 'y'))
    version = await table.commit((RowAssert('a/1', 0),), writes)
    with pytest.raises(StoreConflictError):
        await table.commit(
            (RowAssert('a/1', version), RowAssert('a/2', 0)),
            (RowWrite('a/1', 'z'),),
        )
    rows = await table.read(prefixes=('a/',))
    assert {key: row.content for key, row in rows.items()} == {
        'a/1': 'x',
        'a/2': 'y',
    }
    assert {row.version for row in rows.values()} == {version}
    await table.commit((RowAssert('a/1', version),), (RowWrite('a/1', None),))
    assert list(await table.read(('a/1', 'a/2'))) == ['a/2']


async def test_a_dropped_reply_leaves_the_commit_applied(
    cluster: Cluster,
) -> None:
    table = _table(cluster)
    await cluster.control(cluster.platform, drop_replies=1)
    with pytest.raises(StoreInDoubtError):
        await table.commit((), (RowWrite('a', 'x'),))
    assert (await table.read(('a',)))['a'].content == 'x'
    await table.commit((), (RowWrite('a', 'y'),))


async def test_an_outage_refuses_table_and_objects(cluster: Cluster) -> None:
    objects = _clients(cluster).snapshots
    await objects.put('config/snapshots/1', b'x')
    await cluster.control(cluster.platform, outage=True)
    with pytest.raises(StoreUnavailableError):
        await _table(cluster).read(('a',))
    with pytest.raises(StoreUnavailableError):
        await objects.get('config/snapshots/1')
    await cluster.control(cluster.platform, outage=False)
    assert await objects.get('config/snapshots/1') == b'x'
    assert await objects.get('config/snapshots/2') is None


async def test_loads_beyond_the_limit_wait(cluster: Cluster) -> None:
    await cluster.control(cluster.platform, loads_per_s=1000, loads_at_once=2)

    async def load(number: int) -> None:
        query = f'/weights/c{number}?size_bytes=20000000'
        await cluster.get_json(cluster.platform, query)

    await asyncio.gather(*(load(number) for number in range(6)))
    stats = await cluster.get_json(cluster.platform, '/stats')
    assert stats['loads'] == 6
    assert stats['most_loads_at_once'] == 2


async def test_the_vm_list_lags(cluster: Cluster) -> None:
    vms = [{'address': '127.0.0.2', 'data_centre': 'a', 'state': 'live'}]
    await cluster.control(cluster.platform, vms=vms, vms_lag_s=0)
    await cluster.control(cluster.platform, vms=[], vms_lag_s=60)

    async def is_shown() -> bool:
        return await _clients(cluster).vm_list.states() == {'127.0.0.2': 'live'}

    await wait_until(is_shown)
    await asyncio.sleep(0.1)
    assert await is_shown()


async def test_an_unknown_control_is_refused(cluster: Cluster) -> None:
    with pytest.raises(aiohttp.ClientResponseError) as refused:
        await cluster.control(cluster.platform, outrage=True)
    assert refused.value.status == HTTPStatus.BAD_REQUEST
