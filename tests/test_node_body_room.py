"""What is held of requests at rest, whatever way they ended."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from mimosaworks.errors import RequestError
from mimosaworks.node.held_bodies import (
    SMALL_BYTES,
    BodyHold,
    HeldBodies,
    RoomResult,
)
from standins.agency.world import (
    HOST,
    KEY,
    AgencyWorld,
    NodeHandle,
    desired,
    open_agency,
)
from tests.jumping_loop import JumpingLoop

BODY_BYTES = 4194304
CALLERS = 40  # three times as many as there is room for
ROOM = 4000000
REQUESTS = 300
STEP_S = 0.001  # what an event loop's timers are rounded to
WAIT_STEPS = 20
WAIT_S = WAIT_STEPS * STEP_S
SHORT_S = 0.3
TIMEOUT_MS = 3000
ENDS = (
    'sent',
    'left before the body',
    'left in the body',
    'stuck in the body',
    'chunks',
    'left in chunks',
)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        state = desired(2)
        state['limits']['max-body-bytes'] = BODY_BYTES
        for route in state['routes']:
            route['timeout-ms'] = TIMEOUT_MS
        opened.configure(state)
        yield opened


async def fill(hold: BodyHold, rng: random.Random) -> None:
    """Take the room of a body, in pieces where it names no length."""
    hold.grow(rng.randrange(SMALL_BYTES))
    if rng.random() > 1 / 3:
        await hold.reserve(rng.randrange(ROOM), WAIT_S)
        return
    for _ in range(rng.randrange(9)):
        hold.grow(hold.size + rng.randrange(ROOM // 4))
        await asyncio.sleep(0)


async def pause(rng: random.Random, most_steps: int) -> None:
    """Wait; in whole steps, so that some events fall together."""
    await asyncio.sleep(rng.randint(0, most_steps) * STEP_S)


async def use_room(
    bodies: HeldBodies, rng: random.Random, ends: Counter[str]
) -> None:
    """Hold a body as a request does, whose caller may leave at any time."""
    try:
        async with asyncio.timeout(rng.choice((WAIT_S / 2, None))):
            with bodies.hold() as hold:
                await fill(hold, rng)
                assert bodies.held <= bodies.all_bytes
                await pause(rng, WAIT_STEPS)
                ends['served'] += 1
    except TimeoutError:
        ends['left'] += 1
    except RequestError:
        ends['refused'] += 1


async def _use_room_often(
    bodies: HeldBodies, rng: random.Random
) -> Counter[str]:
    """Return how many requests ended in which way."""
    ends: Counter[str] = Counter()
    async with asyncio.timeout(REQUESTS * WAIT_S), asyncio.TaskGroup() as tasks:
        for _ in range(REQUESTS):
            tasks.create_task(use_room(bodies, rng, ends))
            await pause(rng, WAIT_STEPS // 4)
    return ends


# Guards against room that is lost or given twice when callers leave, wait or
# are refused, and against requests that wait for each other's room for ever.
@pytest.mark.parametrize('seed', range(5))
def test_nothing_is_held_after_all_ended(seed: int) -> None:
    rng = random.Random(seed)  # noqa: S311 -- replayable
    found: Counter[RoomResult] = Counter()
    bodies = HeldBodies(ROOM, lambda room_result: found.update([room_result]))
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        ends = runner.run(_use_room_often(bodies, rng))
    assert (bodies.held, bodies.waiting_count) == (0, 0)
    assert ends.total() == REQUESTS
    assert min(ends['served'], ends['left'], ends['refused']) > 1
    assert set(found) == set(RoomResult)


async def send(node: NodeHandle, number: int, end: str) -> bytes:
    """Send a request that ends so; return what came back, '' if it left."""
    reader, writer = await asyncio.open_connection(*node.front.split(':'))
    has_length = 'chunks' not in end
    framing = (
        f'Content-Length: {BODY_BYTES}'
        if has_length
        else 'Transfer-Encoding: chunked'
    )
    writer.write(
        f'POST /post/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {end}-{number}'
        f'\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n'
        f'X-Deadline: {TIMEOUT_MS}\r\n{framing}\r\n\r\n'.encode()
    )
    body = bytes(BODY_BYTES if end in {'sent', 'chunks'} else BODY_BYTES // 2)
    if not has_length:
        writer.write(b'%x\r\n' % BODY_BYTES)
    if end != 'left before the body':
        writer.write(body)
    if end == 'chunks':
        writer.write(b'\r\n0\r\n\r\n')
    reply = b''
    with contextlib.suppress(ConnectionError):
        if end.startswith('left'):
            await asyncio.sleep(SHORT_S)
        else:
            reply = await reader.read()
    writer.transport.abort()
    return reply


async def read_gauge(world: AgencyWorld, node: NodeHandle, name: str) -> float:
    async with world.session.get(f'http://{node.metrics}/metrics') as resp:
        lines = (await resp.text()).splitlines()
    return sum(
        float(line.split()[-1]) for line in lines if line.startswith(name)
    )


# Guards against room that a node loses with callers that break off, and against
# a refusal for want of room of what a target gets.
async def test_a_node_holds_nothing_at_rest(world: AgencyWorld) -> None:
    replica = await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    while not (await send(node, 0, 'sent')).startswith(b'HTTP/1.1 200'):
        await asyncio.sleep(SHORT_S)
    found = await asyncio.gather(
        *(
            send(node, number, end)
            for number in range(1, CALLERS // 2)
            for end in ENDS
        )
    )
    refused = [reply for reply in found if b'no room' in reply]
    assert refused
    assert all(b'503' in one and b'Retry-After: ' in one for one in refused)
    async with asyncio.timeout(2 * TIMEOUT_MS):
        while await read_gauge(world, node, 'mimosa_held_bytes'):
            await asyncio.sleep(SHORT_S)
    assert not await read_gauge(world, node, 'mimosa_waiting_bodies')
    assert await read_gauge(world, node, 'mimosa_body_room_total') >= len(
        refused
    )
    ran = set(replica.runs)
    told = {
        line['request_id']
        for line in node.events('call_refused')
        if line['kind'] == 'queue_full'
    }
    answered = {line['request_id'] for line in node.events('call_answered')}
    assert told
    assert not told & ran
    assert answered <= ran
    assert (await send(node, CALLERS, 'sent')).startswith(b'HTTP/1.1 200')
