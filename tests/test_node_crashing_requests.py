"""Requests that crash every target that runs them, at real nodes."""

import asyncio
import contextlib
import itertools
import time
import types
from collections.abc import AsyncGenerator, AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from standins.agency.replica import POISON
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import holder_of, until, until_served

ENGINES = 3
MODEL = types.MappingProxyType({
    'X_Model': 'alpha',
    'X_Token_Counts': '500,20',
})
PAUSE_S = 0.1
CONTACT_S = 3.0  # the bound in the nodes' settings
MAX_LATE = 3
PLAIN = ('/look/x', '/post/x')
LEDGERS = 4


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        for number in range(LEDGERS):
            await opened.add_replica(f'ledger-{number}', service='ledger')
        for number in range(ENGINES):
            await opened.add_replica(
                f'engine-{number}', models={'alpha': set()}
            )
        for number in range(3):
            await opened.add_node(f'node-{number}')
        for node in opened.nodes:
            await until_served(opened, node)
        yield opened


async def repeat(world: AgencyWorld, path: str) -> None:
    """Send the request that crashes targets, again and again."""
    extra = {} if path in PLAIN else MODEL
    for number in itertools.count():
        await asyncio.sleep(PAUSE_S)
        if not world.nodes:
            continue
        node = world.nodes[number % len(world.nodes)]
        with contextlib.suppress(aiohttp.ClientError):
            async with world.request(
                node, path, f'poison-{number}', POISON, **extra
            ) as resp:
                await resp.read()


@contextlib.asynccontextmanager
async def repeated(world: AgencyWorld, path: str) -> AsyncGenerator[None, None]:
    """Repeat the request until its targets crashed three times and after."""
    task = asyncio.create_task(repeat(world, path))
    await until(lambda: len(world.crashed_s) >= 3)
    yield
    task.cancel()
    # Other requests of the same caller on the same path are served.
    for node in world.nodes:
        await until_served(world, node)


def late_arrivals(world: AgencyWorld) -> int:
    """Return how often the request ran long after its third crash."""
    late_s = world.crashed_s[2] + CONTACT_S
    return sum(crash_s > late_s for crash_s in world.crashed_s)


async def restart(world: AgencyWorld, *nodes: NodeHandle) -> None:
    """Kill nodes at once and start them again."""
    for killed in nodes:
        await killed.process.kill()
        world.nodes.remove(killed)
    starts = (world.add_node(old.process.name, old.boot) for old in nodes)
    await asyncio.gather(*starts)


# Guards against a request that goes on crashing targets after each change of
# the holder, which counted its crashes for itself.
@pytest.mark.parametrize('path', [*PLAIN, '/chat/x', '/draft/x'])
async def test_a_new_holder_refuses_what_crashed_targets_before(
    world: AgencyWorld, path: str
) -> None:
    async with repeated(world, path):
        for _ in range(3):
            await asyncio.sleep(CONTACT_S)
            await restart(world, holder_of(*world.nodes))
        await asyncio.sleep(CONTACT_S)
    assert late_arrivals(world) <= MAX_LATE


# Guards against a count of crashes that a loss of all nodes takes along.
async def test_what_crashed_targets_is_refused_after_a_loss_of_all_nodes(
    world: AgencyWorld,
) -> None:
    async with repeated(world, '/look/x'):
        for _ in range(3):
            await asyncio.sleep(CONTACT_S)
            await restart(world, *world.nodes)
        await asyncio.sleep(CONTACT_S)
    assert late_arrivals(world) <= MAX_LATE


# Guards against nodes that send on, while they hear no holder, what they had
# seen crash its targets.
async def test_nodes_refuse_what_crashed_targets_while_the_store_is_silent(
    world: AgencyWorld,
) -> None:
    world.faults.is_silent = True
    await asyncio.sleep(1)
    async with repeated(world, '/look/x'):
        await asyncio.sleep(CONTACT_S + 3)
        world.faults.is_silent = False
        await asyncio.sleep(CONTACT_S)
    assert late_arrivals(world) <= MAX_LATE
    assert time.monotonic() > world.crashed_s[2] + CONTACT_S


# Guards against nodes that decide alone and know nothing of what the holder
# had refused before it was lost.
async def test_nodes_alone_refuse_what_the_last_holder_refused(
    world: AgencyWorld,
) -> None:
    async with repeated(world, '/look/x'):
        await asyncio.sleep(CONTACT_S)
        world.faults.is_silent = True
        await holder_of(*world.nodes).process.kill()
        await asyncio.sleep(2 * CONTACT_S)
        world.faults.is_silent = False
        world.nodes.remove(holder_of(*world.nodes))
        await asyncio.sleep(CONTACT_S)
    assert late_arrivals(world) <= MAX_LATE


# Guards against a refusal that says "not run" of a request whose first send
# broke off.
async def test_a_refusal_after_a_send_that_broke_says_that_it_may_have_run(
    tmp_path: Path,
) -> None:
    async with open_agency(tmp_path) as world:
        await world.add_replica('ledger-0', service='ledger')
        node = await world.add_node('node-0')
        await until_served(world, node)
        async with world.request(node, '/look/x', 'p-1', POISON) as resp:
            assert resp.status == 502
            assert resp.headers['Mimosa-Run'] == 'may-have-run'
        await until(lambda: bool(node.events('call_resent')))
