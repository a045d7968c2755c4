"""Requests without a body on kept connections, which the client repeats."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from standins.agency.replica import POISON_PATH
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_crashing_requests import (
    CONTACT_S,
    MAX_LATE,
    late_arrivals,
)
from tests.test_node_processes import until, until_served

LEDGERS = 4
NODES = 3
WARM_REQUESTS = 30  # more than nodes times ledgers
RUN_S = 4 * CONTACT_S
PAUSE_S = 0.1


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """Nodes that keep a connection to each target."""
    async with open_agency(tmp_path) as opened:
        for number in range(LEDGERS):
            await opened.add_replica(f'ledger-{number}', service='ledger')
        for number in range(NODES):
            await opened.add_node(f'node-{number}')
        for node in opened.nodes:
            await until_served(opened, node)
        await warm(opened)
        yield opened


async def ask(world: AgencyWorld, number: int, path: str) -> int:
    """Send a request without a body; return its status, 0 without one."""
    node = world.nodes[number % len(world.nodes)]
    with contextlib.suppress(aiohttp.ClientError):
        async with world.request(
            node, path, f'bare-{path}-{number}', b'', method='GET'
        ) as resp:
            await resp.read()
            return int(resp.status)
    return 0


async def warm(world: AgencyWorld) -> None:
    """Have connections kept, by many requests at once."""
    await asyncio.gather(
        *(
            ask(world, number, f'/look/{number}')
            for number in range(WARM_REQUESTS)
        )
    )


async def repeat(world: AgencyWorld) -> None:
    """Send a request that crashes its targets, among sound ones."""
    for number in itertools.count():
        await asyncio.sleep(PAUSE_S)
        await ask(world, number, f'/look/{number}')
        await ask(world, number, f'/look{POISON_PATH}')


# Guards against a request that may run once only and that the client sends to
# its target again after a kept connection was closed under it.
@pytest.mark.parametrize('path', ['/post', '/look'])
async def test_a_send_on_a_kept_connection_is_not_repeated_unseen(
    world: AgencyWorld, path: str
) -> None:
    status = await ask(world, 0, f'{path}{POISON_PATH}')
    most = {'/post': 1, '/look': 2}  # the routes' most attempts
    assert len(world.crashed_s) <= most[path]
    assert status == 502


# Guards against targets that end under a request on a kept connection and
# that were taken for ones that could not be reached: no end was counted.
async def test_ends_under_requests_on_kept_connections_are_counted(
    world: AgencyWorld,
) -> None:
    task = asyncio.create_task(repeat(world))
    await until(lambda: len(world.crashed_s) >= 3)
    await asyncio.sleep(RUN_S)
    task.cancel()
    assert late_arrivals(world) <= MAX_LATE
