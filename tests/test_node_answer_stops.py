"""Answers without framing at nodes that end, as callers read their bytes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from standins.agency.event_text import event_text
from standins.agency.raw_answer import RawAnswer
from standins.agency.world import (
    HOST,
    KEY,
    AgencyWorld,
    NodeHandle,
    open_agency,
)
from tests.test_node_answer_ends import (
    BODY,
    CHAT,
    DRAFT,
    HALF,
    LOOK,
    POST,
    TWO,
    open_node,
    plain,
    raw,
)
from tests.test_node_processes import until
from tests.test_node_stop import connect, read_all

LAST_CHUNK = b'0\r\n\r\n'
LONG_S = 0.8  # between the pieces; the answer outlasts the grace
MORE = tuple(event_text(number) for number in (3, 4, 5, 6))
STREAM = 'X-Model: alpha\r\nX-Token-Counts: 12,20\r\n'
LARGE = BODY * 200000
End = Callable[[NodeHandle], Awaitable[object]]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def begin(
    world: AgencyWorld,
    node: NodeHandle,
    path: str,
    sent: RawAnswer,
    deadline_ms: int = 4000,
) -> 'asyncio.Task[bytes]':
    """Return a task that reads an answer whose first bytes have arrived."""
    for replica in world.replicas.values():
        replica.raws = [sent]
    reader, writer = await connect(node)
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {path}',
        f'X-Deadline: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        'Content-Length: 2',
    )
    extra = STREAM if path in {CHAT, DRAFT} else ''
    head = '\r\n'.join(lines)
    writer.write(f'{head}\r\n{extra}\r\n{{}}'.encode())
    begun = await reader.readuntil(b'\r\n\r\n')

    async def read() -> bytes:
        rest = await read_all(reader)
        writer.close()
        return begun + rest

    return asyncio.create_task(read())


async def stop(node: NodeHandle) -> None:
    assert await node.stop()


async def kill(node: NodeHandle) -> None:
    await node.process.kill()


# Guards against an answer without framing that its node completes with a last
# chunk when the node itself ends.
@pytest.mark.parametrize('end', [stop, kill])
async def test_a_node_that_ends_completes_no_answer(
    world: AgencyWorld, end: End
) -> None:
    node = await open_node(world)
    stream = raw(TWO, *MORE, pause_s=LONG_S)
    large = plain(LARGE, *MORE, pause_s=LONG_S)
    reading = [
        await begin(world, node, path, sent)
        for path, sent in (
            (CHAT, stream),
            (DRAFT, stream),
            (LOOK, large),
            (POST, large),
        )
    ]
    await end(node)
    for answer in await asyncio.gather(*reading):
        assert answer.startswith(b'HTTP/1.1 200')
        assert b'Transfer-Encoding: chunked' in answer
        assert not answer.endswith(LAST_CHUNK)


# Guards against a node that stops and takes what its targets cut for whole.
async def test_a_node_that_stops_completes_no_answer_that_is_cut(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    reading = [
        await begin(world, node, path, sent)
        for path, sent in (
            (CHAT, raw(TWO, HALF, pause_s=LONG_S)),
            (CHAT, raw(TWO, pause_s=LONG_S, is_reset=True)),
            (LOOK, plain(LARGE, pause_s=LONG_S, is_reset=True)),
            (CHAT, raw(TWO, MORE[0], pause_s=LONG_S)),
        )
    ]
    stopping = asyncio.create_task(stop(node))
    await until(lambda: bool(node.events('node_stopping')))
    ends = [
        answer.endswith(LAST_CHUNK) for answer in await asyncio.gather(*reading)
    ]
    assert ends == [False, False, False, True]
    await stopping


# Guards against an answer without framing that its node completes when the
# deadline of its request is over.
async def test_a_deadline_completes_no_answer(world: AgencyWorld) -> None:
    node = await open_node(world)
    reading = [
        await begin(world, node, path, sent, deadline_ms=1500)
        for path, sent in (
            (CHAT, raw(TWO, *MORE, pause_s=LONG_S)),
            (DRAFT, raw(TWO, *MORE, pause_s=LONG_S)),
            (LOOK, plain(LARGE, *MORE, pause_s=LONG_S)),
        )
    ]
    for answer in await asyncio.gather(*reading):
        assert answer.startswith(b'HTTP/1.1 200')
        assert not answer.endswith(LAST_CHUNK)
