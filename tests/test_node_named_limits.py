"""Targets that name a limit, at real nodes."""

import asyncio
import contextlib
import itertools
import time
import types
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from pathlib import Path

import aiohttp
import attrs
import pytest

from bench.soak_limits import CONTACT_S, exceeded
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_crashing_requests import restart
from tests.test_node_processes import holder_of, until, until_served

ANY_ADAPTER = 'alpha/*'
PAUSE_S = 0.08
RUN_S = 7.5
SOON_S = 0.2
ALPHA = types.MappingProxyType({
    'X_Model': 'alpha',
    'X_Token_Counts': '500,20',
})


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    """Three nodes, two ledgers and two engines with the same model.

    The first ones are nearer to the nodes.
    """
    async with open_agency(tmp_path) as opened:
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
class Load:
    """Sends requests to all nodes in turn, and counts the answers.

    slowest_refused_s is the longest time until a refusal.
    """

    world: AgencyWorld
    path: str
    extra: dict[str, str]
    statuses: Counter[int] = attrs.field(factory=Counter)
    slowest_refused_s: float = 0
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send a request each PAUSE_S."""
        for number in itertools.count():
            await asyncio.sleep(PAUSE_S)
            if self.world.nodes:
                task = asyncio.create_task(self._send(number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, number: int) -> None:
        node = self.world.nodes[number % len(self.world.nodes)]
        extra = dict(self.extra)
        if extra.get('X_Model') == ANY_ADAPTER:
            adapter = number % 3 + 1
            extra['X_Model'] = f'alpha/a{adapter}'
        name = f'load-{number}'
        begun_s = time.monotonic()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.world.request(
                node, self.path, name, **extra
            ) as resp:
                await resp.read()
                self.statuses[resp.status] += 1
                if resp.status == 503:
                    took_s = time.monotonic() - begun_s
                    self.slowest_refused_s = max(self.slowest_refused_s, took_s)


@contextlib.asynccontextmanager
async def loaded(
    world: AgencyWorld, path: str, **extra: str
) -> AsyncGenerator[Load, None]:
    load = Load(world, path, extra)
    task = asyncio.create_task(load.run())
    yield load
    task.cancel()


def in_excess(replica: Replica) -> list[str]:
    """Return what all nodes together sent a target beyond its limit.

    Counts all calls as soon as one node was told of the limit.
    """
    return list(exceeded(replica, time.monotonic(), lambda _: 'nodes'))


def assert_served(load: Load) -> None:
    assert load.statuses[200]
    assert load.statuses[200] >= 0.95 * load.statuses.total()


async def drain(world: AgencyWorld, name: str) -> None:
    world.replicas[name].state = 'draining'
    world.replicas[name].register(world.store)
    await asyncio.sleep(1)


def count_hits(replica: Replica, since_s: float) -> int:
    return sum(hit.at_s >= since_s for hit in replica.hits)


# Guards against a limit that reaches the callers and nobody else.
@pytest.mark.parametrize('path', ['/look/x', '/post/x', '/chat/x', '/draft/x'])
async def test_a_target_that_names_a_limit_gets_no_more(
    world: AgencyWorld, path: str
) -> None:
    is_plain = path in {'/look/x', '/post/x'}
    replica = world.replicas['ledger-0' if is_plain else 'engine-0']
    replica.limit = '1'
    async with loaded(world, path, **({} if is_plain else ALPHA)) as load:
        await asyncio.sleep(RUN_S)
        # The other target has room for all.
        assert_served(load)
    assert not in_excess(replica)


# Guards against a target that is left out once it has named a limit, and
# against callers who wait for it in vain.
async def test_a_lone_target_is_used_up_to_its_limit(
    world: AgencyWorld,
) -> None:
    replica = world.replicas['ledger-0']
    replica.limit = '2'
    await drain(world, 'ledger-1')
    async with loaded(world, '/look/x') as load:
        await until(lambda: bool(replica.named))
        begun_s = time.monotonic()
        await asyncio.sleep(RUN_S)
        assert load.slowest_refused_s < SOON_S
        assert set(load.statuses) == {200, 503}
    assert not in_excess(replica)
    assert count_hits(replica, begun_s) > 0.8 * 2 * RUN_S


# Guards against orders that a target with a limit gets beside its requests.
async def test_orders_count_against_a_limit(world: AgencyWorld) -> None:
    replica = world.replicas['engine-0']
    replica.limit = '2'
    await drain(world, 'engine-1')
    adapters = ALPHA | {'X_Model': ANY_ADAPTER}
    async with loaded(world, '/chat/x', **adapters) as load:
        await asyncio.sleep(RUN_S)
        assert load.statuses[200] > 2
    assert any(hit.sender for hit in replica.hits)
    assert not in_excess(replica)


# Guards against a limit that a new holder does not know, or whose burst it
# gives once more.
async def test_a_limit_holds_over_three_holders(world: AgencyWorld) -> None:
    replica = world.replicas['ledger-0']
    replica.limit = '1'
    async with loaded(world, '/look/x'):
        await asyncio.sleep(CONTACT_S)
        for _ in range(3):
            await restart(world, holder_of(*world.nodes))
            await asyncio.sleep(2)
    assert not in_excess(replica)


# Guards against nodes that hear no holder and each send what the limit allows.
async def test_a_limit_holds_for_nodes_that_decide_alone(
    world: AgencyWorld,
) -> None:
    replica = world.replicas['ledger-0']
    replica.limit = '2'
    async with loaded(world, '/look/x') as load:
        await asyncio.sleep(CONTACT_S)
        world.faults.is_silent = True
        await holder_of(*world.nodes).process.kill()
        await asyncio.sleep(RUN_S)
        world.faults.is_silent = False
        assert load.statuses[200]
    assert not in_excess(replica)


# Guards against a node that was paused with a decision in hand and sends as
# soon as it wakes.
async def test_a_limit_holds_for_nodes_that_were_paused(
    world: AgencyWorld,
) -> None:
    replica = world.replicas['ledger-0']
    replica.limit = '1'
    async with loaded(world, '/look/x'):
        await asyncio.sleep(CONTACT_S)
        for node in world.nodes * 2:
            node.process.pause()
            await asyncio.sleep(1.5)
            node.process.resume()
    assert not in_excess(replica)


# Guards against a limit that holds on after the target has ceased to name it,
# or that a target which is hardly used never lifts.
@pytest.mark.parametrize('limit', ['0', '0.2'])
async def test_a_limit_ends_when_answers_name_none(
    world: AgencyWorld, limit: str
) -> None:
    replica = world.replicas['ledger-0']
    replica.limit = limit
    async with loaded(world, '/look/x') as load:
        await until(lambda: bool(replica.named))
        await asyncio.sleep(CONTACT_S)
        replica.limit = ''
        await until(lambda: not replica.named[-1].limit)
        await drain(world, 'ledger-1')
        begun_s = time.monotonic()
        await asyncio.sleep(2)
        assert_served(load)
    # It takes all that comes.
    assert count_hits(replica, begun_s) > 0.8 * 2 / PAUSE_S


# Guards against a field that can't be read and ends a process, or lifts a
# limit that holds.
async def test_a_limit_that_can_not_be_read_changes_nothing(
    world: AgencyWorld,
) -> None:
    replica = world.replicas['ledger-0']
    replica.limit = '1'
    async with loaded(world, '/look/x') as load:
        await until(lambda: bool(replica.named))
        await asyncio.sleep(CONTACT_S)
        begun_s = time.monotonic()
        for sent in ('-1', 'nan', 'inf', 'few', '1_0', '9' * 8000, '1,1', ' '):
            replica.limit = sent
            await asyncio.sleep(0.5)
        assert_served(load)
    # It is asked rarely: some of these are in no answer.
    assert count_hits(replica, begun_s) <= 1.5 * 4 + 5
    assert all(node.process.is_running() for node in world.nodes)
    assert any(node.events('limit_ignored') for node in world.nodes)
