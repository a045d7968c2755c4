"""Streams that callers resume with a request of their own, at any node."""

import base64
import json
import types
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from standins.agency.replica import EVENTS
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import holder_of, until, until_served
from tests.test_node_stream_versions import (
    NEW,
    OLD,
    PIECE,
    open_fleet,
    ran,
    read_pieces,
)

STREAMS_TABLE = 'mimosaworks-streams'
RELEASE = types.MappingProxyType({
    'engine-1': OLD,
    'engine-2': NEW,
    'engine-3': OLD,
    'engine-4': NEW,
})
EVENT_S = 0.3
PROMPT_S = 0.5
TAKEN_UP = types.MappingProxyType({'Last-Event-Id': '2', 'Resumes': 'begun'})


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def begin(world: AgencyWorld, node: NodeHandle) -> None:
    """Begin the stream 'begun' and leave it once it has an event."""
    for replica in world.replicas.values():
        replica.event_s = EVENT_S
    received = bytearray()
    async with world.request(
        node, '/draft/x', 'begun', X_Model='alpha', X_Token_Counts='1000,20'
    ) as resp:
        async for chunk in resp.content.iter_any():
            received.extend(chunk)
            if PIECE in received:
                break
        resp.close()
    for replica in world.replicas.values():
        replica.event_s = 0


async def take_up(
    world: AgencyWorld, node: NodeHandle, request_id: str = 'taken-up'
) -> tuple[int, int]:
    return await read_pieces(world, node, request_id, **TAKEN_UP)


def lines_of(
    node: NodeHandle, event: str, request_id: str
) -> list[dict[str, Any]]:
    """Return the log lines of an event of one request."""
    return [
        line for line in node.events(event) if line['request_id'] == request_id
    ]


def stored_streams(world: AgencyWorld) -> list[str]:
    """Return the ids of the streams whose beginnings are stored."""
    return [
        stream[0]
        for key, (_, content) in world.store.rows.items()
        if key[0] == STREAMS_TABLE
        for stream in json.loads(base64.b64decode(content))
    ]


def forget_streams(world: AgencyWorld) -> None:
    for key in tuple(world.store.rows):
        if key[0] == STREAMS_TABLE:
            world.store.rows.pop(key)


async def restart_all(world: AgencyWorld) -> list[NodeHandle]:
    """End all nodes at once with SIGKILL and start them again."""
    old = tuple(world.nodes)
    world.nodes.clear()
    for ended in old:
        await ended.process.kill()
    for number, ended in enumerate(old):
        node = await world.add_node(f'again-{number}', ended.boot)
        await until_served(world, node)
    return world.nodes


def retire(world: AgencyWorld, name: str) -> None:
    """Take a target out of service."""
    world.replicas[name].state = 'draining'
    world.replicas[name].register(world.store)


# Guards against a stream that its caller resumes at another software version,
# at the node that began it, at another one, or after a loss of nodes.
@pytest.mark.parametrize('loss', ['none', 'other node', 'holder', 'all nodes'])
async def test_a_caller_resumes_a_stream_at_its_version(
    world: AgencyWorld, loss: str
) -> None:
    nodes = await open_fleet(world, RELEASE, nodes=2)
    begun_at = nodes[0] if holder_of(*nodes) is nodes[1] else nodes[1]
    await begin(world, begun_at)
    await until(lambda: 'begun' in stored_streams(world))
    asked = begun_at
    if loss == 'other node':
        asked = holder_of(*nodes)
    if loss == 'holder':
        forget_streams(world)
        await holder_of(*nodes).process.kill()
    if loss == 'all nodes':
        asked = (await restart_all(world))[1]
    retire(world, 'engine-1')
    await until(
        lambda: any(
            line['target'] == 'engine-1'
            for node in world.nodes
            for line in node.events('target_changed')
            + node.events('target_appeared')
            if line['state'] == 'draining'
        )
    )
    status, pieces = await take_up(world, asked)
    assert (status, pieces) == (200, EVENTS - 2)
    assert ran(world, 'taken-up') == ['engine-3']


# Guards against a guess where nothing is known: a stream that was not stored
# before all nodes ended, one that no request began, one without a name.
@pytest.mark.parametrize('unknown', ['forgotten', 'never begun', 'unnamed'])
async def test_a_stream_of_which_nothing_is_known_is_refused_as_not_run(
    world: AgencyWorld, unknown: str
) -> None:
    nodes = await open_fleet(world, {'engine-1': OLD})
    if unknown == 'forgotten':
        await begin(world, nodes[0])
        await until(lambda: 'begun' in stored_streams(world))
        await nodes[0].process.kill()
        forget_streams(world)
        nodes = await restart_all(world)
    resumption = dict(TAKEN_UP)
    if unknown == 'unnamed':
        resumption.pop('Resumes')
    async with world.request(
        nodes[0],
        '/draft/x',
        'taken-up',
        X_Model='alpha',
        X_Token_Counts='1000,20',
        **resumption,
    ) as resp:
        assert resp.status == 503
        assert resp.headers['Mimosa-Run'] == 'not-run'
        assert float(resp.headers['Retry-After']) > 0
    assert not ran(world, 'taken-up')
    # Another stream is served meanwhile.
    assert await read_pieces(world, nodes[0], 'new') == (200, EVENTS)


# Guards against a caller that is held, or resumed elsewhere, when the last
# target of its stream's version has left.
async def test_a_stream_whose_version_has_left_is_refused_at_once(
    world: AgencyWorld,
) -> None:
    nodes = await open_fleet(world, {'engine-1': OLD, 'engine-2': NEW})
    await begin(world, nodes[0])
    retire(world, 'engine-1')
    await until(lambda: bool(nodes[0].events('target_changed')))
    status, pieces = await take_up(world, nodes[0])
    assert (status, pieces) == (503, 0)
    assert not ran(world, 'taken-up')
    await until(lambda: bool(lines_of(nodes[0], 'call_refused', 'taken-up')))
    refused = lines_of(nodes[0], 'call_refused', 'taken-up')[0]
    assert refused['reason'] == 'no target in service'
    admitted = lines_of(nodes[0], 'call_admitted', 'taken-up')[0]
    assert refused['t'] < admitted['t'] + PROMPT_S


# Guards against streams that are forgotten with a store that returns from an
# older copy: the holder stores them again.
async def test_streams_are_stored_again_after_the_store_returned(
    world: AgencyWorld,
) -> None:
    nodes = await open_fleet(world, {'engine-1': OLD, 'engine-2': NEW})
    older = world.store.copy()
    await begin(world, nodes[0])
    await until(lambda: 'begun' in stored_streams(world))
    world.store.return_from(older)
    assert not stored_streams(world)
    await until(lambda: 'begun' in stored_streams(world))
    nodes = await restart_all(world)
    assert (await take_up(world, nodes[0]))[0] == 200
    assert ran(world, 'taken-up') == ['engine-1']


# Guards against streams that are lost while the store refuses for a time.
async def test_streams_that_began_in_an_outage_are_stored_after_it(
    world: AgencyWorld,
) -> None:
    nodes = await open_fleet(world, {'engine-1': OLD, 'engine-2': NEW})
    world.faults.outage = True
    await begin(world, nodes[0])
    await until(lambda: bool(nodes[0].events('streams_unsaved')))
    assert (await take_up(world, nodes[0]))[0] == 200
    world.faults.outage = False
    await until(lambda: 'begun' in stored_streams(world))
