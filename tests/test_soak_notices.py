"""What a soak says of notices, by what became of them on the way."""

import asyncio
import time
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

import pytest

from bench.soak_heads import SoakHeads
from bench.soak_load import Sent
from bench.soak_notices import (
    DRAIN_S,
    NOTICED_S,
    TOLERATED,
    broken_notices,
)
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import until_served

TARGET = 'ledger-1'
PAUSE_S = 8.0
PLACE = ('node-1', 1)
FIRST = 'first'
OTHERS = tuple(f'r{number}' for number in range(TOLERATED + 1))


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        await opened.add_replica(TARGET, service='ledger')
        yield opened


@pytest.fixture
def heads(world: AgencyWorld) -> SoakHeads:
    noted = SoakHeads()
    noted.watch(world)
    return noted


def list_broken(world: AgencyWorld, heads: SoakHeads) -> list[str]:
    """Return what is broken if all came from one node, the others later."""
    now = time.monotonic()
    sent = {FIRST: Sent(PLACE, now)}
    sent |= {name: Sent(PLACE, now + DRAIN_S) for name in OTHERS}
    return list(broken_notices(world, sent, heads))


async def ask(world: AgencyWorld, request_id: str) -> int:
    """Send a request to the target as a node does."""
    address = world.replicas[TARGET].address
    headers = {'X-Request-Id': request_id}
    async with world.session.post(
        f'http://{address}/look/x', headers=headers, data=b'{}'
    ) as resp:
        return resp.status


# Guards against a soak that does not see that a node ignores a pause.
async def test_requests_in_a_pause_that_a_node_was_told_break_a_soak(
    world: AgencyWorld, heads: SoakHeads
) -> None:
    replica = world.replicas[TARGET]
    replica.pause_s = PAUSE_S
    assert await ask(world, FIRST) == HTTPStatus.SERVICE_UNAVAILABLE
    replica.pause_s = 0
    await asyncio.sleep(1.1 * NOTICED_S)
    for name in OTHERS:
        assert await ask(world, name) == HTTPStatus.OK
    asked_for = f'{TARGET} asked for a pause and got {list(OTHERS)}'
    assert list_broken(world, heads) == [asked_for]


# Guards against a soak that does not see that a node ignores a leave.
async def test_requests_long_after_a_leave_that_a_node_was_told_break_a_soak(
    world: AgencyWorld, heads: SoakHeads
) -> None:
    world.replicas[TARGET].is_leaving = True
    assert await ask(world, FIRST) == HTTPStatus.OK
    for name in OTHERS:
        assert await ask(world, name) == HTTPStatus.OK
    told = f'{TARGET} told {FIRST} that it leaves'
    assert any(found.startswith(told) for found in list_broken(world, heads))


# Guards against a soak that blames nodes for notices which a hurt link lost.
@pytest.mark.parametrize(
    ('is_leaving', 'pause_s'), [(False, PAUSE_S), (True, 0)]
)
async def test_requests_behind_a_notice_that_was_lost_break_no_soak(
    world: AgencyWorld, heads: SoakHeads, is_leaving: bool, pause_s: float
) -> None:
    node = await world.add_node('node-1')
    await until_served(world, node)
    replica = world.replicas[TARGET]
    proxy = world.proxies[TARGET]
    replica.is_leaving = is_leaving
    replica.pause_s = pause_s
    proxy.faults.drop_to_client = True
    async with world.request(node, '/post/x', FIRST, X_Deadline='500') as resp:
        assert resp.status == HTTPStatus.GATEWAY_TIMEOUT
    assert FIRST in {**replica.told_leaving, **replica.rejected}
    replica.is_leaving = False
    replica.pause_s = 0
    proxy.faults.drop_to_client = False
    for link in tuple(proxy.links):
        link.abort()
    await asyncio.sleep(NOTICED_S)
    for name in OTHERS:
        async with world.request(node, '/look/x', name) as resp:
            assert resp.status == HTTPStatus.OK
    assert len(set(OTHERS) & replica.arrivals.keys()) > TOLERATED
    assert not list_broken(world, heads)
    assert not node.events('target_paused') + node.events('target_leaving')
