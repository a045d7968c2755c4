"""Targets that leave while the store refuses some of the nodes."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from standins.platform import StoreFaults
from tests.store_paths import StorePaths, open_paths
from tests.test_node_processes import until

NODES = 4
LEAVING = 'ledger-1'
JOINING = 'ledger-new'
# Targets that leave are served for the notice time and a little longer.
STAYS_S = 3.0
MOST = 0.95


def answer_503(faults: StoreFaults, is_on: bool) -> None:
    faults.outage = is_on


def answer_429(faults: StoreFaults, is_on: bool) -> None:
    faults.is_busy = is_on


def reset(faults: StoreFaults, is_on: bool) -> None:
    faults.resets_calls = is_on


def fall_silent(faults: StoreFaults, is_on: bool) -> None:
    faults.is_silent = is_on


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


def notice_s(paths: StorePaths) -> float:
    return float(paths.world.bounds['drain-ms']) / 1000


async def replace_a_target(paths: StorePaths) -> float:
    """Have one target leave and another come; return when it was stored."""
    await paths.world.add_replica(JOINING, service='ledger', slots=6)
    leaving = paths.world.replicas[LEAVING]
    leaving.state = 'draining'
    leaving.register(paths.world.store)
    return time.monotonic()


async def check_replaced(paths: StorePaths, told_s: float) -> None:
    """Check that the leaving target gets nothing, and the new one its share."""
    await asyncio.sleep(STAYS_S)
    late = paths.arrivals(LEAVING, told_s + notice_s(paths))
    late_by_s = [at_s - told_s for at_s in late]
    assert not late_by_s
    assert paths.arrivals(JOINING, told_s)


def list_refused(paths: StorePaths, who: str) -> list[NodeHandle]:
    """Return the nodes that a fault hits: the holder and some others."""
    holder = paths.holder()
    others = paths.others(holder)
    return {
        'holder': [holder],
        'holder and next': [holder, others[-1]],
        'all but one': [holder, *others[1:]],
        'all but holder': others,
    }[who]


# Guards against a holder that the store refuses and that goes on deciding for
# all nodes: requests reached targets that had left long after their notice.
@pytest.mark.parametrize(
    ('fault', 'who'),
    [
        (answer_503, 'holder'),
        (answer_429, 'all but one'),
        (reset, 'all but one'),
        (fall_silent, 'holder and next'),
    ],
)
async def test_a_leaving_target_gets_nothing_while_the_holder_is_refused(
    world: AgencyWorld, fault: object, who: str
) -> None:
    paths = await open_paths(world, NODES)
    async with paths.callers():
        refused = list_refused(paths, who)
        paths.set_fault(fault, refused, is_on=True)  # type: ignore[arg-type]
        told_s = await replace_a_target(paths)
        await check_replaced(paths, told_s)
        assert paths.holder() not in refused
        assert paths.served_share(told_s, time.monotonic()) > MOST


# Guards against a holder that lets go of the lease for a refusal of others.
async def test_the_holder_stays_when_all_others_are_refused(
    world: AgencyWorld,
) -> None:
    paths = await open_paths(world, NODES)
    async with paths.callers():
        holder = paths.holder()
        refused = list_refused(paths, 'all but holder')
        paths.set_fault(answer_503, refused, is_on=True)
        told_s = await replace_a_target(paths)
        await check_replaced(paths, told_s)
        assert paths.holder() is holder


# Guards against a lease that moves with each of many short refusals, or a
# view that gets too old between them.
async def test_a_refusal_that_comes_and_goes_delays_no_notice(
    world: AgencyWorld,
) -> None:
    paths = await open_paths(world, NODES)
    async with paths.callers():
        began_s = time.monotonic()
        told_s: float | None = None
        for _ in range(3):
            refused = [paths.holder()]
            paths.set_fault(answer_503, refused, is_on=True)
            told_s = told_s or await replace_a_target(paths)
            await asyncio.sleep(1.0)
            paths.set_fault(answer_503, refused, is_on=False)
            await asyncio.sleep(1.0)
        assert told_s is not None
        await check_replaced(paths, told_s)
        taken = sum(len(node.events('lease_taken')) for node in paths.nodes)
        assert taken <= 4
        assert paths.served_share(began_s, time.monotonic()) > MOST


# Guards against requests that wait, or a lease that moves, when the store is
# away for all nodes: there is no fresher view that could be used.
@pytest.mark.parametrize('fault', [answer_503, fall_silent])
async def test_requests_are_served_while_the_store_is_away_for_all(
    world: AgencyWorld, fault: object
) -> None:
    paths = await open_paths(world, NODES)
    async with paths.callers():
        holder = paths.holder()
        began_s = time.monotonic()
        paths.set_fault(fault, paths.nodes, is_on=True)  # type: ignore[arg-type]
        await asyncio.sleep(4.0)
        assert paths.holder() is holder
        assert paths.served_share(began_s, time.monotonic()) == 1


# Guards against an outage of the store for all that ends for all but the
# holder, which then waits for the next sign of a refusal.
async def test_an_outage_that_ends_for_others_first_moves_the_lease(
    world: AgencyWorld,
) -> None:
    paths = await open_paths(world, NODES)
    async with paths.callers():
        holder = paths.holder()
        paths.set_fault(answer_503, paths.nodes, is_on=True)
        await asyncio.sleep(2.5)
        paths.set_fault(answer_503, paths.others(holder), is_on=False)
        await until(lambda: paths.holder() is not holder)
        told_s = await replace_a_target(paths)
        await check_replaced(paths, told_s)
