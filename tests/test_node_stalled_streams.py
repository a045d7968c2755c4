"""Streams and uploads that are slow but sound, and those that have stalled."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import attrs
import pytest

from standins.agency.world import (
    HOST,
    KEY,
    AgencyWorld,
    NodeHandle,
    open_agency,
)
from tests.test_node_processes import until, until_served
from tests.test_node_silent_paths import (
    EVENT,
    HEAD,
    MODEL,
    RawTarget,
    chunk,
    register_raw,
)

ROUTE_S = 4.0  # the time limit of the streams' routes
LOOK_S = 2.0
HEADER_S = 3.0  # in which callers' heads must be whole
LATE_S = 0.5  # the rule's time beyond a limit
DRIP_S = 0.1
PATIENCE_S = 20.0
PAUSE_S = 3.3  # over the time in which a silent path is noticed
DRIPS = (b': still here\n\n', b'data: par', b'\n')


@attrs.define(eq=False)
class DrippingTarget(RawTarget):
    """Sends an event, then a few bytes again and again."""

    async def _stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(HEAD + chunk(EVENT))
        while not writer.is_closing():
            writer.write(chunk(self.last))
            await writer.drain()
            await asyncio.sleep(DRIP_S)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-1', service='ledger')
        await until_served(opened, await opened.add_node('node-1'))
        yield opened


async def read_chat(world: AgencyWorld, path: str = '/chat/a') -> bytes:
    """Return what comes of a stream."""
    seen = bytearray()
    async with world.request(
        world.nodes[0],
        path,
        'slow',
        X_Model=MODEL,
        X_Token_Counts='500,20',
        X_Deadline='9000',
    ) as resp:
        with contextlib.suppress(aiohttp.ClientError):
            async for piece in resp.content.iter_any():
                seen.extend(piece)
    return bytes(seen)


async def add_engine(world: AgencyWorld, target: RawTarget) -> None:
    await target.open(world.stack)
    register_raw(world, target)
    node = world.nodes[0]
    await until(
        lambda: any(
            line['target'] == 'raw' for line in node.events('target_appeared')
        )
    )


# Guards against a slow stream that is cut since its target fell silent.
@pytest.mark.parametrize('path', ['/chat/a', '/draft/a'])
async def test_a_pause_of_a_target_ends_no_stream(
    world: AgencyWorld, path: str
) -> None:
    target = RawTarget(b'%b0\r\n\r\n' % chunk(EVENT))
    await add_engine(world, target)
    asked = asyncio.create_task(read_chat(world, path))
    await asyncio.wait_for(target.began.wait(), 2)
    await asyncio.sleep(PAUSE_S)
    target.go_on.set()
    assert await asked == EVENT * 2


# Guards against a stalled stream that never ends since bytes still come.
@pytest.mark.parametrize('drip', DRIPS)
@pytest.mark.parametrize('path', ['/chat/a', '/draft/a'])
async def test_a_stream_that_only_drips_ends_at_the_time_limit(
    world: AgencyWorld, path: str, drip: bytes
) -> None:
    target = DrippingTarget(drip)
    await add_engine(world, target)
    begun_s = time.monotonic()
    seen = await read_chat(world, path)
    assert EVENT in seen
    assert ROUTE_S - LATE_S < time.monotonic() - begun_s < ROUTE_S + LATE_S
    await asyncio.wait_for(target.heard.wait(), LATE_S)


def runs_of(node: NodeHandle, request_id: str) -> list[str]:
    """Return what a node told the caller of a refused request."""
    return [
        line['run']
        for line in node.events('call_refused')
        if line['request_id'] == request_id
    ]


async def drip_until_end(
    node: NodeHandle, first: bytes, drip: bytes
) -> tuple[float, bytes]:
    """Send a few bytes again and again; return the answer and its time."""
    host, _, port = node.front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    begun_s = time.monotonic()
    answer = asyncio.create_task(reader.readline())
    with contextlib.suppress(ConnectionError):
        writer.write(first)
        while not answer.done() and time.monotonic() < begun_s + PATIENCE_S:
            writer.write(drip)
            await asyncio.sleep(DRIP_S)
    with contextlib.suppress(ConnectionError):
        writer.close()
        return time.monotonic() - begun_s, await answer
    return time.monotonic() - begun_s, b''


UPLOAD = (
    f'POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: upload\r\n'
    f'Authorization: Bearer {KEY}\r\n'
).encode()


# Guards against heads that never end and hold connections for as long.
@pytest.mark.parametrize(
    ('rest', 'drip'),
    [(b'', b'X: y\r\n'), (b'X-Long: ', b'y')],
    ids=['fields', 'field'],
)
async def test_a_head_that_only_drips_is_ended(
    world: AgencyWorld, rest: bytes, drip: bytes
) -> None:
    took_s, _ = await drip_until_end(world.nodes[0], UPLOAD + rest, drip)
    assert HEADER_S - LATE_S < took_s < HEADER_S + LATE_S


# Guards against bodies that never end.
@pytest.mark.parametrize(
    ('rest', 'drip'),
    [
        (b'Content-Length: 9000\r\n\r\n', b'x'),
        (b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'),
    ],
    ids=['body', 'chunks'],
)
async def test_a_body_that_only_drips_is_answered_at_the_time_limit(
    world: AgencyWorld, rest: bytes, drip: bytes
) -> None:
    node = world.nodes[0]
    took_s, answer = await drip_until_end(node, UPLOAD + rest, drip)
    assert answer.startswith(b'HTTP/1.1 503')
    assert LOOK_S - LATE_S < took_s < LOOK_S + LATE_S
    # The log's thread writes its lines a moment later.
    await until(lambda: bool(runs_of(node, 'upload')))
    assert runs_of(node, 'upload') == ['not-run']
    assert 'upload' not in world.replicas['ledger-1'].arrivals
