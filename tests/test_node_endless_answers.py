"""Targets whose bytes never end, at a real node."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import psutil
import pytest

from standins.agency.endless import EndlessTarget
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import until

MB = 1000000
GROWTH_MB = 100  # a third of a VM's memory
CUT_S = 1.5  # under the time limits of the routes
POLL_S = 0.01
MODEL = 'alpha'


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def add_endless(
    world: AgencyWorld, kind: str, service: str
) -> EndlessTarget:
    target = EndlessTarget(kind)
    await target.open(world.stack)
    replica = Replica('endless', service, 'north', models={MODEL: set()})
    replica.address = target.address
    replica.register(world.store)
    return target


async def ask(
    world: AgencyWorld,
    node: NodeHandle,
    path: str,
    number: int,
    model: str = MODEL,
) -> int:
    """Return the status of an answer, 0 for one that is not whole."""
    extra = {'X_Model': model, 'X_Token_Counts': '500,20'}
    if path == '/look/x':
        extra = {}
    try:
        async with world.request(node, path, f'r-{number}', **extra) as resp:
            await resp.content.readany()
            while not resp.content.at_eof():
                await resp.content.readany()
            return int(resp.status)
    except aiohttp.ClientError:
        return 0


async def peak_mb(node: NodeHandle, until_done: 'asyncio.Future[Any]') -> float:
    """Return the most memory that a node has until a request is answered."""
    process = psutil.Process(node.process.child.pid)
    most = 0
    while not until_done.done():
        most = max(most, process.memory_info().rss)
        await asyncio.sleep(POLL_S)
    return most / MB


# Guards against a target that writes without end: a VM's memory is used up and
# its process ends with all its requests.
@pytest.mark.parametrize(
    ('kind', 'path'),
    [
        ('body', '/look/x'),
        ('chunks', '/look/x'),
        ('event', '/draft/x'),
        ('interim', '/look/x'),
        ('header', '/look/x'),
        ('status', '/look/x'),
        ('extension', '/look/x'),
        ('body', '/chat/x'),
        ('chunks', '/chat/x'),
    ],
)
async def test_an_answer_without_end_is_cut(
    world: AgencyWorld, kind: str, path: str
) -> None:
    service, other = ('ledger', '/chat/x')
    if path != '/look/x':
        service, other = ('engines', '/look/x')
    target = await add_endless(world, kind, service)
    good = 'engines' if service == 'ledger' else 'ledger'
    await world.add_replica('good', service=good, models={MODEL: set()})
    node = await world.add_node('node-1')
    served = [0]
    while served[-1] != 200:
        served.append(await ask(world, node, other, len(served)))
    usual = psutil.Process(node.process.child.pid).memory_info().rss / MB
    begun_s = time.monotonic()
    asked = asyncio.ensure_future(ask(world, node, path, 1000))
    watching = asyncio.ensure_future(peak_mb(node, asked))
    meanwhile = {await ask(world, node, other, 2000 + one) for one in range(5)}
    # A stream of which the caller has a part ends without its end.
    assert await asked in {0, 502}
    assert time.monotonic() - begun_s < CUT_S
    assert await watching < usual + GROWTH_MB
    assert meanwhile == {200}
    await until(lambda: target.closed > 0)
    await until(lambda: bool(node.events('call_broken')))
    broken = node.events('call_broken')
    assert [line['target'] for line in broken] == ['endless']
    cut = node.events('answer_cut')
    # The parser stops at the first byte beyond its own bounds on heads.
    expected = [] if kind in {'header', 'status'} else ['endless']
    assert [line['target'] for line in cut] == expected
    assert all(line['bytes'] > line['allowed'] for line in cut)
