"""Requests that share a part of their prompts which crashes targets."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import attrs
import pytest

from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import holder_of, until, until_served

ENGINES = 4
NODE_NAMES = ('node-0', 'node-1', 'node-2')
CONTACT_S = 3.0  # the bound in the nodes' settings
MAX_LATE = 3
WATCHED_S = 8.0
# Also those that ran beside a crash, or while their targets were down.
MIN_SERVED_SHARE = 0.5
FIRST_PART = 'aa'
DEADLY = 'dead'
DEADLY_SHARE = 0.3
SOUND_PARTS = ('ba', 'bb', 'bc', 'bd', 'be', 'bf')


@attrs.define(eq=False)
class Traffic:
    """What callers of sound requests with the same first part got."""

    world: AgencyWorld
    rng: random.Random
    served: list[tuple[float, bool]] = attrs.field(factory=list)

    def served_share(self, since_s: float) -> float:
        """Return the share of sound requests that were served since a time."""
        found = [is_served for at_s, is_served in self.served if at_s > since_s]
        assert found
        return sum(found) / len(found)

    async def send(self, caller: int) -> None:
        """Send requests of which no two are alike, one after the other."""
        for number in itertools.count():
            if self.world.nodes:
                node = self.rng.choice(self.world.nodes)
                request_id = f'{caller}-{number}'
                await self._send(node, request_id)
            await asyncio.sleep(0.05)

    async def _send(self, node: NodeHandle, request_id: str) -> None:
        middle = self.rng.choice(SOUND_PARTS)
        if self.rng.random() < DEADLY_SHARE:
            middle = DEADLY
        shared = (FIRST_PART, middle, request_id)
        began_s = time.monotonic()
        is_served = False
        with contextlib.suppress(aiohttp.ClientError):
            async with self.world.request(
                node,
                '/draft/x',
                request_id,
                request_id.encode(),
                X_Model='alpha',
                X_Token_Counts='300,20',
                X_Prompt_Prefix=','.join(f'{part}:50' for part in shared),
            ) as resp:
                await resp.read()
                is_served = resp.status == 200
        if middle != DEADLY:
            self.served.append((began_s, is_served))


@pytest.fixture
async def traffic(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_agency(tmp_path) as world:
        for number in range(ENGINES):
            await world.add_replica(
                f'engine-{number}',
                models={'alpha': set()},
                deadly_parts=frozenset((DEADLY,)),
            )
        await world.add_replica('ledger', service='ledger')
        await asyncio.gather(*map(world.add_node, NODE_NAMES))
        for node in world.nodes:
            await until_served(world, node)
        sent = Traffic(world, random.Random(37))  # noqa: S311
        tasks = [asyncio.create_task(sent.send(caller)) for caller in range(6)]
        yield sent
        for task in tasks:
            task.cancel()


async def lose(world: AgencyWorld, *nodes: NodeHandle) -> None:
    """Kill nodes at once and start them again."""
    for killed in nodes:
        world.nodes.remove(killed)
        await killed.process.kill()
    starts = (world.add_node(old.process.name, old.boot) for old in nodes)
    await asyncio.gather(*starts)


async def check_bounds(traffic: Traffic) -> None:
    """Check what reaches targets, and who is served, after five crashes.

    All nodes run from now on; they are watched for some seconds at least.
    """
    crashed_s = traffic.world.crashed_s
    fifth_s = crashed_s[4] if len(crashed_s) > 4 else crashed_s[-1]
    await asyncio.sleep(WATCHED_S)
    late = [at_s - fifth_s for at_s in crashed_s if at_s > fifth_s + CONTACT_S]
    assert len(late) <= MAX_LATE, late
    assert traffic.served_share(fifth_s + 2 * CONTACT_S) >= MIN_SERVED_SHARE


# Guards against a part of prompts that crashes one target after the other, as
# no two requests with it are alike.
async def test_a_deadly_part_reaches_few_targets(traffic: Traffic) -> None:
    await until(lambda: len(traffic.world.crashed_s) >= 3)
    await asyncio.sleep(CONTACT_S)
    await check_bounds(traffic)


# Guards against crashes under a part that the next holder, or nodes that start
# again, count anew.
@pytest.mark.parametrize('share', ['holder', 'all'])
async def test_a_deadly_part_is_known_after_a_loss_of_nodes(
    traffic: Traffic, share: str
) -> None:
    world = traffic.world
    await until(lambda: len(world.crashed_s) >= 3)
    await asyncio.sleep(CONTACT_S)
    lost = world.nodes if share == 'all' else [holder_of(*world.nodes)]
    await lose(world, *lost)
    await check_bounds(traffic)
