"""Malformed messages, rows, answers and requests at a real node."""

import random
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from mimosaworks.wire import (
    Beat,
    CallAsk,
    LeaseNotice,
    NodeRow,
    TargetLeaving,
    encode,
)
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import until_served

SEED = 31
MESSAGES = 300
LEAVING = 900  # so that a message has several segments
MESSAGE_KINDS = (Beat, CallAsk, LeaseNotice)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """A node with a plain target."""
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-1', service='ledger')
        await until_served(opened, await opened.add_node('node-1'))
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


async def check_serves(world: AgencyWorld, node: NodeHandle) -> None:
    await until_served(world, node)
    assert node.process.is_running()
    assert 'Traceback' not in node.process.read_log()


# Guards against a malformed message of a peer that ends the node's process.
async def test_malformed_messages_of_peers_are_refused(
    world: AgencyWorld,
) -> None:
    node = world.nodes[0]
    rng = random.Random(SEED)  # noqa: S311 -- no secrets
    for raw in broken_messages(rng):
        status = await tell_peer(world, node, rng.choice(MESSAGE_KINDS), raw)
        assert status in (200, 400, 409)
    await check_serves(world, node)
