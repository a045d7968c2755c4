"""Answers that end early, with and without framing, at a real node."""

import types
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import attrs
import pytest

from standins.agency.event_text import event_text
from standins.agency.raw_answer import RawAnswer, in_chunks
from standins.agency.replica import EVENTS
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import open_pair

BROKEN = b'broken off'
RAW = 'X-Raw'
STREAM = ('Content-Type: text/event-stream', f'{RAW}: 1')
TWO = event_text(1) + event_text(2)
HALF = event_text(3)[:12]
WHOLE = b''.join(event_text(number) for number in range(1, EVENTS + 1))
DRAFT = '/draft/x'
CHAT = '/chat/x'


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def open_node(world: AgencyWorld) -> NodeHandle:
    """Start nodes before two targets that have the model."""
    node, _ = await open_pair(world)
    world.replicas['engine-2'].models['alpha'] = set()
    return node


async def ask(
    world: AgencyWorld, node: NodeHandle, path: str, name: str, raw: RawAnswer
) -> bytes:
    """Return the body of an answer, BROKEN if it is not complete.

    name is that of the request, and its body.
    """
    for replica in world.replicas.values():
        replica.raw = raw
    extra = {'X_Model': 'alpha', 'X_Token_Counts': '1000,20'}
    if path == '/look/x':
        extra = {}
    try:
        async with world.request(
            node, path, name, name.encode(), **extra
        ) as resp:
            body = bytes(await resp.read())
            if resp.status == 502:
                return BROKEN
            assert (resp.status, resp.headers.get(RAW)) == (200, '1')
            return body
    except aiohttp.ClientError:
        return BROKEN


def stream(*pieces: bytes, **facts: bool) -> RawAnswer:
    return RawAnswer(pieces, STREAM, **facts)


INSIDE = types.MappingProxyType({
    'closed': stream(TWO, HALF),
    'closed, announced': attrs.evolve(
        stream(TWO, HALF), fields=(*STREAM, 'Connection: close')
    ),
    'closed, HTTP/1.0': attrs.evolve(
        stream(TWO, HALF), status='HTTP/1.0 200 OK'
    ),
    'closed after the head': stream(TWO[:5]),
    'last chunk': attrs.evolve(
        stream(*in_chunks(TWO, HALF, b'')),
        fields=(*STREAM, 'Transfer-Encoding: chunked'),
    ),
    'length': attrs.evolve(
        stream(TWO, HALF),
        fields=(*STREAM, f'Content-Length: {len(TWO + HALF)}'),
    ),
})
RESETS = types.MappingProxyType({
    'reset': stream(TWO, HALF, is_reset=True),
    'reset, in one piece': stream(TWO + HALF, is_reset=True),
    'reset in chunks': attrs.evolve(
        stream(*in_chunks(TWO, HALF), is_reset=True),
        fields=(*STREAM, 'Transfer-Encoding: chunked'),
    ),
})


# Guards against a half event that stays in a stream whose target reset it, in
# front of the events of the next target.
@pytest.mark.parametrize(
    ('path', 'expected'),
    [(DRAFT, WHOLE), (CHAT, BROKEN)],
    ids=['resumable', 'not resumable'],
)
async def test_a_stream_that_is_reset_inside_an_event_goes_on_behind_whole_ones(
    world: AgencyWorld, path: str, expected: bytes
) -> None:
    node = await open_node(world)
    bodies = {
        name: await ask(world, node, path, name, raw)
        for name, raw in RESETS.items()
    }
    assert bodies == dict.fromkeys(RESETS, expected)


# Guards against a stream that ended inside an event and reached its caller as
# complete.
@pytest.mark.parametrize(
    ('path', 'expected'),
    [(DRAFT, WHOLE), (CHAT, BROKEN)],
    ids=['resumable', 'not resumable'],
)
async def test_a_stream_that_ends_inside_an_event_is_broken_off(
    world: AgencyWorld, path: str, expected: bytes
) -> None:
    node = await open_node(world)
    bodies = {
        name: await ask(world, node, path, name, raw)
        for name, raw in INSIDE.items()
    }
    assert bodies == dict.fromkeys(INSIDE, expected)
