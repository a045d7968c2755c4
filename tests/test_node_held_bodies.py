"""The bodies of requests that a node holds at once."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path
from unittest import mock

import aiohttp
import psutil
import pytest
from aiohttp.test_utils import make_mocked_request

from mimosaworks.errors import RequestError
from mimosaworks.node.attempt_error import CallerDisconnectedError
from mimosaworks.node.held_bodies import (
    SMALL_BYTES,
    BodyHold,
    CallerCheck,
    HeldBodies,
    read_request_body,
)
from mimosaworks.serving import set_reset_on_close
from standins.agency.world import (
    HOST,
    KEY,
    MODELS,
    AgencyWorld,
    NodeHandle,
    desired,
    open_agency,
)
from tests.test_node_endless_answers import ask, peak_mb
from tests.test_node_endless_mixed import add_endless, ask_in_turn

BODY = bytes(4194304)
CALLERS = 60
LIMIT_MB = 200  # two thirds of a VM's memory
SERVED = 0.9
ROOM = 4000000  # a quarter of it is left to small bodies
LARGE = 1600000
WAIT_S = 5
SHORT_S = 0.05
ANSWER_S = 0.4
LONG_S = 4  # it holds its body's room meanwhile
UNREAD_S = 0.3
TIMEOUT_MS = 20000  # no request is cut by it
Statuses = Counter[int]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        state = desired(2)
        state['limits']['max-body-bytes'] = len(BODY)
        for route in state['routes']:
            route['timeout-ms'] = TIMEOUT_MS
            route['target-latency-ms'] = TIMEOUT_MS
        opened.configure(state)
        yield opened


async def in_pieces() -> AsyncIterator[bytes]:
    """Give a body without a length."""
    for start in range(0, len(BODY), SMALL_BYTES):
        yield BODY[start : start + SMALL_BYTES]


async def send(
    world: AgencyWorld, node: NodeHandle, number: int, *, chunked: bool
) -> int:
    """Return the status of an answer, 0 for one that is not whole."""
    extra = {
        'X_Deadline': str(TIMEOUT_MS),
        'X_Model': MODELS[0],
        'X_Token_Counts': '100,20',
    }
    body = in_pieces() if chunked else BODY
    try:
        async with world.request(
            node, '/chat/x', f'large-{number}', body, **extra
        ) as resp:
            await resp.read()
            assert resp.status != 503 or float(resp.headers['Retry-After'])
            return int(resp.status)
    except aiohttp.ClientError:
        return 0


async def burst(
    world: AgencyWorld, node: NodeHandle, *, chunked: bool
) -> tuple[float, Statuses, Statuses]:
    """Send many large bodies at once, and small requests meanwhile.

    Returns the most memory of the node, and the answers to either.
    """
    asked = asyncio.gather(
        *(send(world, node, one, chunked=chunked) for one in range(CALLERS))
    )
    peak, small, answers = await asyncio.gather(
        peak_mb(node, asked), ask_in_turn(world, node, asked), asked
    )
    return peak, Counter(answers), small


async def add_ready_node(world: AgencyWorld) -> NodeHandle:
    """Add a node with targets of both services, once it serves callers."""
    for number in range(2):
        await world.add_replica(
            f'engine-{number}', models={MODELS[0]: set()}, first_s=ANSWER_S
        )
    await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    found = [503]
    while found[-1] != 200:
        found.append(await ask(world, node, '/look/x', len(found)))
    return node


# Guards against the bodies of all requests, each of an allowed size, that use
# up a VM's memory: its process ends with all that it had accepted.
@pytest.mark.parametrize(
    ('chunked', 'allowed'), [(False, {200}), (True, {200, 503})]
)
async def test_many_large_bodies_leave_memory(
    world: AgencyWorld, *, chunked: bool, allowed: set[int]
) -> None:
    node = await add_ready_node(world)
    peak, answers, small = await burst(world, node, chunked=chunked)
    assert peak < LIMIT_MB
    assert set(answers) <= allowed
    assert answers[200] > 1
    assert small[200] > SERVED * small.total()


# Guards against bodies and answers that are held within their own bounds, and
# together use up a VM's memory.
async def test_large_bodies_beside_endless_answers_leave_memory(
    world: AgencyWorld,
) -> None:
    await add_endless(world, 'body', reports=False)
    node = await add_ready_node(world)
    peak, answers, small = await burst(world, node, chunked=False)
    assert peak < LIMIT_MB
    assert set(answers) <= {0, 200, 502, 503, 504}
    assert small[200] > SERVED * small.total()
    assert psutil.Process(node.process.child.pid).is_running()


async def take(
    bodies: HeldBodies,
    size: int,
    done: 'asyncio.Future[None]',
    order: list[int],
    number: int,
) -> None:
    with bodies.hold() as hold:
        await hold.reserve(size, WAIT_S)
        order.append(number)
        await done


# Guards against large bodies that wait for each other's room, or that keep
# small ones waiting.
async def test_large_bodies_get_room_in_turn() -> None:
    bodies = HeldBodies(ROOM)
    done = asyncio.get_running_loop().create_future()
    order: list[int] = []
    tasks = [
        asyncio.create_task(take(bodies, size, done, order, number))
        for number, size in enumerate((LARGE, LARGE, LARGE // 2, SMALL_BYTES))
    ]
    await asyncio.sleep(0)
    assert order == [0, 3]
    done.set_result(None)
    await asyncio.gather(*tasks)
    assert order == [0, 3, 1, 2]
    assert not bodies.held


# Guards against room that is lost with a caller, and against a caller that is
# kept waiting for room that never comes.
async def test_room_comes_back_whatever_ends() -> None:
    bodies = HeldBodies(3 * ROOM)
    first = BodyHold(bodies)
    await first.reserve(2 * ROOM, WAIT_S)
    with bodies.hold() as hold:
        with pytest.raises(RequestError, match='no room') as refused:
            await hold.reserve(ROOM, SHORT_S)
        assert refused.value.retry_after_s
        with pytest.raises(RequestError, match='no room'):
            await hold.reserve(3 * ROOM, WAIT_S)
        with pytest.raises(RequestError, match='no room'):
            hold.grow(ROOM)
    left = asyncio.create_task(
        take(bodies, ROOM, asyncio.Future(), [], 0), name='left'
    )
    await asyncio.sleep(0)
    left.cancel()
    first.keep(0)
    with contextlib.suppress(asyncio.CancelledError):
        await left
    assert not bodies.held


# Guards against a body without a length that takes the room of two until its
# request has ended.
async def test_a_body_that_was_read_is_held_once() -> None:
    content = aiohttp.StreamReader(mock.Mock(_reading_paused=False), 2 * LARGE)
    content.feed_data(bytes(LARGE))
    content.feed_eof()
    bodies = HeldBodies(3 * ROOM)
    with bodies.hold() as hold:
        chunks = {'Transfer-Encoding': 'chunked'}
        req = make_mocked_request('POST', '/', chunks, payload=content)
        body = await read_request_body(req, LARGE, hold, WAIT_S)
        assert len(body) == LARGE
        assert LARGE <= bodies.held < LARGE + SMALL_BYTES


async def send_large(node: NodeHandle, name: str) -> asyncio.StreamWriter:
    """Send a large body for which there is room once."""
    body = bytes(ROOM // 2)
    _, writer = await asyncio.open_connection(*node.front.split(':'))
    writer.write(
        f'POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n'
        f'X-Deadline: {TIMEOUT_MS}\r\nAuthorization: Bearer {KEY}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
    )
    writer.write(body)
    return writer


# Guards against callers that are kept waiting for room, though there is enough,
# behind a body whose caller has reset its connection, which nobody reads.
async def test_a_body_whose_caller_left_gives_up_its_turn(
    world: AgencyWorld,
) -> None:
    replica = await world.add_replica('good', service='ledger')
    options = ('--all-bodies-mb', str(ROOM // 1000000))
    node = await world.add_node('node-1', options=options)
    while await ask(world, node, '/look/x', 0) != 200:
        await asyncio.sleep(SHORT_S)
    replica.first_s = LONG_S
    holder = await send_large(node, 'holds')
    await asyncio.sleep(UNREAD_S)
    replica.first_s = 0
    left = await send_large(node, 'left')
    await asyncio.sleep(UNREAD_S)
    set_reset_on_close(left.transport, is_on=True)
    left.transport.abort()
    async with asyncio.timeout(LONG_S / 2):
        async with world.request(
            node, '/look/x', 'behind', bytes(2 * SMALL_BYTES)
        ) as resp:
            assert resp.status == 200, await resp.text()
    assert {'holds', 'behind'} <= set(replica.runs)
    assert 'left' not in replica.runs
    holder.transport.abort()


async def wait_behind(bodies: HeldBodies, is_caller_there: CallerCheck) -> None:
    """Wait for the room of a large body."""
    with bodies.hold() as hold:
        await hold.reserve(LARGE, WAIT_S, is_caller_there)


# Guards against the turn of a caller that left which ends those of others, and
# against room that is kept for it.
async def test_only_a_caller_that_left_loses_its_turn() -> None:
    bodies = HeldBodies(ROOM)
    first = BodyHold(bodies)
    await first.reserve(LARGE, WAIT_S)
    there = {0, 1}
    waiting = [
        asyncio.create_task(
            wait_behind(bodies, partial(there.__contains__, one))
        )
        for one in range(2)
    ]
    await asyncio.sleep(0)
    there.remove(0)
    with pytest.raises(CallerDisconnectedError):
        await waiting[0]
    assert bodies.waiting_count == 1
    first.keep(0)
    await waiting[1]
    assert not bodies.held
