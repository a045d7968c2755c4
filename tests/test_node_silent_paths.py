"""Streams that go on elsewhere, and what their first target hears of it."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import attrs
import pytest

from standins.addresses import reserve_address
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import until, until_served

STOP_S = 0.4  # in which a target that is reached must have heard
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Server-Seal: raw\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENT = b'id: 1\ndata: piece 1\n\n'
SMALL_BUFFER = 2048
LARGE_BODY = b'x' * 60000
MODEL = 'alpha'
MALFORMED = b'zz\r\n'


def chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


@attrs.define(eq=False)
class RawTarget:
    """Sends an event, then bytes that end the answer, and listens on.

    reads_body tells whether it reads a request before it answers. sent_s and
    heard_s are when it sent the last bytes and heard that they ended it.
    """

    last: bytes
    reads_body: bool = True
    half_closes: bool = False
    address: str = attrs.field(factory=reserve_address)
    go_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    began: asyncio.Event = attrs.field(factory=asyncio.Event)
    sent_s: float = 0
    heard_s: float = 0
    heard: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        host, _, port = self.address.rpartition(':')
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if not self.reads_body:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.bind((host, int(port)))
        server = await asyncio.start_server(
            self._answer, sock=sock, limit=SMALL_BUFFER
        )
        stack.callback(server.close)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            if b'GET' not in head:
                with contextlib.suppress(ConnectionError):
                    await self._stream(reader, writer)
                self.heard_s = time.monotonic()
                self.heard.set()
        writer.transport.abort()

    async def _stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(HEAD + chunk(EVENT))
        self.began.set()
        await self.go_on.wait()
        self.sent_s = time.monotonic()
        writer.write(self.last)
        if self.half_closes:
            writer.write_eof()
        if not self.reads_body:
            await _until_closed(writer)
            return
        await reader.read()


async def _until_closed(writer: asyncio.StreamWriter) -> None:
    """Go on sending, without reading, until the connection is gone."""
    while not writer.is_closing():
        writer.write(chunk(EVENT))
        await writer.drain()
        await asyncio.sleep(0.02)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


def register_raw(world: AgencyWorld, target: RawTarget) -> None:
    replica = Replica('raw', 'engines', 'north', models={MODEL: set()})
    replica.address = target.address
    replica.register(world.store)


def has_synced(node: NodeHandle, target: str) -> bool:
    synced = node.events('target_synced')
    return target in {line['target'] for line in synced}


# Guards against a malformed end of a stream that nobody hears of, so that its
# caller waits out the time limit, and against a target that works on then.
@pytest.mark.parametrize(
    'facts',
    [
        {'last': MALFORMED},
        {'last': chunk(b'x' * 2000000)},
        {'last': b'', 'half_closes': True},
        {'last': MALFORMED, 'reads_body': False},
    ],
    ids=['chunk', 'event', 'half', 'unread'],
)
async def test_a_target_hears_that_its_stream_goes_on_elsewhere(
    world: AgencyWorld, facts: dict[str, Any]
) -> None:
    target = RawTarget(**facts)
    await target.open(world.stack)
    await world.add_replica('ledger-1', service='ledger')
    register_raw(world, target)
    node = await world.add_node('node-1')
    await until_served(world, node)
    asked = asyncio.create_task(read_draft(world))
    await asyncio.wait_for(target.began.wait(), 2)
    other = await world.add_replica('engine-2', models={MODEL: set()})
    await until(lambda: has_synced(node, 'engine-2'))
    target.go_on.set()
    status, body = await asked
    assert status == 200
    assert body.count(b'data: ') == 5, body
    await asyncio.wait_for(target.heard.wait(), 3)
    assert list(other.arrivals) == ['moved']
    assert target.heard_s < other.arrivals['moved'] + STOP_S


async def read_draft(world: AgencyWorld) -> tuple[int, bytes]:
    async with world.request(
        world.nodes[0],
        '/draft/a',
        'moved',
        LARGE_BODY,
        X_Model=MODEL,
        X_Token_Counts='500,20',
    ) as resp:
        return resp.status, await resp.read()
