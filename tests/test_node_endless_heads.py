"""Requests whose heads never end, at each socket of a real node."""

import asyncio
import contextlib
import types
from collections.abc import AsyncIterator
from pathlib import Path

import psutil
import pytest

from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_endless_answers import GROWTH_MB, MB, ask, peak_mb

PUSHERS = 60
PUSH_S = 2
PIECE = bytes(60000).replace(b'\0', b'x')
PIECES = 400
ALLOWED = 4  # pieces that a head may have
LINE = b'GET /look/x HTTP/1.1\r\nHost: camp.example\r\n'
FIELD = b'F: %s\r\n' % PIECE
# What begins a request, and what is sent again and again after it.
HEADS = types.MappingProxyType({
    'path': (b'GET /', PIECE),
    'field': (b'%sF: ' % LINE, PIECE),
    'fields': (LINE, FIELD),
    'queued': (b'', b'%s%s\r\n' % (LINE, FIELD)),
})


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def push(address: str, kind: str, count: int = PIECES) -> bytes:
    """Send pieces of heads and return what comes back until the end."""
    reader, writer = await asyncio.open_connection(*address.split(':'))
    begin, piece = HEADS[kind]
    writer.write(begin)
    reply = b''
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(PUSH_S):
            for _ in range(count):
                writer.write(piece)
                await writer.drain()
            while not reader.at_eof():
                reply += await reader.read(len(piece))
    writer.transport.abort()
    return reply


# Guards against callers and peers that send the head of a request without end,
# or many in a row: what came of each is held.
@pytest.mark.parametrize('kind', sorted(HEADS))
@pytest.mark.parametrize('port', ['front', 'directory', 'peer'])
async def test_heads_without_end_are_cut(
    world: AgencyWorld, port: str, kind: str
) -> None:
    await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    usual = psutil.Process(node.process.child.pid).memory_info().rss / MB
    address = getattr(node, port)
    pushed = asyncio.gather(*(push(address, kind) for _ in range(PUSHERS)))
    assert await peak_mb(node, pushed) < usual + GROWTH_MB
    assert await ask(world, node, '/look/x', 1) == 200


# Guards against many heads that never end, each of an allowed size: all of them
# are held at once.
async def test_unfinished_heads_leave_room(world: AgencyWorld) -> None:
    await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    usual = psutil.Process(node.process.child.pid).memory_info().rss / MB
    pushed = asyncio.gather(
        *(push(node.peer, 'fields', ALLOWED) for _ in range(3 * PUSHERS))
    )
    assert await peak_mb(node, pushed) < usual + GROWTH_MB
    refused = [reply for reply in await pushed if b' 503 ' in reply]
    assert PUSHERS < len(refused) < 3 * PUSHERS
    assert await ask(world, node, '/look/x', 1) == 200


# Guards against a head that is cut without a reason, and against requests that
# are lost where many are sent in a row.
async def test_callers_are_told_of_long_heads(world: AgencyWorld) -> None:
    node = await world.add_node('node-1')
    assert b' 431 ' in await push(node.front, 'fields', ALLOWED + 1)
    replies = await push(node.front, 'queued', 10 * ALLOWED)
    assert replies.count(b'HTTP/1.1 ') == 10 * ALLOWED
