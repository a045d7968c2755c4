"""Trials of refused contents while nodes are lost right after them."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_crashing_requests import (
    CONTACT_S,
    LEDGERS,
    MAX_LATE,
    late_arrivals,
    repeated,
    restart,
)
from tests.test_node_processes import holder_of, until_served

NODES = 3
RUN_S = 27.0  # two trials of a holder that does not know of the first
LOST_S = 0.01  # after a crash; sooner than its end is stored
POLL_S = 0.002


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        for number in range(LEDGERS):
            await opened.add_replica(f'ledger-{number}', service='ledger')
        for number in range(NODES):
            await opened.add_node(f'node-{number}')
        for node in opened.nodes:
            await until_served(opened, node)
        yield opened


def only_holder(world: AgencyWorld) -> list[NodeHandle]:
    """Return the node that decides."""
    return [holder_of(*world.nodes)]


def all_nodes(world: AgencyWorld) -> list[NodeHandle]:
    """Return all nodes."""
    return list(world.nodes)


# Guards against trials that each new holder makes again, as the last one was
# lost before it had stored them.
@pytest.mark.parametrize('lost', [only_holder, all_nodes])
async def test_trials_are_not_repeated_after_a_loss_of_nodes(
    world: AgencyWorld, lost: Callable[[AgencyWorld], list[NodeHandle]]
) -> None:
    async with repeated(world, '/look/x'):
        late_s = world.crashed_s[2] + CONTACT_S
        known = 0
        while time.monotonic() < late_s + RUN_S:
            await asyncio.sleep(POLL_S)
            if late_arrivals(world) > known:
                await asyncio.sleep(LOST_S)
                await restart(world, *lost(world))
                known = late_arrivals(world)
    assert late_arrivals(world) <= MAX_LATE
