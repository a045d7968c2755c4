"""Ends of targets that start anew sooner than nodes hear of it."""

import asyncio
import functools
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.agency.replica import POISON
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import until, until_served

NODES = 5
DOWN_S = 0.02
LATE_S = 8.0
PAUSE_S = 1.0  # the holder leaves a target out that it can't reach
APART_ENDS = 2  # from here on it runs one at a time, once in an attempt


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """Have one ledger that starts anew at once."""
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-0', service='ledger')
        for number in range(NODES):
            await opened.add_node(f'node-{number}')
        for node in opened.nodes:
            await until_served(opened, node)
        opened.crash_down_s = DOWN_S
        yield opened


async def ask(world: AgencyWorld, number: int) -> None:
    """Send the request that crashes its target by one of the nodes."""
    async with world.request(
        world.nodes[number], '/post/x', f'poison-{number}', POISON
    ) as resp:
        await resp.read()


def is_reborn(world: AgencyWorld, born: int) -> bool:
    """Tell whether some node has read a later birth of a target."""
    return any(
        line['born'] > born
        for node in world.nodes
        for line in node.events('target_changed')
    )


# Guards against ends that count as one: the nodes that saw them still knew the
# same birth of the target, which the holder did not.
async def test_ends_of_two_births_that_two_nodes_saw_count_twice(
    world: AgencyWorld,
) -> None:
    for number in range(NODES):
        crashes = len(world.crashed_s)
        born = world.replicas['ledger-0'].born
        await ask(world, number)
        if len(world.crashed_s) == crashes:
            break
        await until(functools.partial(is_reborn, world, born))
        await asyncio.sleep(DOWN_S)
    assert len(world.crashed_s) <= APART_ENDS + 1


# Guards against a target that is back before the store has its new birth: each
# node that saw one of its ends took it for the same one.
async def test_ends_count_while_the_store_has_a_birth_late(
    world: AgencyWorld,
) -> None:
    world.entry_late_s = LATE_S
    for number in range(NODES):
        await ask(world, number)
        await asyncio.sleep(PAUSE_S)
    assert len(world.crashed_s) <= APART_ENDS + 1
