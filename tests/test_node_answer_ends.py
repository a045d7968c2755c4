"""Answers that end early, with and without framing, at a real node."""

import types
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import pytest

from standins.agency.event_text import event_text
from standins.agency.raw_answer import RawAnswer, in_chunks
from standins.agency.replica import EVENTS, PLAIN
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import open_pair, until

BROKEN = (b'broken off', '')
RAW = 'X-Raw'
EVENT_TYPE = 'Content-Type: text/event-stream'
CHUNKED = 'Transfer-Encoding: chunked'
IN_FIRST_EVENT = 'inside the first event'
TWO = event_text(1) + event_text(2)
HALF = event_text(3)[:12]
WHOLE = b''.join(event_text(number) for number in range(1, EVENTS + 1))
DRAFT = '/draft/x'
CHAT = '/chat/x'
LOOK = '/look/x'
POST = '/post/x'


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def open_node(world: AgencyWorld) -> NodeHandle:
    """Start nodes before two targets for each request."""
    node, _ = await open_pair(world)
    world.replicas['engine-2'].models['alpha'] = set()
    await world.add_replica('ledger-2', service='ledger', slots=6)
    return node


async def ask(
    world: AgencyWorld, node: NodeHandle, path: str, name: str, *raws: RawAnswer
) -> tuple[bytes, str]:
    """Return the body of an answer and what its head has in RAW.

    The first targets that run the request send raws; its id and its body are
    the name. Returns BROKEN for an answer that is not complete.
    """
    shared_raws = list(raws)
    for replica in world.replicas.values():
        replica.raws = shared_raws
    extra = {}
    if path in {DRAFT, CHAT}:
        extra = {'X_Model': 'alpha', 'X_Token_Counts': '1000,20'}
    try:
        async with world.request(
            node, path, name, name.encode(), **extra
        ) as resp:
            body = bytes(await resp.read())
            if resp.status == 502:
                return BROKEN
            assert resp.status == 200
            return body, resp.headers.get(RAW, '')
    except aiohttp.ClientError:
        return BROKEN


def raw(
    *pieces: bytes, fields: tuple[str, ...] = (), **facts: Any
) -> RawAnswer:
    """Return an answer of this type and framing, marked in its head."""
    return RawAnswer(pieces, (EVENT_TYPE, f'{RAW}: 1', *fields), **facts)


def sized(*pieces: bytes, more: int = 0) -> RawAnswer:
    length = len(b''.join(pieces)) + more
    return raw(*pieces, fields=(f'Content-Length: {length}',))


RESETS = types.MappingProxyType({
    'reset': raw(TWO, HALF, is_reset=True),
    'reset, in one piece': raw(TWO + HALF, is_reset=True),
    'reset behind an event': raw(TWO, is_reset=True),
    'reset in chunks': raw(
        *in_chunks(TWO, HALF), fields=(CHUNKED,), is_reset=True
    ),
})
INSIDE = types.MappingProxyType({
    'closed': raw(TWO, HALF),
    'closed, announced': raw(TWO, HALF, fields=('Connection: close',)),
    'closed, HTTP/1.0': raw(TWO, HALF, status='HTTP/1.0 200 OK'),
    'closed behind the data': raw(TWO, event_text(3)[:-1]),
    IN_FIRST_EVENT: raw(TWO[:5]),
    'last chunk': raw(*in_chunks(TWO, HALF, b''), fields=(CHUNKED,)),
    'length': sized(TWO, HALF),
    'closed before its length': sized(TWO, HALF, more=9),
})


# Guards against a half event that stays in a stream whose target reset it, in
# front of the events of the next target.
@pytest.mark.parametrize(
    ('path', 'expected'),
    [(DRAFT, (WHOLE, '1')), (CHAT, BROKEN)],
    ids=['resumable', 'not resumable'],
)
async def test_a_stream_that_is_reset_goes_on_behind_whole_events(
    world: AgencyWorld, path: str, expected: tuple[bytes, str]
) -> None:
    node = await open_node(world)
    answers = {
        name: await ask(world, node, path, name, sent)
        for name, sent in RESETS.items()
    }
    assert answers == dict.fromkeys(RESETS, expected)


# Guards against a stream that ended inside an event and reached its caller as
# complete.
@pytest.mark.parametrize(
    ('path', 'expected'),
    [(DRAFT, (WHOLE, '1')), (CHAT, BROKEN)],
    ids=['resumable', 'not resumable'],
)
async def test_a_stream_that_ends_inside_an_event_is_broken_off(
    world: AgencyWorld, path: str, expected: tuple[bytes, str]
) -> None:
    node = await open_node(world)
    answers = {
        name: await ask(world, node, path, name, sent)
        for name, sent in INSIDE.items()
    }
    first_body, first_raw = answers.pop(IN_FIRST_EVENT)
    assert (first_body, first_raw) == (expected[0], '')
    assert answers == dict.fromkeys(answers, expected)


LARGE_EVENT = b'id: 1\ndata: %s\n\n' % (b'x' * 500000)
STREAMS = types.MappingProxyType({
    'LF': WHOLE,
    'CR LF': WHOLE.replace(b'\n', b'\r\n'),
    'CR': WHOLE.replace(b'\n', b'\r'),
    'byte order mark': b'\xef\xbb\xbf%s' % WHOLE,
    'comments': b': hello\n\n%s: ping\n%s' % (TWO, event_text(3)),
    'last comment': b'%s: bye\n' % WHOLE,
    'last comment, CR LF': b'%s: bye\r\n\r\n' % TWO,
    'comment without a line end': b'%s: bye' % WHOLE,
    'more empty lines': b'\n\n%s\n\n' % WHOLE,
    'no events': b'',
    'only comments': b': ping\n\n: ping\n\n',
    'many events': TWO * 50000,
    'large events': LARGE_EVENT * 8,
})


# Guards against a whole stream that is taken for a broken one, as its lines end
# otherwise, a comment follows its last event, or it has no framing.
@pytest.mark.parametrize('path', [DRAFT, CHAT])
async def test_a_whole_stream_without_framing_is_served(
    world: AgencyWorld, path: str
) -> None:
    node = await open_node(world)
    for name, body in STREAMS.items():
        assert await ask(world, node, path, name, raw(body)) == (body, '1')
        cut_at = len(body) - 1
        split = raw(body[:cut_at], body[cut_at:])
        answer = await ask(world, node, path, f'{name}, split', split)
        assert answer == (body, '1')

    def count_framed() -> int:
        framings = [line['framing'] for line in node.events('call_answered')]
        return framings.count('connection')

    # The log is written behind the answers.
    await until(lambda: count_framed() >= 2 * len(STREAMS))
    assert count_framed() == 2 * len(STREAMS)
    assert not node.events('call_broken')


BODY = b'a plain body'
PLAIN_TYPE = 'Content-Type: text/plain'


def plain(*pieces: bytes, **facts: Any) -> RawAnswer:
    return attrs.evolve(raw(*pieces, **facts), fields=(PLAIN_TYPE, f'{RAW}: 1'))


# Guards against a plain body that was lost and looks complete, and against a
# whole one that is not served as it has no length.
async def test_a_plain_body_without_framing_is_whole_or_sent_for_again(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    large = BODY * 200000
    for name, sent, expected in (
        ('whole', plain(BODY), (BODY, '1')),
        ('HTTP/1.0', plain(BODY, status='HTTP/1.0 200 OK'), (BODY, '1')),
        ('none', plain(), (b'', '1')),
        ('large', plain(large), (large, '1')),
        ('no event', plain(TWO, HALF), (TWO + HALF, '1')),
        ('reset', plain(BODY, is_reset=True), (PLAIN, '')),
        ('empty, reset', plain(is_reset=True), (PLAIN, '')),
        ('large, reset', plain(large, is_reset=True), BROKEN),
        ('inside an event', raw(TWO, HALF), (PLAIN, '')),
        ('behind an event', raw(TWO), (TWO, '1')),
    ):
        assert await ask(world, node, LOOK, name, sent) == expected, name
        once = expected if expected[1] else BROKEN
        assert await ask(world, node, POST, f'{name}, once', sent) == once, name


# Guards against an answer of another kind on a route for streams that is held
# back, or taken for a broken stream.
@pytest.mark.parametrize('path', [DRAFT, CHAT])
async def test_an_answer_without_events_passes_on_a_route_for_streams(
    world: AgencyWorld, path: str
) -> None:
    node = await open_node(world)
    body = b'{"pieces": 2}'
    assert await ask(world, node, path, 'whole', plain(body)) == (body, '1')
    lost = plain(body, is_reset=True)
    assert await ask(world, node, path, 'reset', lost) == BROKEN
