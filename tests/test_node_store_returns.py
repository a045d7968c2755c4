"""A store that comes back from an older copy of itself."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import CrashTracker, TargetCrash
from mimosaworks.errors import (
    StoreConflictError,
    StoreInDoubtError,
    StoreReturnedError,
)
from mimosaworks.node.cluster_state import ClusterState
from mimosaworks.node.election import LEASE_ROW
from mimosaworks.node.stored_suspects import SuspectSaver
from mimosaworks.platform import RowChange, RowName, RowNeed, StoreClient
from mimosaworks.store_era import StoreEra
from standins.agency.world import AgencyWorld, desired, open_agency
from standins.platform import Store, json_row
from tests.store_paths import StorePaths, open_paths
from tests.test_node_beliefs import row
from tests.test_node_processes import until
from tests.test_node_store_refusals import notice_s

NODES = 3
LEAVING = 'ledger-1'
ROW = RowName('table', 'key')
AWAY_S = 0.5
MOST = 0.9
ROW_BYTES = 100000


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


@pytest.fixture
async def client(world: AgencyWorld) -> AsyncIterator[StoreClient]:
    async with aiohttp.ClientSession() as session:
        yield StoreClient(session, f'http://{world.store_address}')


def write(store: Store, content: object) -> None:
    store.commit({'put': [json_row(ROW.table, ROW.key, content)]})


# Guards against changes that are never seen, as the store gives out versions
# again that a follower had reached.
async def test_a_version_of_an_earlier_era_is_not_followed(
    world: AgencyWorld, client: StoreClient
) -> None:
    older = world.store.copy()
    write(world.store, 1)
    answer = await client.read(ROW.table)
    world.store.return_from(older)
    for content in (2, 3, 4):
        write(world.store, content)
    with pytest.raises(StoreReturnedError):
        await client.follow(ROW.table, answer.version, 0)
    again = await client.read(ROW.table)
    assert again.rows[0].content == b'4'
    assert again.version > answer.version


# Guards against a write on the condition of a version that has another content
# since the store returned.
async def test_a_version_of_an_earlier_era_is_no_condition(
    world: AgencyWorld, client: StoreClient
) -> None:
    older = world.store.copy()
    write(world.store, 1)
    answer = await client.read(ROW.table)
    world.store.return_from(older)
    write(world.store, 2)
    await client.read('another')
    with pytest.raises(StoreConflictError) as caught:
        await client.commit(
            [RowNeed(ROW, answer.rows[0].version)], [RowChange(ROW, b'3')]
        )
    assert [row.content for row in caught.value.rows] == [b'2']


# Guards against an answer of the store before its return that comes late.
def test_an_answer_of_an_earlier_era_is_refused() -> None:
    era = StoreEra()
    era.record_answer('3')
    with pytest.raises(StoreInDoubtError, match='era 2'):
        era.record_answer('2')


# Guards against an odd era that ends the tasks which read the store.
@pytest.mark.parametrize('sent', ['', '-1', 'x', '1e400', '9' * 5000])
def test_an_era_that_is_no_number_is_refused(sent: str) -> None:
    with pytest.raises(StoreInDoubtError, match='era is'):
        StoreEra().record_answer(sent)


async def return_store(paths: StorePaths) -> None:
    """Have the store go away, and come back as it was before some changes."""
    store = paths.world.store
    older = store.copy()
    leaving = paths.world.replicas[LEAVING]
    leaving.state = 'draining'
    leaving.register(store)
    paths.world.configure(desired(2))
    await asyncio.sleep(1.0)
    paths.set_fault(_answer_503, paths.nodes, is_on=True)
    await asyncio.sleep(AWAY_S)
    store.return_from(older)
    paths.set_fault(_answer_503, paths.nodes, is_on=False)


def _answer_503(faults: object, is_on: bool) -> None:
    faults.outage = is_on  # type: ignore[attr-defined]


# Guards against nodes that serve by what an older copy of the store says: a
# target that leaves, or a fencing number that was given out before.
async def test_a_store_that_returns_from_a_copy_takes_nothing_back(
    world: AgencyWorld,
) -> None:
    paths = await open_paths(world, NODES)
    async with paths.callers():
        first_fences = _fences(paths)
        told_s = time.monotonic()
        await return_store(paths)
        for replica in world.replicas.values():
            replica.register(world.store)
        world.configure(desired(2))
        returned_s = time.monotonic()
        await until(
            lambda: any(node.events('store_returned') for node in paths.nodes)
        )
        await asyncio.sleep(2.0)
        assert not paths.arrivals(LEAVING, told_s + notice_s(paths))
        assert paths.served_share(returned_s, time.monotonic()) > MOST
        killed_s = time.time()
        await paths.holder().process.kill()
        await until(lambda: len(_fences(paths, killed_s)) > 0)
        # The first holder may have lost the lease before, and live on.
        later = Counter(_fences(paths)) - Counter(first_fences)
        assert min(later) > max(first_fences)
        lease = world.store.rows[LEASE_ROW.table, '', LEASE_ROW.key]
        assert lease[0]


def _fences(paths: StorePaths, since_s: float = 0) -> list[int]:
    """Return the fencing numbers that were given out since a Unix time."""
    return [
        int(line['fence'])
        for node in paths.nodes
        for line in node.events('lease_taken')
        if line['t'] >= since_s
    ]


# Guards against suspects that a holder takes for stored and that the store has
# lost, also when the write that learns of its return had no rows.
def test_suspects_are_stored_again_after_a_return() -> None:
    saver = SuspectSaver()
    tracker = CrashTracker()
    tracker.record_crash(TargetCrash('f', 't', 1), None, 0)
    assert saver.unsaved_rows(tracker, ROW_BYTES)
    saver.record_saved(1)
    assert not saver.unsaved_rows(tracker, ROW_BYTES)
    saver.forget_saved()
    saver.record_saved(2)
    assert saver.unsaved_rows(tracker, ROW_BYTES)


# Guards against a leaving target that is ready again by an older copy, or has
# no end any more.
def test_an_incarnation_that_leaves_goes_on_leaving() -> None:
    beliefs = ClusterState()
    notice = {'state': 'draining', 'remaining-ms': 2000}
    beliefs.apply_target_rows({'t': row('t', 5, **notice)}, 0)
    beliefs.apply_target_rows({'t': row('t', 3)}, 0)
    assert beliefs.targets['t'].state is TargetState.DRAINING
    assert beliefs.targets['t'].leaves_at_s <= now_s() + 2
    beliefs.apply_target_rows({'t': row('t', 6, born=2)}, 0)
    assert beliefs.targets['t'].state is TargetState.READY
