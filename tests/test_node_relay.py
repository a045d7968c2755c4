"""Requests that go to targets through another node, as in a partition."""

import asyncio
import contextlib
import json
import types
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Any

import attrs
import pytest
from aiohttp import ClientError, ClientSession, web

from mimosaworks.bounded_answers import HeldBytes
from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetState
from mimosaworks.dispatch import Assignment, CallOutcome
from mimosaworks.node.admission import admit_request
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.attempt_progress import ProgressHooks
from mimosaworks.node.attempt_sender import AttemptSender
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.held_bodies import BodyHold, HeldBodies
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.relay import MAX_ROOM_WAIT_S, Relay
from mimosaworks.node.relay_peers import RELAY_PREFIX, RelayPeers
from mimosaworks.node.sessions import open_target_session
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.node.target_paths import TargetPaths
from mimosaworks.platform import decode_desired
from mimosaworks.serving import set_reset_on_close
from mimosaworks.wire import NodeRow
from standins.addresses import reserve_address
from standins.agency.raw_answer import CHUNKED, RawAnswer, in_chunks
from standins.agency.replica import EVENTS, PLAIN, Replica, replica_app
from standins.agency.world import HOST, KEY, desired
from standins.faultproxy.proxy import Proxy
from tests.dispatch_world import make_entry
from tests.test_node_answer_ends import (
    BODY,
    BROKEN,
    FOREIGN,
    FRAMED,
    INSIDE,
    NO_EVENTS,
    RAW,
    RESETS,
    STREAMS,
    TWO,
    WHOLE,
    plain,
    raw,
    sized,
)
from tests.test_node_processes import until

DEPLOYMENT = decode_desired(json.dumps(desired()).encode())
ANSWER_BYTES = 8000000
HELD_BYTES = 1000000
PIECE = b'data: piece'


def _no_incarnation(_name: str) -> int:
    return 0


def _ignore(*_: object) -> None:
    """Do nothing."""


def _is_standalone() -> bool:
    return False


def _ignore_stop() -> None:
    """Do not stop."""


def make_notices() -> TargetNotices:
    return TargetNotices(_no_incarnation, _ignore, _ignore)


def make_limits() -> LimitView:
    return LimitView(
        _no_incarnation, _ignore, _ignore, is_standalone=_is_standalone
    )


@attrs.define(eq=False)
class RelayWorld:
    """A target, a node that relays, and one that is cut off from the target.

    failures are the attempts of the node that is cut off.
    """

    replica: Replica
    relay: Relay
    peers: RelayPeers
    session: ClientSession
    front: str = ''
    relay_address: str = ''
    failures: list[AttemptError] = attrs.field(factory=list)

    def request(self, path: str, **headers: str) -> Any:
        """Send a request as a caller of the node that is cut off."""
        fields = {
            'Host': HOST,
            'X-Request-Id': 'asked',
            'X-Deadline': '4000',
            'Authorization': f'Bearer {KEY}',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        return self.session.post(
            f'http://{self.front}{path}', headers=fields, data=b'{}'
        )


async def serve(
    app: web.Application,
    stack: contextlib.AsyncExitStack,
    address: str = '',
) -> str:
    address = address or reserve_address()
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return address


def front_app(world: RelayWorld, sender: AttemptSender) -> web.Application:
    async def handle(req: web.Request) -> web.StreamResponse:
        hold = BodyHold(HeldBodies(ANSWER_BYTES))
        call = await admit_request(req, DEPLOYMENT, now_s(), hold)
        assignment = Assignment('engine-1', world.replica.address, 5)
        try:
            return await sender.send_and_relay(
                call,
                assignment,
                _ignore,
                ProgressHooks(_ignore, _ignore, _ignore),
            )
        except AttemptError as exc:
            world.failures.append(exc)
            if req.transport is not None:
                req.transport.abort()
            raise

    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', handle)
    return app


def relay_app(relay: Relay) -> web.Application:
    app = web.Application()
    app.router.add_route(
        '*', f'{RELAY_PREFIX}/{{tail:.*}}', relay.handle_request
    )
    return app


def make_row(name: str, **fields: Any) -> NodeRow:
    row = NodeRow(
        name, 'f', f'{name}:1', 'north', relays=True, judges_ends=True
    )
    return attrs.evolve(row, **fields)


@contextlib.asynccontextmanager
async def open_relay_world() -> AsyncGenerator[RelayWorld, None]:
    async with contextlib.AsyncExitStack() as stack:
        replica = Replica('engine-1', 'engines', 'north')
        replica.models = {'alpha': set()}
        replica.address = await serve(replica_app(replica), stack)
        targets = {
            'engine-1': attrs.evolve(
                make_entry('engine-1'), address=replica.address
            )
        }
        session = await open_target_session(stack, 5, ANSWER_BYTES)
        relay = Relay(
            TargetPaths(tuple),
            session,
            make_notices(),
            lambda: targets,
            _ignore_stop,
            HeldBodies(ANSWER_BYTES),
        )
        address = await serve(relay_app(relay), stack)
        row = make_row('other', peer_address=address)
        paths = TargetPaths(tuple, is_cut_off=True)
        peers = RelayPeers('own', 'north', paths, lambda: {'other': row})
        world = RelayWorld(
            replica,
            relay,
            peers,
            await stack.enter_async_context(ClientSession()),
            relay_address=address,
        )
        sender = AttemptSender(
            await open_target_session(stack, 5, ANSWER_BYTES),
            make_notices(),
            make_limits(),
            BrittleTargets(),
            HeldBytes(HELD_BYTES, HELD_BYTES),
            peers,
        )
        world.front = await serve(front_app(world, sender), stack)
        yield world


@pytest.fixture
async def world() -> AsyncIterator[RelayWorld]:
    async with open_relay_world() as opened:
        yield opened


# Guards against callers of a node without a path that are not served, and
# against answers and requests that are changed on the way round.
async def test_requests_and_answers_pass_through_another_node(
    world: RelayWorld,
) -> None:
    async with world.request('/post/x?y=%2F1') as resp:
        assert (resp.status, await resp.read()) == (200, PLAIN)
        assert resp.headers['X-Server-Seal'] == 'seal-engine-1'
        assert 'Mimosa-Relayed' not in resp.headers
        assert 'Mimosa-Relayed-Framing' not in resp.headers
    sent = {
        name.lower(): text for name, text in world.replica.headers[-1].items()
    }
    assert sent['x-expect-instance'] == 'engine-1'
    assert sent['host'] == HOST
    assert int(sent['x-deadline']) <= 4000
    assert 'authorization' not in sent
    assert 'mimosa-relay-to' not in sent
    assert world.replica.runs == ['asked']


# Guards against a node that keeps others waiting for room, behind a body that
# the node which sent it has given up.
async def test_a_relayed_body_whose_sender_left_gives_up_its_turn(
    world: RelayWorld,
) -> None:
    bodies = world.relay.held_bodies
    body = bytes(ANSWER_BYTES // 2)
    with bodies.hold() as first:
        await first.reserve(len(body), 0)
        _, writer = await asyncio.open_connection(
            *world.relay_address.split(':')
        )
        writer.write(
            f'POST {RELAY_PREFIX}/post/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
        )
        writer.write(body)
        await until(lambda: bodies.waiting_count == 1)
        set_reset_on_close(writer.transport, is_on=True)
        writer.transport.abort()
        async with asyncio.timeout(MAX_ROOM_WAIT_S / 2):
            await until(lambda: not bodies.waiting_count)
    await until(lambda: not world.relay.running)
    assert not bodies.held


async def test_events_of_a_stream_pass_as_they_come(world: RelayWorld) -> None:
    world.replica.event_s = 0.2
    received = bytearray()
    first_pieces = 0
    async with world.request(
        '/chat/x', X_Model='alpha', X_Token_Counts='10,20'
    ) as resp:
        async for chunk in resp.content.iter_any():
            received.extend(chunk)
            first_pieces = first_pieces or received.count(PIECE)
    assert first_pieces == 1
    assert received.count(PIECE) == EVENTS


# Guards against an answer that looks complete though its target broke it off.
async def test_an_answer_that_breaks_off_stays_incomplete(
    world: RelayWorld,
) -> None:
    world.replica.breaks_after = 2
    received = bytearray()
    async with world.request(
        '/chat/x', X_Model='alpha', X_Token_Counts='10,20'
    ) as resp:
        with pytest.raises(ClientError):
            async for chunk in resp.content.iter_any():
                received.extend(chunk)
    assert received.count(PIECE) == 2
    assert [exc.outcome for exc in world.failures] == [CallOutcome.BROKEN]
    assert not world.failures[0].is_not_run


async def ask(
    world: RelayWorld, path: str, *sent: RawAnswer
) -> tuple[bytes, str]:
    """Return the body that a caller gets for an answer, and RAW in its head."""
    world.replica.raws = list(sent)
    try:
        async with world.request(
            path, X_Model='alpha', X_Token_Counts='10,20'
        ) as resp:
            body = bytes(await resp.read())
            assert resp.status == 200
            return body, resp.headers.get(RAW, '')
    except ClientError:
        return BROKEN


SPLIT = (WHOLE[:20], WHOLE[20:])
HEAD_END = '\r\n\r\n'
OK = 'HTTP/1.1 200 OK'
HINTS = f'HTTP/1.1 103 Early Hints{HEAD_END}{OK}'
CONTINUE = f'HTTP/1.1 100 Continue{HEAD_END}{OK}'
WHOLE_ANSWERS = types.MappingProxyType({
    **{f'closed, {name}': raw(body) for name, body in STREAMS.items()},
    'closed, announced': raw(*SPLIT, fields=('Connection: close',)),
    'HTTP/1.0': raw(*SPLIT, status='HTTP/1.0 200 OK'),
    'HTTP/1.0 with a length': attrs.evolve(
        sized(*SPLIT), status='HTTP/1.0 200 OK'
    ),
    'length': sized(*SPLIT),
    'behind a 100': raw(*SPLIT, status=CONTINUE),
    'behind a 103': raw(*SPLIT, status=HINTS),
    'plain': plain(BODY),
    'plain, none': plain(),
    'plain, large': plain(BODY * 200000),
    'plain, large, HTTP/1.0': plain(BODY * 200000, status='HTTP/1.0 200 OK'),
})
BROKEN_ANSWERS = types.MappingProxyType({
    **RESETS,
    **INSIDE,
    'chunks without the last': raw(*in_chunks(TWO), fields=(CHUNKED,)),
    'chunk that is cut': raw(in_chunks(TWO)[0][:-9], fields=(CHUNKED,)),
    'length that is larger': sized(TWO, more=9),
    'length that is smaller': sized(TWO, more=-9),
    'reset before its length': attrs.evolve(sized(TWO, more=9), is_reset=True),
    'behind a 103': raw(WHOLE[:12], status=HINTS),
    'reset, HTTP/1.0': raw(TWO, status='HTTP/1.0 200 OK', is_reset=True),
    'plain, reset': plain(BODY, is_reset=True),
    'plain, none, reset': plain(is_reset=True),
    'coded': raw(
        *in_chunks(WHOLE, b''), fields=('Transfer-Encoding: gzip, chunked',)
    ),
    'another answer': raw(TWO, FOREIGN[:50], FOREIGN[50:]),
    'plain, another answer': plain(BODY, FOREIGN),
    'plain, large, reset': plain(BODY * 200000, is_reset=True),
})


# Guards against an answer that the way round completes, as it gives the answer
# another framing, and against a whole one that it breaks.
@pytest.mark.parametrize('path', ['/chat/x', '/draft/x', '/look/x'])
async def test_broken_answers_stay_broken_and_whole_ones_whole(
    world: RelayWorld, path: str
) -> None:
    for name, sent in WHOLE_ANSWERS.items():
        answer = await ask(world, path, sent)
        assert answer == (b''.join(sent.pieces), '1'), name
    chunks = raw(*in_chunks(*SPLIT, b''), fields=(CHUNKED,))
    assert await ask(world, path, chunks) == (WHOLE, '1')
    for name, sent in BROKEN_ANSWERS.items():
        assert await ask(world, path, sent) == BROKEN, name
    for name, body in NO_EVENTS.items():
        expected = (body, '1') if path == '/look/x' else BROKEN
        assert await ask(world, path, raw(body)) == expected, name
        for make in FRAMED.values():
            assert await ask(world, path, make(body)) == (body, '1'), name


# Guards against an answer without framing that the end of the node that relays
# it completes.
@pytest.mark.parametrize('path', ['/chat/x', '/draft/x', '/look/x'])
async def test_a_relay_that_ends_breaks_its_answers_off(
    world: RelayWorld, path: str
) -> None:
    slow = raw(TWO, *SPLIT, pause_s=0.5)
    async with contextlib.AsyncExitStack() as stack:
        address = await serve(relay_app(world.relay), stack)
        row = make_row('other', peer_address=address)
        world.peers.list_members = lambda: {'other': row}
        asked = asyncio.create_task(ask(world, path, slow))
        await until(lambda: bool(world.replica.runs))
        await asyncio.sleep(0.2)
    assert await asked == BROKEN
    assert [exc.outcome for exc in world.failures] == [CallOutcome.BROKEN]


# Guards against an answer without framing that the way round completes, though
# its target ended behind an event or in a plain body, or at its time limit.
@pytest.mark.parametrize('path', ['/chat/x', '/draft/x', '/look/x'])
async def test_a_relay_breaks_off_answers_that_something_else_ended(
    world: RelayWorld, path: str
) -> None:
    host, _, port = reserve_address().rpartition(':')
    upstream_host, _, upstream_port = world.replica.address.rpartition(':')
    proxy = Proxy((host, int(port)), (upstream_host, int(upstream_port)))
    world.replica.address = f'{host}:{port}'
    entry = attrs.evolve(make_entry('engine-1'), address=f'{host}:{port}')
    world.relay.find_targets = lambda: {'engine-1': entry}

    def end_target(_: str) -> None:
        proxy.refuse()

    with contextlib.closing(proxy):
        for sent in (raw(TWO), plain(BODY), plain(), plain(BODY * 200000)):
            await proxy.open()
            body = b''.join(sent.pieces)
            assert await ask(world, path, sent) == (body, '1')
            dying = attrs.evolve(sent, on_end=end_target)
            assert await ask(world, path, dying) == BROKEN
            stopped = attrs.evolve(sent, pause_s=3.94)
        await proxy.open()
        assert await ask(world, path, stopped) == BROKEN


# Guards against an answer without framing that the way round completes, as its
# target had started again when it was asked.
async def test_a_relay_breaks_off_an_answer_whose_target_starts_again(
    world: RelayWorld,
) -> None:
    host, _, port = reserve_address().rpartition(':')
    upstream_host, _, upstream_port = world.replica.address.rpartition(':')
    proxy = Proxy((host, int(port)), (upstream_host, int(upstream_port)))
    world.replica.address = f'{host}:{port}'
    entry = attrs.evolve(make_entry('engine-1'), address=f'{host}:{port}')
    world.relay.find_targets = lambda: {'engine-1': entry}
    tasks = []

    def restart_target(_: str) -> None:
        proxy.refuse()
        proxy.close_unused()
        tasks.append(asyncio.create_task(proxy.open()))

    with contextlib.closing(proxy):
        await proxy.open()
        for sent in (plain(BODY, pause_s=0.2), plain()):
            dying = attrs.evolve(sent, on_end=restart_target)
            assert await ask(world, '/look/x', dying) == BROKEN
            await asyncio.gather(*tasks)


# Guards against a target that goes on working for a caller who has left.
async def test_a_caller_that_leaves_is_noticed_by_the_target(
    world: RelayWorld,
) -> None:
    world.replica.first_s = 5
    asked = asyncio.create_task(_read(world))
    await until(lambda: bool(world.replica.runs))
    assert world.relay.running == 1
    asked.cancel()
    await until(lambda: world.replica.cancelled == ['asked'])
    await until(lambda: not world.relay.running)


async def _read(world: RelayWorld) -> bytes:
    async with world.request('/post/x') as resp:
        return bytes(await resp.read())


def _lose_target(world: RelayWorld) -> None:
    entry = attrs.evolve(make_entry('engine-1'), address='127.0.0.1:9')
    world.relay.find_targets = lambda: {'engine-1': entry}
    world.replica.address = entry.address


def _forget_target(world: RelayWorld) -> None:
    world.relay.find_targets = dict


def _drain_target(world: RelayWorld) -> None:
    entry = attrs.evolve(
        make_entry('engine-1'),
        address=world.replica.address,
        state=TargetState.DRAINING,
    )
    world.relay.find_targets = lambda: {'engine-1': entry}


def _pause_target(world: RelayWorld) -> None:
    world.relay.target_notices.record_pause('engine-1', 5, now_s())


def _cut_relay(world: RelayWorld) -> None:
    world.relay.paths.is_cut_off = True


def _stop_relay(world: RelayWorld) -> None:
    world.relay.stop_remaining_s = lambda: 1.0


def _end_relay(world: RelayWorld) -> None:
    row = make_row('other', peer_address='127.0.0.1:9')
    world.peers.list_members = lambda: {'other': row}


# Guards against a request that counts as one which may have run though it was
# not sent, and against targets that leave or pause and get it all the same.
@pytest.mark.parametrize(
    ('change', 'outcome'),
    [
        (_lose_target, CallOutcome.UNREACHABLE),
        (_forget_target, CallOutcome.NOT_SENT),
        (_drain_target, CallOutcome.NOT_SENT),
        (_pause_target, CallOutcome.NOT_SENT),
        (_cut_relay, CallOutcome.NOT_SENT),
        (_stop_relay, CallOutcome.NOT_SENT),
        (_end_relay, CallOutcome.UNREACHABLE),
    ],
)
async def test_a_request_that_no_relay_sent_has_not_run(
    world: RelayWorld,
    change: Callable[[RelayWorld], None],
    outcome: CallOutcome,
) -> None:
    change(world)
    with pytest.raises(ClientError):
        await _read(world)
    failure = world.failures[-1]
    assert (failure.outcome, failure.is_not_run) == (outcome, True)
    assert not world.replica.runs


# Guards against an answer of a node that is no relay, as after its address was
# given to another program, that a caller takes for a target's.
async def test_an_answer_that_no_relay_gave_is_not_passed_on(
    world: RelayWorld,
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        stray = Replica('stray', 'engines', 'north')
        address = await serve(replica_app(stray), stack)
        row = make_row('other', peer_address=address)
        world.peers.list_members = lambda: {'other': row}
        with pytest.raises(ClientError):
            await _read(world)
    assert [exc.outcome for exc in world.failures] == [CallOutcome.BROKEN]


# Guards against a way round over a node that is cut off as well, or that runs
# an earlier release, which completes answers that were broken off, and against
# one through another data centre without need.
def test_relays_are_near_nodes_that_reach_targets() -> None:
    rows = {
        'own': make_row('own'),
        'near': make_row('near'),
        'far': make_row('far', data_centre='south'),
        'cut': make_row('cut', relays=False),
        'earlier': make_row('earlier', judges_ends=False),
    }
    paths = TargetPaths(tuple)
    peers = RelayPeers('own', 'north', paths, lambda: rows)
    assert not peers.find_relay()
    paths.is_cut_off = True
    assert {peers.find_relay() for _ in range(30)} == {'near:1'}
    peers.record_failure('near:1')
    assert peers.find_relay() == 'far:1'
    peers.record_failure('far:1')
    assert not peers.find_relay()
