"""Peers whose messages never end, at a real node."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import psutil
import pytest

from mimosaworks.wire import BeatReply
from mimosaworks.wire.codec import encode
from standins.agency.endless import EndlessTarget
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from standins.platform import json_row
from tests.test_node_endless_answers import GROWTH_MB, MB, ask, peak_mb
from tests.test_node_processes import until

CALLERS = 100
PUSHERS = 20
PUSHED_PIECES = 240
PUSH_S = 2
PIECE = b'x' * 65536
POST = b'POST /peer/CallAsk HTTP/1.1\r\nHost: n\r\n'
RELAYED = b'POST /relay/look/x HTTP/1.1\r\nHost: n\r\n'
MESSAGES = {  # noqa: WPS407 -- read only
    'length': (b'%sContent-Length: 99000000000\r\n\r\n' % POST, PIECE),
    'in one': (b'%sContent-Length: 16000000\r\n\r\n' % POST, PIECE),
    'chunks': (
        b'%sTransfer-Encoding: chunked\r\n\r\n' % POST,
        b'10000\r\n%s\r\n' % PIECE,
    ),
    'relayed': (b'%sContent-Length: 16000000\r\n\r\n' % RELAYED, PIECE),
    'relayed chunks': (
        b'%sTransfer-Encoding: chunked\r\n\r\n' % RELAYED,
        b'10000\r\n%s\r\n' % PIECE,
    ),
}
BEAT_INTERVAL_S = 0.3
BEATS = 10
REPLY = BeatReply(is_holder=True, fence=1, interval_s=BEAT_INTERVAL_S)
SOUND_BEATS = {'/peer/Beat': encode(REPLY)}  # noqa: WPS407 -- read only


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def add_holder(world: AgencyWorld, holder: EndlessTarget) -> None:
    """Serve a peer that has the lease."""
    await holder.open(world.stack)
    lease = {
        'holder': 'node-0',
        'address': holder.address,
        'nonce': 'nonce',
        'fence': 1,
        'members': 2,
    }
    row = json_row('mimosaworks', 'dispatch-lease', lease)
    world.store.commit({'put': [row]})


# Guards against a holder that answers assignment requests without end: the
# answers to all of them are held, and the VM's memory is used up.
@pytest.mark.parametrize('kind', ['body', 'chunks', 'interim'])
async def test_assignments_without_end_are_cut(
    world: AgencyWorld, kind: str
) -> None:
    holder = EndlessTarget(kind, sound=SOUND_BEATS)
    await add_holder(world, holder)
    await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    await until(lambda: holder.asked['/peer/Beat'] > 1)
    usual = psutil.Process(node.process.child.pid).memory_info().rss / MB
    asked = asyncio.gather(
        *(ask(world, node, '/look/x', one) for one in range(CALLERS))
    )
    assert await peak_mb(node, asked) < usual + GROWTH_MB
    assert set(await asked) <= {200, 503}
    assert holder.asked['/peer/CallAsk'] >= CALLERS // 4


# Guards against a holder that answers heartbeats without end: what was read of
# each is held for some time.
async def test_heartbeats_without_end_are_cut(world: AgencyWorld) -> None:
    holder = EndlessTarget('body')
    await add_holder(world, holder)
    node = await world.add_node('node-1')
    usual = psutil.Process(node.process.child.pid).memory_info().rss / MB
    enough = asyncio.ensure_future(
        until(lambda: holder.asked['/peer/Beat'] > BEATS)
    )
    assert await peak_mb(node, enough) < usual + GROWTH_MB
    await enough


async def push(node: NodeHandle, kind: str) -> None:
    """Send a node most of a message until it closes the connection."""
    reader, writer = await asyncio.open_connection(*node.peer.split(':'))
    head, piece = MESSAGES[kind]
    writer.write(head)
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(PUSH_S):
            for _ in range(PUSHED_PIECES):
                writer.write(piece)
                await writer.drain()
            await reader.read()
    writer.transport.abort()


# Guards against peers that send messages or requests without end, or never the
# last byte of one: all that came of each is held.
@pytest.mark.parametrize('kind', sorted(MESSAGES))
async def test_messages_without_end_are_cut(
    world: AgencyWorld, kind: str
) -> None:
    await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    usual = psutil.Process(node.process.child.pid).memory_info().rss / MB
    pushed = asyncio.gather(*(push(node, kind) for _ in range(PUSHERS)))
    assert await peak_mb(node, pushed) < usual + GROWTH_MB
    await pushed
    assert await ask(world, node, '/look/x', 1) == 200
