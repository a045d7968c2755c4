"""Answers that end early, with and without framing, at a real node."""

import asyncio
import contextlib
import functools
import json
import socket
import types
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import pytest

from standins.agency.event_text import event_text
from standins.agency.raw_answer import CHUNKED, RawAnswer, in_chunks
from standins.agency.replica import EVENTS, PLAIN
from standins.agency.world import (
    HOST,
    KEY,
    AgencyWorld,
    NodeHandle,
    open_agency,
)
from tests.test_node_processes import open_pair, until, until_served

BROKEN = (b'broken off', '')
TIMED_OUT = (b'timed out', '')
RAW = 'X-Raw'
EVENT_TYPE = 'Content-Type: text/event-stream'
# So that no request follows on a connection that is closed.
CLOSE = 'Connection: close'
IN_FIRST_EVENT = 'inside the first event'
TWO = event_text(1) + event_text(2)
HALF = event_text(3)[:12]
MUCH = TWO * 130000
CALLER_BYTES = 65536
UNREAD_S = 0.5
WHOLE = b''.join(event_text(number) for number in range(1, EVENTS + 1))
DRAFT = '/draft/x'
CHAT = '/chat/x'
LOOK = '/look/x'
POST = '/post/x'
LATE_ENTRY_S = 2.0
SOON_ENTRY_S = 0.1
SLOW_S = 1.3
PAUSE_S = 0.45
EARLY_S = 0.03
MS_PER_S = 1000


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def open_node(world: AgencyWorld) -> NodeHandle:
    """Start nodes before two targets for each request."""
    await world.add_replica('ledger-2', service='ledger', slots=6)
    node, _ = await open_pair(world)
    world.replicas['engine-2'].models['alpha'] = set()
    return node


async def open_cut_off(world: AgencyWorld) -> NodeHandle:
    """Start a node without a path to the targets, so that others relay."""
    node = await world.add_node('cut-off', module='tests.cut_off_node')
    await until_served(world, node)
    await until(lambda: bool(node.events('path_lost')))
    return node


async def ask(
    world: AgencyWorld,
    node: NodeHandle,
    path: str,
    name: str,
    *raws: RawAnswer,
    **extra: str,
) -> tuple[bytes, str]:
    """Return the body of an answer and what its head has in RAW.

    The first targets that run the request send raws; its id and its body are
    the name. Returns BROKEN for an answer that is not complete,
    TIMED_OUT for a 504.
    """
    shared_raws = list(raws)
    for replica in world.replicas.values():
        replica.raws = shared_raws
    if path in {DRAFT, CHAT}:
        extra |= {'X_Model': 'alpha', 'X_Token_Counts': '1000,20'}
    try:
        async with world.request(
            node, path, name, name.encode(), **extra
        ) as resp:
            body = bytes(await resp.read())
            if resp.status == 502:
                return BROKEN
            if resp.status == 504:
                return TIMED_OUT
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
    return raw(*pieces, fields=(f'Content-Length: {length}', CLOSE))


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
    'closed, announced': raw(TWO, HALF, fields=(CLOSE,)),
    'closed, HTTP/1.0': raw(TWO, HALF, status='HTTP/1.0 200 OK'),
    'closed behind the data': raw(TWO, event_text(3)[:-1]),
    IN_FIRST_EVENT: raw(TWO[:5]),
    'last chunk': raw(*in_chunks(TWO, HALF, b''), fields=(CHUNKED, CLOSE)),
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
    expected_crashes = set(INSIDE) - {'last chunk', 'length'}

    def find_crashes() -> set[str]:
        lines = node.events('target_end_seen')
        return {line['request_id'] for line in lines}

    # The log is written behind the answers, in the order of the requests: the
    # last of them is one that is expected.
    await until(lambda: find_crashes() >= expected_crashes)
    assert find_crashes() == expected_crashes
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
    'quoted heads': b'data: HTTP/1.1 200 OK\r\ndata: Content-Length: 2\r\n\r\n',
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
        ('large, inside an event', sized(LARGE_EVENT * 4, HALF), BROKEN),
        (
            'large, behind an event',
            raw(LARGE_EVENT * 4),
            (LARGE_EVENT * 4, '1'),
        ),
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


ENDING = types.MappingProxyType({
    (DRAFT, 'behind an event'): (raw(TWO), (WHOLE, '1')),
    (CHAT, 'behind an event'): (raw(TWO), BROKEN),
    (CHAT, 'plain'): (plain(BODY), BROKEN),
    (LOOK, 'plain'): (plain(BODY), (PLAIN, '')),
    (LOOK, 'plain, none'): (plain(), (PLAIN, '')),
    (LOOK, 'plain, large'): (plain(BODY * 200000), BROKEN),
    (POST, 'plain'): (plain(BODY), BROKEN),
    (POST, 'plain, large'): (plain(BODY * 200000), BROKEN),
})


# Guards against an answer without framing that is complete for its caller,
# though its target ended behind an event or in a plain body.
@pytest.mark.parametrize(
    'delay_s', [0, 0.005], ids=['listener first', 'connection first']
)
async def test_an_answer_without_framing_whose_target_ends_is_broken_off(
    world: AgencyWorld, delay_s: float
) -> None:
    node = await open_node(world)

    def end_target(target: str) -> None:
        refuse = world.proxies[target].refuse
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, refuse)
        else:
            refuse()

    answers = {}
    for (path, name), (sent, _) in ENDING.items():
        dying = attrs.evolve(sent, on_end=end_target)
        answers[path, name] = await ask(
            world, node, path, f'{path}, {name}', dying
        )
        await asyncio.sleep(2 * delay_s)
        for proxy in world.proxies.values():
            await proxy.open()
    assert answers == {case: expected for case, (_, expected) in ENDING.items()}
    await until(lambda: len(node.events('target_end_seen')) == len(ENDING))
    reasons = [line['reason'] for line in node.events('call_broken')]
    assert all('accepts no other' in reason for reason in reasons)


# Guards against an answer without framing that is complete for its caller, as
# its target ended with it and had started again when it was asked.
@pytest.mark.parametrize(
    'delay_s', [0, 0.004], ids=['idle ones first', 'answer first']
)
async def test_an_answer_whose_target_starts_again_at_once_is_broken_off(
    world: AgencyWorld, delay_s: float
) -> None:
    node = await open_node(world)
    tasks = []

    async def restart(target: str) -> None:
        proxy = world.proxies[target]
        proxy.refuse()
        await asyncio.sleep(delay_s)
        proxy.close_unused()
        world.replicas[target].restart()
        world.replicas[target].register(world.store)
        await proxy.open()

    def end_target(target: str) -> None:
        tasks.append(asyncio.create_task(restart(target)))

    cases = {case: one for case, one in ENDING.items() if one[0].pieces}
    answers = {}
    for (path, name), (sent, _) in cases.items():
        dying = attrs.evolve(sent, on_end=end_target, pause_s=0.2)
        answers[path, name] = await ask(
            world, node, path, f'{path}, {name}', dying
        )
    assert answers == {case: expected for case, (_, expected) in cases.items()}
    await asyncio.gather(*tasks)
    await until(lambda: len(node.events('target_end_seen')) == len(cases))
    reasons = [line['reason'] for line in node.events('call_broken')]
    assert all('idle one' in reason for reason in reasons)


def replacer(
    world: AgencyWorld, entry_s: float, late_s: float = 0
) -> Callable[[str], None]:
    """Return what puts a later process in a target's place at once.

    Its entry is written entry_s later; all that targets send arrives late_s
    later from then on.
    """

    def replace(target: str) -> None:
        replica = world.replicas[target]
        world.proxies[target].close_unused()
        world.proxies[target].faults.delay_s = late_s
        replica.restart()
        loop = asyncio.get_running_loop()
        loop.call_later(entry_s, replica.register, world.store)

    return replace


# Guards against a first answer without framing that is complete for its caller,
# as a later process of its target accepts connections and has no entry yet; an
# end that arrives late is behind the beginning of an idle connection to that.
@pytest.mark.parametrize('late_s', [0, 0.05])
@pytest.mark.parametrize(
    ('path', 'has_report'),
    [(path, True) for path in (DRAFT, CHAT, LOOK, POST)]
    + [(path, False) for path in (LOOK, POST)],
)
async def test_an_answer_whose_target_is_back_when_it_is_asked_is_broken_off(
    world: AgencyWorld, path: str, late_s: float, *, has_report: bool
) -> None:
    node = await open_node(world)
    for replica in world.replicas.values():
        replica.has_report = has_report

    cases = {DRAFT: raw(TWO), CHAT: raw(TWO), LOOK: plain(BODY)}
    sent = cases.get(path, plain(BODY))
    entry_s = LATE_ENTRY_S if has_report else SOON_ENTRY_S
    replace = replacer(world, entry_s, late_s)
    dying = attrs.evolve(sent, on_end=replace, pause_s=0)
    answer = await ask(world, node, path, 'first', dying)
    expected = {DRAFT: (WHOLE, '1'), LOOK: (PLAIN, '')}
    assert answer == expected.get(path, BROKEN)
    await until(lambda: len(node.events('call_broken')) == 1)
    # Whether this process answered, or the one before, is not known.
    assert not node.events('target_end_seen')


# Guards against content that is refused as it crashes targets, since its whole
# answers came from targets that had started again before they were asked.
@pytest.mark.parametrize('has_report', [True, False], ids=['report', 'entry'])
async def test_a_target_that_had_started_again_before_shows_no_crash(
    world: AgencyWorld, *, has_report: bool
) -> None:
    node, _ = await open_pair(world)
    ledger = world.replicas['ledger-1']
    ledger.has_report = has_report
    ledger.restart()
    if not has_report:
        loop = asyncio.get_running_loop()
        loop.call_later(SOON_ENTRY_S, ledger.register, world.store)
    assert await ask(world, node, POST, 'whole', plain(BODY)) == BROKEN
    await until(lambda: bool(node.events('call_broken')))
    assert not node.events('target_end_seen')


# Guards against a whole answer that is broken off, as the entry of a process
# that had reported before it was asked arrives while it answers; and against a
# part of that process that is complete.
@pytest.mark.parametrize('is_part', [False, True], ids=['whole', 'part'])
@pytest.mark.parametrize('is_relayed', [False, True], ids=['direct', 'relayed'])
async def test_an_answer_of_a_process_whose_entry_comes_later_is_whole(
    world: AgencyWorld, *, is_part: bool, is_relayed: bool
) -> None:
    node, _ = await open_pair(world)
    if is_relayed:
        node = await open_cut_off(world)
    ledger = world.replicas['ledger-1']
    ledger.restart()
    # Their ends tell the nodes that the target has started again.
    for asked in world.nodes:
        await ask(world, asked, POST, f'first, {asked.front}', plain(BODY))
    asyncio.get_running_loop().call_later(0.1, ledger.register, world.store)
    slow = plain(BODY, pause_s=SLOW_S)
    if is_part:
        slow = attrs.evolve(slow, on_end=replacer(world, LATE_ENTRY_S))
    expected = BROKEN if is_part else (BODY, '1')
    assert await ask(world, node, POST, 'slow', slow) == expected
    assert any(one.events('target_changed') for one in world.nodes)


STEPS_S = ((0.08, None), (0.08, 0.06), (0.12, 0.06), (0.02, 0.06))


# Guards against content that is refused as it crashes targets, as a target that
# goes on closed its idle connections before whole answers ended; and against
# parts of one that closes these, its answers and its listener step by step.
@pytest.mark.parametrize('has_report', [True, False], ids=['report', 'none'])
@pytest.mark.parametrize(('idle_s', 'listener_s'), STEPS_S)
async def test_an_answer_behind_its_target_s_idle_connections_is_broken_off(
    world: AgencyWorld,
    idle_s: float,
    listener_s: float | None,
    *,
    has_report: bool,
) -> None:
    node = await open_node(world)
    loop = asyncio.get_running_loop()

    def end_later(target: str) -> None:
        if listener_s is not None:
            loop.call_later(listener_s, world.proxies[target].refuse)

    for replica in world.replicas.values():
        replica.has_report = has_report
    for path, sent in (
        (CHAT, raw(TWO[:1], TWO[1:], pause_s=PAUSE_S, on_end=end_later)),
        (POST, plain(BODY, pause_s=2 * PAUSE_S, on_end=end_later)),
    ):
        for proxy in world.proxies.values():
            await proxy.open()
            loop.call_later(2 * PAUSE_S - idle_s, proxy.close_unused)
        answer = await ask(world, node, path, path, sent)
        assert answer in {BROKEN, TIMED_OUT}, path
    ends = node.events('target_end_seen')
    assert listener_s or all(line['is_silent'] for line in ends)


# Guards against an answer without framing that its target stopped at the time
# limit, and which its caller takes for a whole one.
async def test_an_answer_that_ends_at_its_time_limit_is_broken_off(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    for path, sent in (
        (DRAFT, raw(TWO)),
        (CHAT, raw(TWO)),
        (LOOK, plain(BODY)),
        (POST, plain(BODY)),
    ):
        stopped = attrs.evolve(sent, pause_s=0.95)
        answer = await ask(
            world, node, path, path, stopped, stopped, X_Deadline='1000'
        )
        assert answer in {BROKEN, TIMED_OUT}, path
    ends = node.events('target_end_seen')
    assert all(line['is_silent'] for line in ends)


# Guards against a part that is complete as its target, which was given little
# time, stopped a bit before that was over.
@pytest.mark.parametrize('is_relayed', [False, True], ids=['direct', 'relayed'])
async def test_an_answer_that_ends_at_a_short_time_limit_is_broken_off(
    world: AgencyWorld, *, is_relayed: bool
) -> None:
    node = await open_node(world)
    if is_relayed:
        node = await open_cut_off(world)

    def stop_early(target: str, *_: object) -> RawAnswer:
        replica = world.replicas[target]
        given_ms = int(replica.headers[-1]['X-Deadline'])
        return plain(BODY, pause_s=given_ms / MS_PER_S - EARLY_S)

    # Then idle connections to them are open, which confirm an end at once.
    for number in range(4):
        await ask(world, node, POST, f'first-{number}', plain(BODY))
    for replica in world.replicas.values():
        replica.first_s = 0
        replica.writer = stop_early
    for given_ms in range(60, 140, 5):
        answer = await ask(
            world, node, POST, f'{given_ms}', X_Deadline=f'{given_ms}'
        )
        assert answer in {BROKEN, TIMED_OUT}, given_ms


# Guards against an answer without framing that ends when the notice of its
# target is over, and which looks complete as its address still accepts some.
@pytest.mark.parametrize(
    ('notice_ms', 'expected'),
    [(1200, BROKEN), (9000, (TWO, '1')), (0, (TWO, '1'))],
)
async def test_an_answer_that_ends_with_its_target_s_notice_is_broken_off(
    world: AgencyWorld, notice_ms: int, expected: tuple[bytes, str]
) -> None:
    await open_node(world)
    slow = raw(TWO, pause_s=1.3)
    asked = [
        asyncio.create_task(ask(world, node, CHAT, f'{number}', slow, slow))
        for number, node in enumerate(world.nodes)
    ]
    engines = [world.replicas[name] for name in ('engine-1', 'engine-2')]
    await until(lambda: sum(len(engine.runs) for engine in engines) == 2)
    for engine in engines:
        engine.state = 'draining'
        engine.remaining_ms = notice_ms
        engine.register(world.store)
    assert await asyncio.gather(*asked) == [expected, expected]


# Guards against whole answers that are broken off where many end at once.
async def test_many_answers_without_framing_are_whole(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    every = [raw(WHOLE) for _ in range(100)]
    answers = await asyncio.gather(
        *(
            ask(world, node, CHAT, f'many-{number}', *every)
            for number in range(len(every))
        )
    )
    assert answers == [(WHOLE, '1') for _ in every]


ASIDE = b'data: aside\n\n'
REST = WHOLE.removeprefix(TWO)
TWO_CR = TWO.replace(b'\n', b'\r')
PING = b': ping\n\n'
MARK = b'\xef\xbb\xbf'


# Guards against events that come twice, or of which another run is joined,
# behind ones without an id, and against a stream that needn't have ended there.
async def test_a_stream_goes_on_behind_events_without_an_id(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    lost = functools.partial(raw, is_reset=True)
    beside = TWO + ASIDE
    for name, sent, expected in (
        ('next', [lost(beside)], beside + REST),
        ('repeated', [lost(beside), raw(ASIDE, REST)], beside + REST),
        ('more', [lost(beside), raw(ASIDE * 2, REST)], beside + ASIDE + REST),
        ('comment', [lost(PING)], PING + WHOLE),
        ('comment behind', [lost(TWO + PING)], TWO + PING + REST),
        ('mark', [lost(MARK + TWO), raw(MARK, REST)], MARK + WHOLE),
        ('CR', [lost(TWO_CR, HALF)], TWO_CR + REST),
    ):
        answer = await ask(world, node, DRAFT, name, *sent)
        assert answer == (expected, '1'), name
    other = [lost(beside), raw(b'data: other\n\n', REST)]
    assert await ask(world, node, DRAFT, 'other', *other) == BROKEN
    assert await ask(world, node, DRAFT, 'no ids', lost(ASIDE)) == BROKEN


# Guards against a take-up that starts from the beginning, as its own last id
# was replaced by that of a run that gave no event.
async def test_a_resumed_stream_keeps_its_place_behind_a_run_without_events(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    begun, lost = (raw(piece, is_reset=True) for piece in (TWO, PING))
    assert await ask(world, node, DRAFT, 'begun', begun, lost) == BROKEN
    resumed = {'Resumes': 'begun', 'Last_Event_Id': '2'}
    answer = await ask(world, node, DRAFT, 'again', lost, **resumed)
    assert answer == (PING + REST, '1')


NO_EVENTS = types.MappingProxyType({
    'nothing': b'',
    'comments': PING * 2,
    'fields without data': b'retry: 9\n\nid: 3\n\n',
})
FRAMED = types.MappingProxyType({
    'length': sized,
    'last chunk': lambda body: raw(
        *in_chunks(*filter(None, (body,)), b''),
        fields=(CHUNKED, CLOSE),
    ),
})
FRAMINGS = types.MappingProxyType({'closed': raw, **FRAMED})


# Guards against a stream that is complete for its caller as the target that it
# was to go on at gave no event, whatever the framing.
@pytest.mark.parametrize('framing', FRAMINGS)
async def test_a_run_without_events_ends_no_stream_that_has_begun(
    world: AgencyWorld, framing: str
) -> None:
    node = await open_node(world)
    begun = {'reset': raw(TWO, is_reset=True), 'closed': raw(TWO, HALF)}
    for name, body in NO_EVENTS.items():
        for end, first in begun.items():
            empty = FRAMINGS[framing](body)
            answer = await ask(
                world, node, DRAFT, f'{name}, {end}', first, empty
            )
            assert answer == BROKEN, (name, end)
    await until(lambda: len(node.events('call_broken')) == 12)
    streams = [
        line
        for line in node.events('call_answered')
        if line['has_events'] is not None
    ]
    assert not streams


# Guards against a stream that is complete without an event, as its connection
# closed behind its head, and against one whose framing says so that is lost.
@pytest.mark.parametrize(('after', 'rest'), [('', WHOLE), ('2', REST)])
async def test_a_first_run_without_events_is_whole_by_its_framing_only(
    world: AgencyWorld, after: str, rest: bytes
) -> None:
    node = await open_node(world)
    again = {'Resumes': 'begun', 'Last_Event_Id': after} if after else {}
    await ask(world, node, DRAFT, 'begun')
    for name in ('nothing', 'comments'):
        body = NO_EVENTS[name]
        answer, _ = await ask(world, node, DRAFT, name, raw(body), **again)
        assert answer == body + rest, name
        once = await ask(world, node, CHAT, f'{name}, once', raw(body))
        assert once == BROKEN, name
        for framing, make in FRAMED.items():
            asked = f'{name}, {framing}'
            sent = make(body)
            answers = (
                await ask(world, node, DRAFT, asked, sent, **again),
                await ask(world, node, CHAT, f'{asked}, once', sent),
            )
            assert answers == ((body, '1'), (body, '1')), asked

    def count_empty() -> int:
        lines = node.events('call_answered')
        return [line['has_events'] for line in lines].count(False)

    await until(lambda: count_empty() >= 8)
    assert count_empty() == 8


# Guards against events that come twice, as a target starts a stream over that
# its caller has resumed.
@pytest.mark.parametrize('again', [WHOLE, event_text(2) + REST])
async def test_a_stream_that_its_caller_resumed_does_not_start_over(
    world: AgencyWorld, again: bytes
) -> None:
    node = await open_node(world)
    await ask(world, node, DRAFT, 'begun')
    fields = {'Resumes': 'begun', 'Last_Event_Id': '2'}
    answer = await ask(world, node, DRAFT, 'over', sized(again), **fields)
    assert answer == (REST, '')


# Guards against an answer without a body that is taken for a lost stream.
async def test_a_head_alone_is_whole(world: AgencyWorld) -> None:
    node = await open_node(world)
    for replica in world.replicas.values():
        replica.raws = [raw()]
    fields = {'X_Model': 'alpha', 'X_Token_Counts': '1000,20'}
    async with world.request(
        node, CHAT, 'head', b'', method='HEAD', **fields
    ) as resp:
        assert (resp.status, resp.headers.get(RAW)) == (200, '1')


# Guards against a stream that ends where it broke off, as another target gave
# again what came before, and closed its connection there too.
async def test_events_that_come_again_do_not_show_where_a_stream_ends(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    first = raw(TWO + ASIDE, is_reset=True)
    again = await ask(world, node, DRAFT, 'again', first, raw(ASIDE))
    assert again == BROKEN
    for name, last, body in (
        ('framed', sized(ASIDE), TWO + ASIDE),
        ('more', raw(ASIDE * 2), TWO + ASIDE * 2),
    ):
        answer = await ask(world, node, DRAFT, name, first, last)
        assert answer == (body, '1'), name


async def open_caller(
    world: AgencyWorld, node: NodeHandle, version: str, name: str, *raws: Any
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request for a stream on a connection that takes little unread."""
    shared_raws = list(raws)
    for replica in world.replicas.values():
        replica.raws = shared_raws
    host, _, port = node.front.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=CALLER_BYTES
    )
    fields = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        'X-Request-Id': name,
        'X-Deadline': '4000',
        'X-Model': 'alpha',
        'X-Token-Counts': '1000,20',
        'Content-Length': '2',
        'Connection': 'keep-alive',
    }
    lines = [f'{field}: {text}' for field, text in fields.items()]
    head = '\r\n'.join((f'POST {CHAT} {version}', *lines, '', '{}'))
    writer.write(head.encode())
    return reader, writer


async def ask_as_http_1_0(*request: Any) -> bytes:
    """Return what comes on a connection until its server closes it."""
    world, node, *answer = request
    reader, writer = await open_caller(world, node, 'HTTP/1.0', *answer)
    with contextlib.closing(writer):
        return await reader.read()


# Guards against an answer that looks complete to a caller that reads no chunks,
# though its target or this node broke it off, and against one without an end.
async def test_a_broken_answer_without_framing_is_reset(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    for number in range(5):
        name = f'whole-{number}'
        answer = await ask_as_http_1_0(world, node, name, raw(WHOLE))
        assert answer.endswith(b'\r\n\r\n%s' % WHOLE)
        assert b'Transfer-Encoding' not in answer
    for number, sent in enumerate((INSIDE['closed'], RESETS['reset'])):
        with pytest.raises(ConnectionResetError):
            await ask_as_http_1_0(world, node, f'broken-{number}', sent)
    slow = raw(TWO, HALF, pause_s=1)
    asked = asyncio.create_task(ask_as_http_1_0(world, node, 'killed', slow))

    def has_begun() -> bool:
        started = [line['request_id'] for line in node.events('call_started')]
        return 'killed' in started

    await until(has_begun)
    await node.process.kill()
    with pytest.raises(ConnectionResetError):
        await asked


# Guards against the end of a node that cuts off the last bytes of an answer
# without framing, which had counted as sent.
async def test_an_unread_answer_without_framing_is_reset_by_a_kill(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    reader, writer = await open_caller(
        world, node, 'HTTP/1.0', 'unread', raw(MUCH)
    )
    with contextlib.closing(writer):
        await until(lambda: bool(node.events('call_started')))
        await asyncio.sleep(UNREAD_S)
        await node.process.kill()
        with pytest.raises(ConnectionResetError):
            await reader.read()


# Guards against a broken stream in chunks of which the caller loses what it
# had not read yet, as its connection is reset.
async def test_a_broken_stream_in_chunks_is_not_reset(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    reader, writer = await open_caller(
        world, node, 'HTTP/1.1', 'slow', raw(MUCH, HALF)
    )
    received = bytearray()
    with contextlib.closing(writer):
        while piece := await reader.read(CALLER_BYTES):
            received.extend(piece)
    assert received.count(b'piece 1') > MUCH.count(b'piece 1') / 2
    assert not received.endswith(b'0\r\n\r\n')


# Guards against a part that is complete as its target ended, and was back,
# behind bytes that a slow caller kept the node from reading.
async def test_a_target_that_is_back_before_its_end_is_read_is_another_one(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    dying = raw(MUCH, pause_s=0, on_end=replacer(world, LATE_ENTRY_S))
    reader, writer = await open_caller(world, node, 'HTTP/1.1', 'slow', dying)
    received = bytearray()
    with contextlib.closing(writer):
        await asyncio.sleep(2 * UNREAD_S)
        while piece := await reader.read(CALLER_BYTES):
            received.extend(piece)
    assert received.count(b'piece 1') > MUCH.count(b'piece 1') / 2
    assert not received.endswith(b'0\r\n\r\n')


FOREIGN = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Request-Id: other\r\nX-Server-Seal: other\r\n\r\ndata: foreign\n\n'
)
BARE = (
    b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\n\n\n'
)
DATED = b'HTTP/1.1 200 OK\r\nDate: today\r\n\r\ndata: foreign\n\n'
BY_BYTE = tuple(bytes((one,)) for one in HALF + FOREIGN)
JOINED = types.MappingProxyType({
    'closed': raw(TWO, HALF, FOREIGN),
    'closed, by byte': raw(TWO, *BY_BYTE, pause_s=0.001),
    'closed inside its head': raw(TWO, HALF, FOREIGN[:60]),
    'reset': raw(TWO, HALF, FOREIGN, is_reset=True),
    'in a chunk': raw(
        *in_chunks(TWO), b'ffff\r\n%s' % HALF, FOREIGN, fields=(CHUNKED,)
    ),
    'behind the last event': raw(WHOLE, FOREIGN),
    'without an id': raw(TWO, HALF, BARE),
    'with other fields': raw(TWO, HALF, DATED),
    'with LF': raw(TWO, HALF, FOREIGN.replace(b'\r\n', b'\n')),
    'without an id, no type': attrs.evolve(
        raw(TWO, HALF, BARE), fields=(f'{RAW}: 1',)
    ),
    'without an id, quoted type': attrs.evolve(
        raw(TWO, HALF, BARE),
        fields=('Content-Type: "text/event-stream"', f'{RAW}: 1'),
    ),
})


# Guards against the events of another answer, which a target had begun inside
# an unfinished stream, and that reached the caller as a part of this one.
@pytest.mark.parametrize(
    ('path', 'expected'),
    [(DRAFT, (WHOLE, '1')), (CHAT, BROKEN)],
    ids=['resumable', 'not resumable'],
)
async def test_a_stream_in_which_another_answer_begins_is_broken_off(
    world: AgencyWorld, path: str, expected: tuple[bytes, str]
) -> None:
    node = await open_node(world)
    answers = {
        name: await ask(world, node, path, name, sent)
        for name, sent in JOINED.items()
    }
    # The next target gives no event, which does not show that none follows.
    assert answers.pop('behind the last event') == BROKEN
    assert answers == dict.fromkeys(answers, expected)

    def find_dropped() -> set[str]:
        return {line['request_id'] for line in node.events('answer_dropped')}

    # The log is written behind the answers.
    await until(lambda: find_dropped() >= JOINED.keys())
    assert find_dropped() == JOINED.keys()
    assert not node.events('target_end_seen')


# Guards against a plain body that another answer fills up, or follows; and
# against a whole one that is broken off as it quotes heads.
async def test_a_plain_body_in_which_another_answer_begins_is_sent_for_again(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    large = BODY * 200000
    sized_body = attrs.evolve(
        plain(BODY, FOREIGN), fields=(PLAIN_TYPE, 'Content-Length: 40')
    )
    for name, sent, expected in (
        ('fills its length', sized_body, (PLAIN, '')),
        ('closed', plain(BODY, FOREIGN), (PLAIN, '')),
        ('closed inside its head', plain(BODY, FOREIGN[:21]), (PLAIN, '')),
        ('large', plain(large, FOREIGN), BROKEN),
    ):
        assert await ask(world, node, LOOK, name, sent) == expected, name
        assert await ask(world, node, POST, f'{name}, once', sent) == BROKEN
    request = b'POST /x HTTP/1.1\r\nX-Request-Id: a\r\n\r\n'
    for body in (request, b'HTTP/1.1 200 OK', FOREIGN.replace(b'\r', b'')):
        answer = await ask(world, node, POST, f'{len(body)}', plain(body))
        assert answer == (body, '1')


HALF_JSON = b'{"name": "a'
WHOLE_JSON = json.dumps('HTTP/1.1 200 OK\r\nDate: today\r\n').encode()


# Guards against JSON that ends inside another answer's head without an id, or
# with LF; and against whole JSON that is broken off as it quotes one.
async def test_json_in_which_another_answer_begins_is_sent_for_again(
    world: AgencyWorld,
) -> None:
    node = await open_node(world)
    for content_type in ('application/json; a=b', 'application/problem+json'):
        fields = (f'Content-Type: {content_type}', f'{RAW}: 1')
        for head in (DATED, BARE, FOREIGN.replace(b'\r\n', b'\n')):
            sent = attrs.evolve(raw(HALF_JSON, head), fields=fields)
            name = f'{content_type} {head!r}'
            assert await ask(world, node, LOOK, name, sent) == (PLAIN, '')
            assert await ask(world, node, POST, f'{name}, once', sent) == BROKEN
        whole = attrs.evolve(raw(WHOLE_JSON), fields=fields)
        answer = await ask(world, node, POST, content_type, whole)
        assert answer == (WHOLE_JSON, '1')


CODINGS = (
    'Transfer-Encoding: gzip, chunked',
    'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
    'Transfer-Encoding: gzip',
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity',
    'Transfer-Encoding: chunked, identity',
    'Transfer-Encoding: chunked,',
)


# Guards against bytes that a target encoded for the way, and that callers got
# without the name of the coding; and against the lines of chunks in a body.
@pytest.mark.parametrize('path', [POST, CHAT])
async def test_an_answer_with_another_transfer_coding_is_broken_off(
    world: AgencyWorld, path: str
) -> None:
    node = await open_node(world)
    chunks = in_chunks(WHOLE, b'')
    for coding in CODINGS:
        coded = raw(*chunks, fields=(coding,))
        assert await ask(world, node, path, f'{coding!r}', coded) == BROKEN
    sent = raw(WHOLE, fields=('Transfer-Encoding: identity',))
    assert await ask(world, node, path, 'identity', sent) == (WHOLE, '1')
    sent = raw(*chunks, fields=('Transfer-Encoding: Chunked ',))
    assert await ask(world, node, path, 'chunks', sent) == (WHOLE, '1')


OTHER_TYPES = ('application/json', 'text/plain', 'application/octet-stream')


# Guards against half an event at the end of a stream whose type is another one;
# and against a whole answer that is taken for such a stream.
@pytest.mark.parametrize('path', [DRAFT, CHAT])
async def test_a_stream_of_another_type_ends_outside_of_events(
    world: AgencyWorld, path: str
) -> None:
    node = await open_node(world)

    async def ask_typed(name: str, *pieces: bytes) -> tuple[bytes, str]:
        fields = (f'Content-Type: {name}', f'{RAW}: 1')
        sent = attrs.evolve(raw(*pieces), fields=fields)
        return await ask(world, node, path, f'{name} {pieces!r}', sent)

    for name in OTHER_TYPES:
        for half in ((TWO, HALF), (TWO[:5],), (PING, TWO[:9])):
            assert await ask_typed(name, *half) == BROKEN, half
        for body in (TWO, PING, b'"id: 1"', b'name: a', b':-) data: 1', b'ids'):
            assert await ask_typed(name, body) == (body, '1'), body


# Guards against a whole body of another type that is broken off, as it begins
# like an event and does not end like one.
@pytest.mark.parametrize('path', [DRAFT, CHAT])
async def test_a_framed_body_of_another_type_is_whole(
    world: AgencyWorld, path: str
) -> None:
    node = await open_node(world)
    for body in (b'id: 7\nstatus: done\n', b'data: 5'):
        length = f'Content-Length: {len(body)}'
        fields = (PLAIN_TYPE, f'{RAW}: 1', length, CLOSE)
        sent = attrs.evolve(raw(body), fields=fields)
        assert await ask(world, node, path, f'{body!r}', sent) == (body, '1')
