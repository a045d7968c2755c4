"""Nodes and targets that announce rate limits, for tests."""

import asyncio
import contextlib
import itertools
import time
import types
from collections import Counter
from collections.abc import AsyncGenerator
from pathlib import Path

import aiohttp
import attrs

from bench.soak_limits import exceeded
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import until_served

ANY_ALPHA_ADAPTER = 'alpha/*'
SEND_INTERVAL_S = 0.08
LOAD_DURATION_S = 7.5
MAX_REFUSAL_S = 0.2
ALPHA_HEADERS = types.MappingProxyType({
    'X_Model': 'alpha',
    'X_Token_Counts': '500,20',
})


@contextlib.asynccontextmanager
async def open_limited_world(folder: Path) -> AsyncGenerator[AgencyWorld, None]:
    """Open three nodes, two ledgers and two engines with the same model.

    The first ledger and engine are nearer to the nodes.
    """
    async with open_agency(folder) as opened:
        for number, place in enumerate(('north', 'south')):
            await opened.add_replica(
                f'ledger-{number}',
                service='ledger',
                slots=6,
                data_centre=place,
            )
            await opened.add_replica(
                f'engine-{number}',
                models={'alpha': set()},
                data_centre=place,
            )
        for number in range(3):
            await opened.add_node(f'node-{number}')
        for node in opened.nodes:
            await until_served(opened, node)
        yield opened


@attrs.define(eq=False)
class LoadGenerator:
    """Sends requests to all nodes in turn, and counts the answers.

    slowest_refusal_s is the longest time until a refusal.
    """

    world: AgencyWorld
    path: str
    headers: dict[str, str]
    statuses: Counter[int] = attrs.field(factory=Counter)
    slowest_refusal_s: float = 0
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send a request each SEND_INTERVAL_S."""
        for number in itertools.count():
            await asyncio.sleep(SEND_INTERVAL_S)
            if self.world.nodes:
                task = asyncio.create_task(self._send(number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, number: int) -> None:
        node = self.world.nodes[number % len(self.world.nodes)]
        headers = dict(self.headers)
        if headers.get('X_Model') == ANY_ALPHA_ADAPTER:
            adapter = number % 3 + 1
            headers['X_Model'] = f'alpha/a{adapter}'
        name = f'load-{number}'
        sent_s = time.monotonic()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.world.request(
                node, self.path, name, **headers
            ) as resp:
                await resp.read()
                self.statuses[resp.status] += 1
                if resp.status == 503:
                    duration_s = time.monotonic() - sent_s
                    self.slowest_refusal_s = max(
                        self.slowest_refusal_s, duration_s
                    )


@contextlib.asynccontextmanager
async def generate_load(
    world: AgencyWorld, path: str, **extra: str
) -> AsyncGenerator[LoadGenerator, None]:
    load = LoadGenerator(world, path, extra)
    task = asyncio.create_task(load.run())
    yield load
    task.cancel()


def find_limit_violations(replica: Replica) -> list[str]:
    """Return the violations of a target's rate limit by all nodes together.

    All calls count as soon as one node has received the rate limit.
    """
    return list(exceeded(replica, time.monotonic(), lambda _: 'nodes'))


def assert_mostly_served(load: LoadGenerator) -> None:
    assert load.statuses[200]
    assert load.statuses[200] >= 0.95 * load.statuses.total()


async def drain_target(world: AgencyWorld, name: str) -> None:
    world.replicas[name].state = 'draining'
    world.replicas[name].register(world.store)
    await asyncio.sleep(1)


def count_hits(replica: Replica, since_s: float) -> int:
    return sum(hit.at_s >= since_s for hit in replica.hits)
