"""Nodes that fall silent while their requests run, and the holder's books."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

import pytest

from standins.agency.world import (
    OTHER_KEY,
    AgencyWorld,
    NodeHandle,
    open_agency,
)
from tests.test_node_processes import (
    holder_of,
    open_pair,
    until,
)

EVENT_S = 0.7  # streams of 3.5 s, within their time limit
BURST = 3  # requests of the small workspace at once
SILENT_S = 2.4  # over the time in which a silent node is lost


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def ask_small(
    world: AgencyWorld, node: NodeHandle, number: int, hold_s: float = 0
) -> int:
    """Ask for a third of what the small workspace may use at once.

    Leaves hold_s after the head of an answer.
    """
    async with world.request(
        node,
        '/chat/a',
        f'small-{number}',
        X_Model='alpha',
        X_Token_Counts='480,20',
        Authorization=f'Bearer {OTHER_KEY}',
    ) as resp:
        status = int(resp.status)
        if status == HTTPStatus.OK:
            await asyncio.sleep(hold_s)
        return status


# Guards against requests of a node that is silent for a while and whose tokens
# are given back though they run.
async def test_what_a_silent_node_runs_stays_charged(
    world: AgencyWorld,
) -> None:
    pair = await open_pair(world, event_s=EVENT_S)
    holder = holder_of(*pair)
    member = next(node for node in pair if node is not holder)
    running = [
        asyncio.create_task(ask_small(world, member, number, SILENT_S))
        for number in range(BURST)
    ]
    await until(lambda: len(world.replicas['engine-1'].runs) == BURST)
    member.process.pause()
    await asyncio.sleep(SILENT_S)
    assert holder.events('call_forgotten')
    statuses = [
        await ask_small(world, holder, BURST + number)
        for number in range(BURST)
    ]
    member.process.resume()
    assert set(await asyncio.gather(*running)) == {HTTPStatus.OK}
    assert set(statuses) == {HTTPStatus.TOO_MANY_REQUESTS}
