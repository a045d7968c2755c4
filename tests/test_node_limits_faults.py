"""Limits of targets while nodes and holders fail."""

import asyncio
import time

import pytest

from bench.soak_limits import CONTACT_S
from standins.agency.world import AgencyWorld
from tests.limits_world import (
    LOAD_DURATION_S,
    SEND_INTERVAL_S,
    assert_mostly_served,
    count_hits,
    drain_target,
    find_limit_violations,
    generate_load,
)
from tests.test_node_crashing_requests import restart
from tests.test_node_processes import holder_of, until


# Guards against a limit that a new holder does not know, or whose burst it
# gives once more.
async def test_a_limit_holds_over_three_holders(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '1'
    async with generate_load(limited_world, '/look/x'):
        await asyncio.sleep(CONTACT_S)
        for _ in range(3):
            await restart(limited_world, holder_of(*limited_world.nodes))
            await asyncio.sleep(2)
    assert not find_limit_violations(replica)


# Guards against a limit that a restart of all nodes takes along, so that each
# of them spends a burst before it hears of it again.
async def test_a_limit_holds_over_restarts_of_all_nodes(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '1'
    async with generate_load(limited_world, '/look/x'):
        await asyncio.sleep(CONTACT_S)
        for _ in range(2):
            await restart(limited_world, *limited_world.nodes)
            await asyncio.sleep(CONTACT_S)
    assert not find_limit_violations(replica)


# Guards against a limit that needs the store.
async def test_a_limit_holds_while_the_store_is_silent(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '1'
    limited_world.faults.is_silent = True
    async with generate_load(limited_world, '/look/x') as load:
        await asyncio.sleep(LOAD_DURATION_S)
        assert_mostly_served(load)
    assert not find_limit_violations(replica)


# Guards against a limit that a new birth at the same name and address gets
# twice, or never rid of.
@pytest.mark.parametrize('limit', ['1', ''])
async def test_a_target_that_is_born_anew_has_the_limit_that_it_names(
    limited_world: AgencyWorld, limit: str
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '1'
    async with generate_load(limited_world, '/look/x') as load:
        await asyncio.sleep(CONTACT_S)
        replica.limit = limit
        replica.restart()
        replica.register(limited_world.store)
        await asyncio.sleep(CONTACT_S)
        await drain_target(limited_world, 'ledger-1')
        begun_s = time.monotonic()
        await asyncio.sleep(2)
        assert load.statuses[200]
    assert not find_limit_violations(replica)
    # Without a limit it takes all that comes.
    takes_all = count_hits(replica, begun_s) > 0.8 * 2 / SEND_INTERVAL_S
    assert takes_all is not bool(limit)


# Guards against nodes that hear no holder and each send what the limit allows.
async def test_a_limit_holds_for_nodes_that_decide_alone(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '2'
    async with generate_load(limited_world, '/look/x') as load:
        await asyncio.sleep(CONTACT_S)
        limited_world.faults.is_silent = True
        await holder_of(*limited_world.nodes).process.kill()
        await asyncio.sleep(LOAD_DURATION_S)
        limited_world.faults.is_silent = False
        assert load.statuses[200]
    assert not find_limit_violations(replica)


# Guards against a node that was paused with a decision in hand and sends as
# soon as it wakes.
async def test_a_limit_holds_for_nodes_that_were_paused(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '1'
    async with generate_load(limited_world, '/look/x'):
        await asyncio.sleep(CONTACT_S)
        for node in limited_world.nodes * 2:
            node.process.pause()
            await asyncio.sleep(1.5)
            node.process.resume()
    assert not find_limit_violations(replica)


# Guards against a limit that holds on after the target has ceased to name it,
# or that a target which is hardly used never lifts.
@pytest.mark.parametrize('limit', ['0', '0.2'])
async def test_a_limit_ends_when_answers_name_none(
    limited_world: AgencyWorld, limit: str
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = limit
    async with generate_load(limited_world, '/look/x') as load:
        await until(lambda: bool(replica.named))
        await asyncio.sleep(CONTACT_S)
        replica.limit = ''
        await until(lambda: not replica.named[-1].limit)
        await drain_target(limited_world, 'ledger-1')
        begun_s = time.monotonic()
        await asyncio.sleep(2)
        assert_mostly_served(load)
    # It takes all that comes.
    assert count_hits(replica, begun_s) > 0.8 * 2 / SEND_INTERVAL_S


# Guards against a field that can't be read and ends a process, or lifts a
# limit that holds.
async def test_a_limit_that_can_not_be_read_changes_nothing(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '1'
    async with generate_load(limited_world, '/look/x') as load:
        await until(lambda: bool(replica.named))
        await asyncio.sleep(CONTACT_S)
        begun_s = time.monotonic()
        for sent in ('-1', 'nan', 'inf', 'few', '1_0', '9' * 8000, '1,1', ' '):
            replica.limit = sent
            await asyncio.sleep(0.5)
        assert_mostly_served(load)
    # It is asked rarely: some of these are in no answer.
    assert count_hits(replica, begun_s) <= 1.5 * 4 + 5
    assert all(node.process.is_running() for node in limited_world.nodes)
    assert any(node.events('limit_ignored') for node in limited_world.nodes)
