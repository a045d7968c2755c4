"""A node's log under far more requests than it usually gets."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from mimosaworks.events.event import FAILURE_EVENTS
from mimosaworks.events.json_stream import (
    DROPPED,
    FAILURE_LINES_PER_S,
    LINES_PER_S,
)
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.harness import wait_until

# A node of the agency's small deployments gets four requests a second.
USUAL_PER_S = 4
FLOOD_S = 15
FLOOD = USUAL_PER_S * 10 * FLOOD_S
PARALLEL = 100


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def _send(world: AgencyWorld, node: NodeHandle, request_id: str) -> int:
    async with world.request(node, '/look/x', request_id) as resp:
        await resp.read()
        return int(resp.status)


async def _flood(world: AgencyWorld, node: NodeHandle) -> None:
    """Send at once what ten times the usual load sends in FLOOD_S."""
    places = asyncio.Semaphore(PARALLEL)

    async def send(number: int) -> None:
        async with places:
            await _send(world, node, f'flood-{number}')

    await asyncio.gather(*map(send, range(FLOOD)))


async def test_a_flood_leaves_a_bounded_log_that_counts_what_it_left_out(
    world: AgencyWorld,
) -> None:
    await world.add_replica('ledger-1', service='ledger', slots=6)
    node = await world.add_node('node-1')

    async def is_served() -> bool:
        return await _send(world, node, 'first') == 200

    await wait_until(is_served)
    await _flood(world, node)
    # The next line of an event in a later second tells what was left out.
    await asyncio.sleep(1.1)
    assert await _send(world, node, 'last') == 200
    lines = node.lines()
    by_second = Counter((line['event'], int(line['t'])) for line in lines)
    failures = {event.name.lower() for event in FAILURE_EVENTS}
    for (event, _), count in by_second.items():
        limit = FAILURE_LINES_PER_S if event in failures else LINES_PER_S
        assert count <= limit
    admitted = [line for line in lines if line['event'] == 'call_admitted']
    left_out = sum(line.get(DROPPED, 0) for line in admitted)
    told = {line['request_id'] for line in admitted}
    assert left_out > 0
    assert len(told - {'first', 'last'}) + left_out == FLOOD
