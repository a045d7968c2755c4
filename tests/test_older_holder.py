"""Nodes of this build under a holder of an older one."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.agency.world import AgencyWorld, open_agency
from tests.older_build import NEW, OLD, needs_older, start_node
from tests.test_node_answer_ends import BROKEN, CHAT, TWO, ask, raw
from tests.test_node_processes import until, until_served

pytestmark = needs_older
ENGINES = ('engine-1', 'engine-2')


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-1', service='ledger')
        for name in ENGINES:
            await opened.add_replica(name, models={'alpha': set()})
        yield opened


# Guards against an answer without framing that ends when the notice of its
# target is over, and which looks complete as the holder does not pass the
# notice on.
@pytest.mark.parametrize('holder', [NEW, OLD])
@pytest.mark.parametrize(
    ('notice_ms', 'expected'),
    [(1200, BROKEN), (9000, (TWO, '1')), (0, (TWO, '1'))],
)
async def test_an_answer_that_ends_with_its_target_s_notice_is_broken_off(
    world: AgencyWorld,
    notice_ms: int,
    expected: tuple[bytes, str],
    holder: str,
) -> None:
    await until_served(world, await start_node(world, 'holder', holder))
    node = await start_node(world, 'asked', NEW)
    await until_served(world, node)
    slow = raw(TWO, pause_s=1.3)
    asked = asyncio.create_task(ask(world, node, CHAT, 'asked', slow, slow))
    engines = [world.replicas[name] for name in ENGINES]
    await until(lambda: any('asked' in engine.runs for engine in engines))
    for engine in engines:
        engine.state = 'draining'
        engine.remaining_ms = notice_ms
        engine.register(world.store)
    assert await asked == expected
    assert world.nodes[0].events('lease_taken')
