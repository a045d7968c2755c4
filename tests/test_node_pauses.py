"""Nodes that are paused and go on: requests that waited to be read."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

import pytest

from standins.agency.world import (
    HOST,
    KEY,
    AgencyWorld,
    NodeHandle,
    open_agency,
)
from tests.test_node_processes import until, until_served

DEADLINE_MS = 500
LONG_MS = 2000
ALLOWED_MS = 500  # by the rule
PAUSE_S = 1.2
REQUESTS = 12
PATIENCE_S = 3.0


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """The holder, another node and a plain target."""
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-1', service='ledger')
        for name in ('node-1', 'node-2'):
            await until_served(opened, await opened.add_node(name))
        yield opened


def is_paused(request_id: str) -> bool:
    return request_id.startswith('paused-')


def spell(request_id: str, deadline_ms: int) -> bytes:
    head = (
        'POST /post/x HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        'Content-Length: 2',
    )
    return '\r\n'.join([*head, '', '{}']).encode()


async def ask_paused(node: NodeHandle, number: int, deadline_ms: int) -> bytes:
    """Send a request to a node that is paused; return the answer's line."""
    host, _, port = node.front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(spell(f'paused-{number}', deadline_ms))
    line = await asyncio.wait_for(reader.readline(), PAUSE_S + PATIENCE_S)
    writer.close()
    return line


async def ask_status(
    world: AgencyWorld, node: NodeHandle, request_id: str
) -> int:
    async with world.request(
        node, '/post/x', request_id, X_Deadline=f'{DEADLINE_MS}'
    ) as resp:
        return int(resp.status)


async def answers_after_pause(node: NodeHandle, deadline_ms: int) -> set[bytes]:
    node.process.pause()
    asked = [
        asyncio.create_task(ask_paused(node, number, deadline_ms))
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(PAUSE_S)
    node.process.resume()
    return set(await asyncio.gather(*asked))


# Guards against a paused node that counts a caller's time from when it reads
# the request, and has requests run whose time is over.
@pytest.mark.parametrize('place', [0, 1])
async def test_requests_whose_time_was_over_in_a_pause_do_not_run(
    world: AgencyWorld, place: int
) -> None:
    node = world.nodes[place]
    lines = await answers_after_pause(node, DEADLINE_MS)
    assert lines == {b'HTTP/1.1 503 Service Unavailable\r\n'}
    runs = world.replicas['ledger-1'].runs
    assert not any(map(is_paused, runs))


@pytest.mark.parametrize('place', [0, 1])
async def test_requests_with_time_left_after_a_pause_are_told_what_is_left(
    world: AgencyWorld, place: int
) -> None:
    node = world.nodes[place]
    lines = await answers_after_pause(node, LONG_MS)
    assert lines == {b'HTTP/1.1 200 OK\r\n'}
    ledger = world.replicas['ledger-1']
    told = [
        int(headers['X-Deadline'])
        for request_id, headers in zip(ledger.runs, ledger.headers, strict=True)
        if is_paused(request_id)
    ]
    assert len(told) == REQUESTS
    assert max(told) < LONG_MS - PAUSE_S * 1000 + ALLOWED_MS


# Guards against a node that loses what a target said while it was paused, as
# the request's time was over as well when it went on.
async def test_what_a_target_said_in_a_pause_is_taken_in(
    world: AgencyWorld,
) -> None:
    node, ledger = world.nodes[0], world.replicas['ledger-1']
    ledger.first_s = 0.2
    call = asyncio.create_task(ask_status(world, node, 'r1'))
    await until(lambda: 'r1' in ledger.runs)
    ledger.is_leaving = True
    node.process.pause()
    await asyncio.sleep(PAUSE_S)
    assert 'r1' in ledger.told_leaving
    node.process.resume()
    assert await call == HTTPStatus.GATEWAY_TIMEOUT
    # Both were logged by then, in this order; the log is written behind, and
    # may have refusals from before the node had a deployment.
    await until(
        lambda: any(
            line['request_id'] == 'r1' for line in node.events('call_refused')
        )
    )
    assert node.events('target_leaving')
