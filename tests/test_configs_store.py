"""Tests of the configuration store against the platform stand-in."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any

import attrs
import pytest
from aiohttp import ClientSession

from mimosaworks.configs import ConfigConflictError, ConfigStore
from mimosaworks.entities import Catalogue, Change, Workspace
from mimosaworks.errors import StoreInDoubtError, StoreUnavailableError
from mimosaworks.platform import TableClient, platform_clients
from tests.harness import Cluster


@attrs.define
class LosingTable(TableClient):
    """Loses the reply of a commit; the next try meets an outage."""

    cluster: Cluster = attrs.field(kw_only=True)

    async def commit(self, *args: Any) -> int:
        await super().commit(*args)
        await self.cluster.control(self.cluster.platform, outage=True)
        raise StoreInDoubtError('no answer')


def put(name: str, rate: float = 1) -> list[Change]:
    return [Change('workspace', name, Workspace(name, rate, 1))]


@pytest.fixture
async def store(cluster: Cluster) -> AsyncGenerator[ConfigStore, None]:
    async with ClientSession() as session:
        platform = platform_clients(session, cluster.platform.url)
        yield ConfigStore(platform.table, platform.snapshots)


async def test_a_load_returns_what_was_appended(store: ConfigStore) -> None:
    assert await store.append(0, put('w'), 'op') == 1
    assert await store.append(1, [Change('workspace', 'w')], 'op') == 2
    assert await store.append(2, put('x'), 'op') == 3
    loaded = await store.load(Catalogue())
    assert loaded.version == 3
    assert set(loaded.workspace) == {'x'}


async def test_a_load_never_returns_a_lower_version(store: ConfigStore) -> None:
    await store.append(0, put('w'), 'op')
    newer = Catalogue(version=5)
    assert await store.load(newer) is newer


async def test_a_lost_race_tells_the_version_that_won(
    store: ConfigStore,
) -> None:
    outcomes = await asyncio.gather(
        *(store.append(0, put(f'w{number}'), 'op') for number in range(8)),
        return_exceptions=True,
    )
    lost = [exc for exc in outcomes if isinstance(exc, ConfigConflictError)]
    assert outcomes.count(1) == 1
    assert {exc.version for exc in lost} == {1}
    assert len(lost) == 7
    assert len((await store.load(Catalogue())).workspace) == 1


async def test_an_append_on_an_old_version_changes_nothing(
    store: ConfigStore,
) -> None:
    await store.append(0, put('w'), 'op')
    with pytest.raises(ConfigConflictError):
        await store.append(0, put('x'), 'op')
    assert (await store.load(Catalogue())).version == 1


@pytest.mark.parametrize('lost', [1, 2, 3])
async def test_a_lost_reply_is_resolved_and_the_change_is_there_once(
    cluster: Cluster, store: ConfigStore, lost: int
) -> None:
    await cluster.control(cluster.platform, drop_replies=lost)
    assert await store.append(0, put('w'), 'op') == 1
    assert (await store.load(Catalogue())).version == 1


async def test_racers_whose_replies_are_lost_agree_on_the_winner(
    cluster: Cluster, store: ConfigStore
) -> None:
    await cluster.control(cluster.platform, drop_replies=3)
    outcomes = await asyncio.gather(
        *(store.append(0, put(f'w{number}'), 'op') for number in range(4)),
        return_exceptions=True,
    )
    loaded = await store.load(Catalogue())
    assert outcomes.count(1) == 1
    assert set(loaded.workspace) == {f'w{outcomes.index(1)}'}


async def test_an_outage_refuses_and_changes_nothing(
    cluster: Cluster, store: ConfigStore
) -> None:
    await cluster.control(cluster.platform, outage=True)
    with pytest.raises(StoreUnavailableError):
        await store.append(0, put('w'), 'op')
    await cluster.control(cluster.platform, outage=False)
    assert (await store.load(Catalogue())).version == 0


async def test_an_outcome_that_stays_unknown_is_told_as_in_doubt(
    cluster: Cluster, store: ConfigStore
) -> None:
    table = store.table
    store.table = LosingTable(table.store, cluster=cluster)
    with pytest.raises(StoreInDoubtError):
        await store.append(0, put('w'), 'op')


async def test_a_holder_far_behind_catches_up_over_a_snapshot(
    cluster: Cluster, store: ConfigStore
) -> None:
    version = 0
    while version < 130:
        name = f'w{version}'
        version = await store.append(version, put(name), 'op')
    before = await cluster.get_json(cluster.platform, '/stats')
    loaded = await store.load(Catalogue())
    after = await cluster.get_json(cluster.platform, '/stats')
    assert loaded.version == 130
    assert len(loaded.workspace) == 130
    assert after['object_reads'] - before['object_reads'] == 1
    assert after['reads'] - before['reads'] == 2


async def test_a_missing_snapshot_is_made_good_by_the_log(
    cluster: Cluster, store: ConfigStore
) -> None:
    version = 0
    while version < 66:
        version = await store.append(version, put('w', version + 1), 'op')
    await store.object_client.put('config/snapshots/000000000064', b'[]')
    loaded = await store.load(Catalogue())
    assert loaded.version == 66
    assert loaded.workspace['w'].rate_tokens_per_s == 66
