"""Planned stops of real nodes, with callers that stay until the end."""

import asyncio
import contextlib
import signal
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from standins.agency.world import (
    HOST,
    KEY,
    AgencyWorld,
    NodeHandle,
    desired,
    open_agency,
)
from tests.stop_crowd import Crowd
from tests.test_node_processes import holder_of, until, until_served

GRACE_S = 5
LONG_S = 2 * GRACE_S
STREAM_S = 1.2
EVENT_S = 0.02
SHORT_MS = 1800
REJECTED_S = 0.05
LONG_MS = 20000
FEW = 20
STATUS_END = len('HTTP/1.1 200')
BUSY = 3  # processes, fewer than the cores of any VM that runs this
Trouble = Callable[[AgencyWorld, NodeHandle], Awaitable[None]]


def open_state(version: int) -> dict[str, Any]:
    """Return a desired state whose routes leave time to their callers."""
    state = desired(version)
    for route in state['routes']:
        route['timeout-ms'] = LONG_MS
    return state


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """Targets whose streams are far longer than their stated tokens."""
    async with open_agency(tmp_path) as opened:
        opened.bounds['grace-s'] = GRACE_S
        opened.configure(open_state(2))
        await opened.add_replica('ledger-1', service='ledger', slots=50)
        await opened.add_replica(
            'engine-1',
            models={'alpha': set()},
            slots=300,
            events=round(STREAM_S / EVENT_S),
            event_s=EVENT_S,
        )
        yield opened


async def open_nodes(world: AgencyWorld, number: int) -> list[NodeHandle]:
    nodes = [await world.add_node(f'node-{one}') for one in range(number)]
    for node in nodes:
        await until_served(world, node)
    return nodes


def gather_crowd(world: AgencyWorld, node: NodeHandle) -> 'asyncio.Task[Crowd]':
    """Have callers stay with a node until its process is gone."""

    async def work() -> Crowd:
        crowd = Crowd(world, node, (SHORT_MS, LONG_MS))
        await asyncio.gather(
            crowd.come('/chat/a', 'alpha'),
            crowd.come('/look/a'),
            crowd.stay('/chat/a', 'alpha'),
            crowd.stay('/look/a'),
        )
        return crowd

    return asyncio.create_task(work())


async def stop_under_load(nodes: list[NodeHandle], world: AgencyWorld) -> None:
    """Stop nodes at once; check that none cuts what came after SIGTERM."""
    crowds = [gather_crowd(world, node) for node in nodes]
    await asyncio.sleep(0.5)
    stopped_s = time.monotonic()
    in_time = await asyncio.gather(*(node.stop() for node in nodes))
    for crowd in await asyncio.gather(*crowds):
        assert not crowd.cut(stopped_s)
        assert not crowd.unheard(stopped_s)
        assert crowd.served(stopped_s)
    assert all(in_time), 'killed when the grace was over'


def head(
    request_id: str, size: int, deadline_ms: int, extra: str = ''
) -> bytes:
    """Return the head of a request; a body of size bytes follows."""
    path = '/chat/a' if extra else '/look/a'
    return (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline: {deadline_ms}\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: {size}\r\n'
        f'{extra}\r\n'
    ).encode()


def whole(request_id: str, deadline_ms: int, extra: str = '') -> bytes:
    """Return a request with its body."""
    return b''.join((head(request_id, 2, deadline_ms, extra), b'{}'))


STREAM = 'X-Model: alpha\r\nX-Token-Counts: 12,20\r\n'


async def connect(
    node: NodeHandle,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = node.front.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Return what comes until the connection is closed or reset."""
    came = b''
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(4096):
            came += chunk
    return came


async def hold_a_stream(world: AgencyWorld, node: NodeHandle) -> None:
    """Have a stream that is longer than the grace, and don't read it."""
    world.replicas['engine-1'].events = round(LONG_S / EVENT_S)
    reader, writer = await connect(node)
    writer.write(whole('held', LONG_MS, STREAM))
    await reader.read(1)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await node.process.wait()
    writer.transport.abort()


async def read_a_stream(world: AgencyWorld, node: NodeHandle) -> None:
    """Read a stream that is longer than the grace."""
    world.replicas['engine-1'].events = round(LONG_S / EVENT_S)
    reader, writer = await connect(node)
    writer.write(whole('read', LONG_MS, STREAM))
    await read_all(reader)
    writer.transport.abort()


async def wait_for_an_answer(world: AgencyWorld, node: NodeHandle) -> None:
    """Wait for a stream whose target does not begin."""
    world.replicas['engine-1'].models = {}
    reader, writer = await connect(node)
    writer.write(whole('waits', LONG_MS, STREAM))
    await read_all(reader)
    writer.transport.abort()


async def send_slowly(world: AgencyWorld, node: NodeHandle) -> None:
    """Send a body in pieces that go on for longer than the grace."""
    _, writer = await connect(node)
    writer.write(head('slow', 60000, LONG_MS))
    while node.process.is_running():
        writer.write(b'x')
        await asyncio.sleep(0.05)
    writer.transport.abort()


async def keep_asking(world: AgencyWorld, node: NodeHandle) -> None:
    """Ask all the time, on new and on kept connections."""
    await gather_crowd(world, node)


async def signal_again(world: AgencyWorld, node: NodeHandle) -> None:
    """Send SIGHUP and SIGTERM, and change the configuration, meanwhile."""
    stream = asyncio.create_task(read_a_stream(world, node))
    await until(lambda: bool(node.events('node_stopping')))
    node.process.child.send_signal(signal.SIGHUP)
    world.configure(open_state(3))
    await asyncio.sleep(GRACE_S / 3)
    node.process.terminate()
    await stream


async def hold_a_peer_conn(world: AgencyWorld, node: NodeHandle) -> None:
    """Begin a request to each other address of the node, and stay."""
    addresses = (node.directory, node.ready, node.metrics, node.peer)
    conns = []
    for address in addresses:
        host, _, port = address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /peer/Beat HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1'
        )
        conns.append(writer)
    await node.process.wait()
    for writer in conns:
        writer.transport.abort()


# Guards against a node that waits for its callers without a limit when its
# grace is over, until it is killed with all that it has.
@pytest.mark.parametrize(
    'trouble',
    [
        hold_a_stream,
        read_a_stream,
        wait_for_an_answer,
        send_slowly,
        keep_asking,
        signal_again,
        hold_a_peer_conn,
    ],
)
async def test_a_node_is_gone_within_its_grace(
    world: AgencyWorld, trouble: Trouble
) -> None:
    node, _ = await open_nodes(world, 2)
    task = asyncio.create_task(trouble(world, node))
    await asyncio.sleep(0.3)
    assert await node.stop(), 'killed when the grace was over'
    assert node.events('node_stopped')
    assert not node.events('node_overdue')
    assert await node.process.wait() == 0
    await task


async def test_a_node_that_has_just_started_is_gone_within_its_grace(
    world: AgencyWorld,
) -> None:
    node = await world.add_node('node-1')
    task = asyncio.create_task(keep_asking(world, node))
    assert await node.stop()
    assert await node.process.wait() == 0
    await task


# Guards against requests that a stopping node takes by an estimate of their
# length, and cuts at its end.
async def test_no_request_that_came_after_sigterm_is_cut(
    world: AgencyWorld,
) -> None:
    node, _ = await open_nodes(world, 2)
    await stop_under_load([node], world)


# Guards against the same where the holder and another node stop at once.
async def test_no_request_is_cut_where_several_nodes_stop_at_once(
    world: AgencyWorld,
) -> None:
    nodes = await open_nodes(world, 3)
    holder = holder_of(*nodes)
    other = next(node for node in nodes if node is not holder)
    await stop_under_load([holder, other], world)


# Guards against the same on a VM that is busy.
async def test_no_request_is_cut_on_a_busy_vm(world: AgencyWorld) -> None:
    node, _ = await open_nodes(world, 2)
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(BUSY):
            child = await asyncio.create_subprocess_exec(
                sys.executable, '-c', 'while True: pass'
            )
            stack.push_async_callback(child.wait)
            stack.callback(child.kill)
        await stop_under_load([node], world)


# Guards against a node that was paused when SIGTERM came and counted its grace
# from when it went on: it was killed with requests at work.
async def test_a_grace_counts_from_a_pause_in_which_sigterm_came(
    world: AgencyWorld,
) -> None:
    node, _ = await open_nodes(world, 2)
    world.replicas['engine-1'].events = 1000
    _, writer = await connect(node)
    writer.write(whole('endless', LONG_MS, STREAM))
    await until(lambda: 'endless' in world.replicas['engine-1'].runs)
    node.process.pause()
    node.process.terminate()
    await asyncio.sleep(GRACE_S / 2)
    node.process.resume()
    async with asyncio.timeout(GRACE_S / 2):
        await node.process.wait()
    assert node.events('node_stopped')
    writer.close()


async def reject_often(world: AgencyWorld) -> None:
    """Have targets reject requests for some moments, again and again."""
    while True:
        for replica in world.replicas.values():
            replica.pause_s = REJECTED_S - replica.pause_s
        await asyncio.sleep(REJECTED_S)


# Guards against requests that are lost while they sleep before a resend or
# wait for a target.
async def test_no_request_is_lost_that_waits_for_a_resend_at_a_stop(
    world: AgencyWorld,
) -> None:
    world.replicas['engine-1'].events = 2
    node, _ = await open_nodes(world, 2)
    task = asyncio.create_task(reject_often(world))
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(task.cancel)
        await stop_under_load([node], world)
    assert node.events('call_resent')


# Guards against requests that nobody counts while their body is read: they
# were neither answered nor closed at a node that stopped.
@pytest.mark.parametrize('is_ended', [True, False])
async def test_a_request_whose_body_is_read_at_a_stop_is_answered(
    world: AgencyWorld, is_ended: bool
) -> None:
    node, _ = await open_nodes(world, 2)
    reader, writer = await connect(node)
    writer.write(head('half', 2, LONG_MS))
    writer.write(b'{')
    await asyncio.sleep(0.2)
    stop = asyncio.create_task(node.stop())
    await until(lambda: bool(node.events('node_stopping')))
    if is_ended:
        writer.write(b'}')
    answer = await read_all(reader)
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Connection: close' in answer
    assert b'not-run' in answer
    assert await stop
    writer.close()


# Guards against callers that come back on a connection whose stream did not
# say that it closes.
async def test_streams_of_a_stopping_node_close_their_connections(
    world: AgencyWorld,
) -> None:
    node, _ = await open_nodes(world, 2)
    world.replicas['engine-1'].events = 20
    conns = [await connect(node), await connect(node)]
    conns[0][1].write(whole('before', LONG_MS, STREAM))
    await asyncio.sleep(0.2)
    stop = asyncio.create_task(node.stop())
    await until(lambda: bool(node.events('node_stopping')))
    conns[1][1].write(whole('after', 1500, STREAM))
    begun_s = time.monotonic()
    before, after = [await read_all(reader) for reader, _ in conns]
    assert time.monotonic() - begun_s < 1
    assert before.endswith(b'0\r\n\r\n')
    assert after.endswith(b'0\r\n\r\n')
    assert b'Connection: close' in after
    assert await stop
    for _, writer in conns:
        writer.close()


# Guards against a node that cuts at its end what it could still answer, and
# logs it like a caller that left.
async def test_what_a_node_cuts_at_its_end_is_named_and_is_no_crash(
    world: AgencyWorld,
) -> None:
    node, _ = await open_nodes(world, 2)
    engine = world.replicas['engine-1']
    engine.events = round(LONG_S / EVENT_S)
    reader, writer = await connect(node)
    writer.write(whole('cut', LONG_MS, STREAM))
    await until(lambda: 'cut' in engine.runs)
    assert await node.stop()
    answer = await read_all(reader)
    assert not answer.endswith(b'0\r\n\r\n')
    assert node.events('node_stopped')[0]['cut'] == 1
    abandoned = node.events('call_abandoned')
    assert [line['outcome'] for line in abandoned] == ['node_stopped']
    assert not node.events('target_end_seen')
    writer.close()


# Guards against a request at a target that gets no answer at all when its
# node ends, though it can be told that it may have run.
async def test_a_request_at_a_target_is_answered_when_its_node_ends(
    world: AgencyWorld,
) -> None:
    node, _ = await open_nodes(world, 2)
    ledger = world.replicas['ledger-1']
    ledger.first_s = LONG_S
    reader, writer = await connect(node)
    writer.write(whole('late', LONG_MS))
    await until(lambda: 'late' in ledger.runs)
    assert await node.stop()
    answer = await read_all(reader)
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'may-have-run' in answer
    writer.close()


# Guards against a node whose loop has long rounds as it closes: it read on for
# so long that neither requests at targets nor half bodies got an answer.
async def test_requests_are_answered_at_the_end_of_a_slow_stop(
    world: AgencyWorld,
) -> None:
    node = await world.add_node('node-1', module='tests.slow_closing_node')
    await until_served(world, node)
    world.replicas['ledger-1'].first_s = LONG_S
    conns = [await connect(node) for _ in range(2 * FEW)]
    for number, (_, writer) in enumerate(conns):
        sent = whole(f'late-{number}', LONG_MS)
        writer.write(sent if number % 2 else sent[:-1])
    ledger = world.replicas['ledger-1']
    await until(lambda: sum('late' in one for one in ledger.runs) == FEW)
    _, *answers = await asyncio.gather(
        node.stop(), *(read_all(reader) for reader, _ in conns)
    )
    statuses = Counter(answer[:STATUS_END] for answer in answers)
    assert statuses == {b'HTTP/1.1 502': FEW, b'HTTP/1.1 503': FEW}


async def test_a_node_that_will_be_killed_says_so(world: AgencyWorld) -> None:
    node, _ = await open_nodes(world, 2)
    node.process.terminate()
    await until(lambda: bool(node.events('node_stopping')))
    node.process.pause()
    await asyncio.sleep(GRACE_S)
    node.process.resume()
    await until(lambda: bool(node.events('node_overdue')))


# Guards against an answer that is lost when a connection is closed while
# bytes of its request are still unread.
async def test_an_early_answer_arrives_though_its_caller_still_sends(
    world: AgencyWorld,
) -> None:
    node, _ = await open_nodes(world, 2)
    reader, writer = await connect(node)
    gone = head('gone', 60000, LONG_MS).replace(b'/look/a', b'/none/a')
    stop = asyncio.create_task(node.stop())
    await until(lambda: bool(node.events('node_stopping')))
    writer.write(gone)
    for _ in range(60):
        writer.write(b'x' * 1000)
        await asyncio.sleep(0.01)
    answer = await read_all(reader)
    assert answer.startswith(b'HTTP/1.1 404')
    assert answer.endswith(b'}}')
    assert await stop
    writer.close()
