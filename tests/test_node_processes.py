"""Real entry nodes on a stand-in of the agency's platform."""

import asyncio
import functools
import itertools
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from standins.agency.world import (
    OTHER_KEY,
    AgencyWorld,
    NodeHandle,
    desired,
    open_agency,
)

PATIENCE_S = 10.0
TOKENS = '1000,20'
LONG_LOAD_S = 2.5  # longer than the grace of a node that stops


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def until(holds: Callable[[], bool]) -> None:
    end_s = time.monotonic() + PATIENCE_S
    while not holds():
        assert time.monotonic() < end_s, 'not in time'
        await asyncio.sleep(0.02)


async def until_served(world: AgencyWorld, node: NodeHandle) -> None:
    end_s = time.monotonic() + PATIENCE_S
    number = 0
    while True:
        number += 1
        async with world.request(node, '/look/x', f'warm-{number}') as resp:
            if resp.status == 200:
                return
        assert time.monotonic() < end_s, 'never served'
        await asyncio.sleep(0.05)


async def open_pair(
    world: AgencyWorld, **engine: Any
) -> tuple[NodeHandle, NodeHandle]:
    """Start two nodes, a ledger and two engines; wait until all is known."""
    await world.add_replica('ledger-1', service='ledger', slots=6)
    await world.add_replica('engine-1', models={'alpha': set()}, **engine)
    await world.add_replica('engine-2', models={'beta': set()}, **engine)
    first = await world.add_node('node-1')
    second = await world.add_node('node-2')
    await until_served(world, first)
    await until_served(world, second)
    return first, second


async def read_stream(
    world: AgencyWorld, node: NodeHandle, path: str, request_id: str, model: str
) -> tuple[int, bytes]:
    async with world.request(
        node, path, request_id, X_Model=model, X_Token_Counts=TOKENS
    ) as resp:
        return resp.status, await resp.read()


async def ask_until_it_waits(
    world: AgencyWorld, node: NodeHandle
) -> 'asyncio.Task[tuple[int, bytes]]':
    """Ask for a model that lies nowhere, until a request waits for its load.

    Requests are refused while another load takes the place.
    """
    end_s = time.monotonic() + PATIENCE_S
    for number in itertools.count():
        assert time.monotonic() < end_s, 'not in time'
        asked = asyncio.create_task(
            read_stream(world, node, '/draft/a', f'waits-{number}', 'gamma')
        )
        await asyncio.wait({asked}, timeout=0.5)
        if not asked.done():
            break
    return asked


def has_applied_two(node: NodeHandle) -> bool:
    return len(node.events('deployment_applied')) > 1


def holder_of(*nodes: NodeHandle) -> NodeHandle:
    taken = [
        (line['t'], place)
        for place, node in enumerate(nodes)
        for line in node.events('lease_taken')
    ]
    return nodes[max(taken)[1]]


async def test_a_loaded_model_answers_with_the_targets_own_bytes(
    world: AgencyWorld,
) -> None:
    first, second = await open_pair(world)
    for node in (first, second):
        request_id = f'r-{node.front}'
        status, body = await read_stream(
            world, node, '/chat/a', request_id, 'alpha'
        )
        assert status == 200
        assert body.count(b'data: piece') == 5
    headers = world.replicas['engine-1'].headers[-1]
    assert headers['X-Tenant'] == 'agency'
    assert headers['X-Expect-Instance'] == 'engine-1'
    assert 'Authorization' not in headers


async def test_a_model_on_no_target_is_loaded_for_its_request(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    status, _ = await read_stream(world, first, '/draft/a', 'cold', 'gamma')
    assert status == 200
    assert not sum(one.overloads for one in world.replicas.values())


async def test_an_adapter_is_loaded_beside_its_model(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    for number in range(1, 4):
        status, _ = await read_stream(
            world, first, '/chat/a', f'a{number}', f'alpha/a{number}'
        )
        assert status == 200
    held = world.replicas['engine-1'].models['alpha']
    assert len(held) <= 2


async def test_another_node_takes_over_when_the_holder_is_killed(
    world: AgencyWorld,
) -> None:
    pair = await open_pair(world)
    old = holder_of(*pair)
    other = pair[1] if old is pair[0] else pair[0]
    await old.process.kill()
    status, _ = await read_stream(world, other, '/draft/a', 'after', 'delta')
    assert status == 200
    await until(lambda: bool(other.events('lease_taken')))


async def test_a_planned_stop_of_the_holder_cuts_no_waiting_request(
    world: AgencyWorld,
) -> None:
    pair = await open_pair(world)
    holder = holder_of(*pair)
    for replica in world.replicas.values():
        replica.load_s = 0.5
    asked = asyncio.create_task(
        read_stream(world, holder, '/draft/a', 'waiting', 'gamma')
    )
    await until(lambda: bool(holder.events('call_queued')))
    holder.process.terminate()
    status, _ = await asked
    assert status in {200, 503}
    assert await holder.process.wait() == 0


async def test_a_holder_that_stops_decides_on_while_the_store_is_down(
    world: AgencyWorld,
) -> None:
    # No other node can be elected meanwhile.
    pair = await open_pair(world)
    holder = holder_of(*pair)
    other = pair[1] if holder is pair[0] else pair[0]
    world.faults.outage = True
    holder.process.terminate()
    await until(lambda: bool(holder.events('node_stopping')))
    status, _ = await read_stream(world, other, '/draft/a', 'cold', 'gamma')
    assert status == 200
    assert not holder.events('lease_lost')


async def test_sighup_reads_the_settings_and_goes_on(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    first.process.child.send_signal(1)
    await until(lambda: bool(first.events('settings_read')))
    await until_served(world, first)
    assert first.process.is_running()


async def test_a_broken_stream_goes_on_at_another_target(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    world.replicas['engine-2'].models['alpha'] = set()
    world.replicas['engine-1'].breaks_after = 2
    status, body = await read_stream(
        world, first, '/draft/a', 'broken', 'alpha'
    )
    assert status == 200
    pieces = [line for line in body.split(b'\n') if line.startswith(b'id: ')]
    assert pieces == [b'id: %d' % number for number in range(1, 6)]


async def test_a_stream_that_may_not_be_resumed_looks_incomplete(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    world.replicas['engine-1'].breaks_after = 2
    with pytest.raises(aiohttp.ClientError):
        await read_stream(world, first, '/chat/a', 'cut', 'alpha')
    await until(lambda: bool(first.events('call_broken')))


async def test_a_caller_that_leaves_is_cancelled_at_the_target(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    engine = world.replicas['engine-1']
    engine.event_s = 5.0
    async with world.request(
        first, '/chat/a', 'left', X_Model='alpha', X_Token_Counts=TOKENS
    ) as resp:
        await resp.content.readany()
        resp.close()
    await until(lambda: 'left' in engine.cancelled)


async def test_a_workspace_gets_its_burst_over_all_nodes(
    world: AgencyWorld,
) -> None:
    pair = await open_pair(world)
    statuses = []
    for number in range(6):
        node = pair[number % 2]
        async with world.request(
            node,
            '/chat/a',
            f'limit-{number}',
            X_Model='alpha',
            X_Token_Counts='480,20',
            Authorization=f'Bearer {OTHER_KEY}',
        ) as resp:
            statuses.append(resp.status)
            if resp.status == 429:
                assert float(resp.headers['Retry-After']) > 0
            await resp.read()
    assert statuses.count(200) == 3
    assert statuses.count(429) == 3


async def test_a_new_version_is_in_force_and_an_old_one_never_again(
    world: AgencyWorld,
) -> None:
    first, second = await open_pair(world)
    state = desired(2)
    state['routes'] = [one for one in state['routes'] if one['name'] != 'post']
    world.configure(state)
    for node in (first, second):
        await until(functools.partial(has_applied_two, node))
    world.configure(desired(1))
    await asyncio.sleep(0.3)
    for node in (first, second):
        async with world.request(node, '/post/x', 'gone') as resp:
            assert resp.status == 404


async def test_requests_go_on_while_the_store_is_down(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    world.faults.outage = True
    end_s = time.monotonic() + 3.0
    number = 0
    while time.monotonic() < end_s:
        number += 1
        status, _ = await read_stream(
            world, first, '/chat/a', f'down-{number}', 'alpha'
        )
        assert status == 200


async def test_a_draining_target_gets_nothing_new(world: AgencyWorld) -> None:
    first, _ = await open_pair(world)
    await world.add_replica('ledger-2', service='ledger', slots=6)
    leaving = world.replicas['ledger-1']
    leaving.state = 'draining'
    leaving.register(world.store)
    await asyncio.sleep(1.0)
    before = len(leaving.runs)
    for number in range(8):
        async with world.request(first, '/post/x', f'd-{number}') as resp:
            assert resp.status == 200
    assert len(leaving.runs) == before


async def test_a_stopping_node_refuses_what_it_could_not_end(
    world: AgencyWorld,
) -> None:
    # The node ends less than 2 s after SIGTERM; the stream's callers wait for
    # 4 s, those of the route for 2 s, however short they say that it is.
    first, _ = await open_pair(world)
    first.process.terminate()
    await until(lambda: bool(first.events('node_stopping')))
    for number, tokens in enumerate(('100,200', '1,1')):
        async with world.request(
            first,
            '/chat/a',
            f'long-{number}',
            X_Model='alpha',
            X_Token_Counts=tokens,
        ) as resp:
            assert resp.status == 503
            assert float(resp.headers['Retry-After']) < 1
    async with world.request(first, '/look/x', 'as-long') as resp:
        assert resp.status == 503
        assert resp.headers['Mimosa-Run'] == 'not-run'
    async with world.request(
        first, '/look/x', 'short', X_Deadline='500'
    ) as resp:
        assert resp.status == 200


# Callers lost their requests in a planned stop: those that waited for a load
# from the weight store were cut when the node ended.
async def test_a_stopping_node_answers_requests_that_wait_for_a_model(
    world: AgencyWorld,
) -> None:
    state = desired(2)
    for model in state['services'][0]['engine']['models']:
        model['load-time-s'] = LONG_LOAD_S
    world.configure(state)
    pair = await open_pair(world, on_disk=[], load_s=LONG_LOAD_S)
    holder = holder_of(*pair)
    node = pair[1] if holder is pair[0] else pair[0]
    asked = await ask_until_it_waits(world, node)
    await until(lambda: bool(holder.events('call_queued')))
    node.process.terminate()
    status, _ = await asked
    assert status == 503
    assert await node.process.wait() == 0


async def test_directory_and_readiness_follow_a_planned_stop(
    world: AgencyWorld,
) -> None:
    first, second = await open_pair(world)
    url = f'http://{second.directory}/v1/lookup'
    params = {'name': 'camp.example', 'region': 'r', 'zone': 'north'}
    both = {first.front, second.front}
    await until(
        lambda: len(holder_of(first, second).events('member_joined')) > 1
    )
    await asyncio.sleep(0.6)
    async with world.session.get(url, params=params) as resp:
        listed = await resp.json()
    assert set(listed['addresses']) == both
    first.process.terminate()
    await until(lambda: bool(first.events('node_stopping')))
    async with world.session.get(f'http://{first.ready}/v1/ready') as resp:
        assert resp.status == 503
    await asyncio.sleep(0.6)
    async with world.session.get(url, params=params) as resp:
        listed = await resp.json()
    assert listed['addresses'] == [second.front]


async def test_the_metrics_address_counts_answers_and_times(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    await read_stream(world, first, '/chat/a', 'm', 'alpha')
    async with world.session.get(f'http://{first.metrics}/metrics') as resp:
        page = await resp.text()
    assert 'mimosa_answers_total{service="engines",status="200"} 1.0' in page
    assert 'mimosa_first_seconds_bucket' in page


async def test_a_target_that_says_that_it_leaves_gets_no_more_requests(
    world: AgencyWorld,
) -> None:
    first, second = await open_pair(world)
    leaving = world.replicas['ledger-1']
    staying = await world.add_replica('ledger-2', service='ledger', slots=6)
    await asyncio.sleep(1)
    leaving.is_leaving = True
    for number in range(20):
        async with world.request(first, '/look/x', f'leave-{number}') as resp:
            assert resp.status == 200
    await until(lambda: bool(first.events('target_leaving')))
    before = len(leaving.runs)
    await asyncio.sleep(0.3)
    for number in range(20):
        node = (first, second)[number % 2]
        async with world.request(node, '/look/x', f'left-{number}') as resp:
            assert resp.status == 200
    assert len(leaving.runs) == before
    assert len(staying.runs) >= 20
    # Only a new birth ends it.
    leaving.restart()
    leaving.register(world.store)
    await asyncio.sleep(1.5)
    for number in range(20):
        async with world.request(first, '/look/x', f'back-{number}') as resp:
            assert resp.status == 200
    assert len(leaving.runs) > before


async def test_a_target_that_wants_a_pause_is_left_alone_for_so_long(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    ledger = world.replicas['ledger-1']
    ledger.pause_s = 2
    async with world.request(first, '/post/x', 'paused-1') as resp:
        assert resp.status == 503
        assert 1 < float(resp.headers['Retry-After']) <= 2
    ledger.pause_s = 0
    arrived = len(ledger.arrivals)
    async with world.request(first, '/post/x', 'paused-2') as resp:
        assert resp.status == 503
    assert len(ledger.arrivals) == arrived
    await asyncio.sleep(2)
    async with world.request(first, '/post/x', 'paused-3') as resp:
        assert resp.status == 200
