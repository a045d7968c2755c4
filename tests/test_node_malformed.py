"""Malformed messages, rows, answers and requests at a real node."""

import asyncio
import base64
import json
import random
import types
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from mimosaworks.node.election import LEASE_ROW, LEASE_S
from mimosaworks.wire import (
    Beat,
    CallAsk,
    LeaseNotice,
    NodeRow,
    TargetLeaving,
    encode,
)
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import until, until_served

SEED = 31
MESSAGES = 300
LEAVING = 900  # so that a message has several segments
MESSAGE_KINDS = (Beat, CallAsk, LeaseNotice)


DEEP = 2000  # more than a decoder that calls itself can follow
LAPSE_S = 1.2  # some beats, and reads of the store
SOUND_ENTRY = types.MappingProxyType({
    'service': 'ledger',
    'address': '127.0.0.1:9',
    'zone': 'north',
    'slots': 1,
    'state': 'draining',
    'born': 1,
})
READY_ENGINE = types.MappingProxyType({
    'service': 'engines',
    'state': 'ready',
})
ODD_ENTRIES: tuple[dict[str, Any], ...] = (
    {'slots': -1},
    {'slots': 10**12},
    {'born': -1},
    {'born': 10**30},
    {'cold-left-ms': 10**400},
    {'address': '127.0.0.1:99999', **READY_ENGINE},
    {'address': '127.0.0.1:\u00b2', **READY_ENGINE},
    {'zone': '\ud800'},
    {'service': '\ud800'},
    {'models': [{'name': '\ud800', 'adapters': []}]},
    {'models': [{'name': 'alpha', 'adapters': ['\ud800']}]},
    {'models': {}},
    {'at-hand': {'on-disk': [1]}},
    {'state': []},
    {'address': '127.0.0.1:0'},
    {'address': 'a b/\0:1'},
    {'address': '[::1:1'},
)
ODD_LEASES = (
    b'{"holder": "later"}',
    b'{"holder": 1, "address": [], "nonce": null, "fence": 1e999}',
    b'{"holder": "h", "address": "a", "nonce": "n", "fence": -1}',
)
ODD_CONTENTS = (
    b'[' * DEEP,
    b'{"models":' * DEEP,
    b'',
    b'\0',
    b'\xff\xfe\xff',
    b'null',
    b'9' * 5000,
)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """Two nodes with a plain target."""
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-1', service='ledger')
        for name in ('node-1', 'node-2'):
            await until_served(opened, await opened.add_node(name))
        yield opened


def large_beat() -> bytes:
    row = NodeRow('node-9', '127.0.0.1:9', '127.0.0.1:8', 'north')
    leaving = (TargetLeaving(f't-{number}', 1) for number in range(LEAVING))
    return encode(Beat(row=row, fence=1, leaving=tuple(leaving)))


def broken_messages(rng: random.Random) -> list[bytes]:
    """Return random bytes, and a message cut short or with bytes changed."""
    sound = large_beat()
    broken = [rng.randbytes(rng.randrange(1, 64)) for _ in range(MESSAGES)]
    broken.extend(sound[: rng.randrange(len(sound))] for _ in range(MESSAGES))
    for _ in range(MESSAGES):
        changed = bytearray(sound)
        for _ in range(rng.randrange(1, 5)):
            changed[rng.randrange(len(sound))] = rng.randrange(256)
        broken.append(bytes(changed))
    return broken


async def tell_peer(
    world: AgencyWorld, node: NodeHandle, kind: type, raw: bytes
) -> int:
    port = node.boot['internal-ports'][0]
    url = f'http://{node.boot["ip"]}:{port}/peer/{kind.__name__}'
    async with world.session.post(url, data=raw) as resp:
        return int(resp.status)


def put_row(world: AgencyWorld, table: str, key: str, content: bytes) -> None:
    packed = base64.b64encode(content).decode()
    row = {'table': table, 'key': key, 'value': packed}
    world.store.commit({'put': [row]})


def lost_s(node: NodeHandle) -> float:
    """Return when a node has lost a holder or the store last."""
    return max(
        (line['t'] for line in node.events('dependency_lost')), default=0
    )


def hears_holder(node: NodeHandle) -> bool:
    """Return whether a node has lost nothing that it has not heard again."""
    regained = node.events('dependency_regained')
    return bool(regained) and regained[-1]['t'] >= lost_s(node)


async def check_serves(world: AgencyWorld) -> None:
    """Check that all nodes serve and still hear the holder."""
    await asyncio.sleep(LAPSE_S)
    for node in world.nodes:
        await until_served(world, node)
        assert node.process.is_running()
        assert not node.events('node_stopping')
        assert 'never retrieved' not in node.process.read_log()
    # Nodes serve by themselves until there is a holder again.
    await until(lambda: all(map(hears_holder, world.nodes)))


# Guards against a malformed message of a peer that ends the node's process.
async def test_malformed_messages_of_peers_are_refused(
    world: AgencyWorld,
) -> None:
    rng = random.Random(SEED)  # noqa: S311 -- no secrets
    for raw in broken_messages(rng):
        node = rng.choice(world.nodes)
        status = await tell_peer(world, node, rng.choice(MESSAGE_KINDS), raw)
        assert status in (200, 400, 409)
    await check_serves(world)


# Guards against an entry of another writer that ends the nodes that read it, or
# that no node can pass on to the others.
async def test_malformed_entries_name_no_target(world: AgencyWorld) -> None:
    contents = [
        json.dumps({**SOUND_ENTRY, **odd}).encode() for odd in ODD_ENTRIES
    ]
    for number, content in enumerate([*contents, *ODD_CONTENTS]):
        put_row(world, 'servers', f'odd-{number}', content)
    await check_serves(world)
    assert not any(node.events('dependency_lost') for node in world.nodes)
    appeared = {
        line['target']
        for node in world.nodes
        for line in node.events('target_appeared')
    }
    assert appeared == {'ledger-1'}


# Guards against a lease that can't be read and that ends all nodes.
async def test_a_malformed_lease_is_taken_over(world: AgencyWorld) -> None:
    for content in (*ODD_CONTENTS, *ODD_LEASES):
        put_row(world, LEASE_ROW.table, LEASE_ROW.key, content)
        await asyncio.sleep(LEASE_S / 2)
    written = world.store.version
    await check_serves(world)
    taken = [
        line['row']
        for node in world.nodes
        for line in node.events('lease_taken')
    ]
    assert max(taken) > written
