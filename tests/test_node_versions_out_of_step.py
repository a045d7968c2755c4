"""Streams at targets that started again unseen, with another version."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.agency.replica import EVENTS
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.test_node_processes import holder_of, until, until_served
from tests.test_node_stream_versions import NEW, OLD, PIECE, ran

BEGUN = 2
EVENT_S = 0.1
# Lists of this age still hold: targets are back after some seconds.
FRESH_S = 1.4
DOWN_S = 1.5


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        await opened.add_replica('ledger-1', service='ledger', slots=6)
        yield opened


async def ask(
    world: AgencyWorld,
    node: NodeHandle,
    request_id: str,
    most: int = EVENTS,
    **extra: str,
) -> tuple[int, int]:
    """Return the status and the number of pieces; leave after the most."""
    received = bytearray()
    async with world.request(
        node,
        f'/draft/{request_id}',
        request_id,
        **{'X_Model': 'alpha', 'X_Token_Counts': '1000,20', **extra},
    ) as resp:
        async for chunk in resp.content.iter_any():
            received.extend(chunk)
            if received.count(PIECE) >= most:
                break
        resp.close()
        return resp.status, received.count(PIECE)


async def begin(
    world: AgencyWorld, node: NodeHandle, request_id: str, **extra: str
) -> None:
    """Begin a stream and leave it."""
    for replica in world.replicas.values():
        replica.event_s = EVENT_S
    assert await ask(world, node, request_id, BEGUN, **extra) == (200, BEGUN)
    for replica in world.replicas.values():
        replica.event_s = 0


async def take_up(
    world: AgencyWorld, node: NodeHandle, begun: str, number: int, **extra: str
) -> tuple[int, list[str]]:
    """Resume a stream; return the status and what ran it."""
    request_id = f'{begun}-{number}'
    resumption = {'Last-Event-Id': f'{BEGUN}', 'Resumes': begun}
    status, _ = await ask(world, node, request_id, **resumption, **extra)
    return status, ran(world, request_id)


async def start_anew(world: AgencyWorld, name: str, version: str) -> None:
    """Start a target again under its id, with models as a holder loads them."""
    replica = world.replicas[name]
    held = dict(replica.models)
    world.proxies[name].close()
    replica.restart()
    replica.models = held
    replica.version = version
    await asyncio.sleep(DOWN_S)
    await world.proxies[name].open()
    replica.register(world.store)


# Guards against a stream that is recorded at the version before, since its
# target started again and its entry was late: the holder had an order accepted
# (beta), or has read its report (alpha).
async def test_a_target_that_started_again_has_no_version_before_its_entry(
    world: AgencyWorld,
) -> None:
    engine = await world.add_replica(
        'engine-1', models={'alpha': set()}, version=OLD
    )
    nodes = [await world.add_node(f'node-{number}') for number in range(2)]
    for node in nodes:
        await until_served(world, node)
    await ask(world, nodes[0], 'before')
    world.proxies['engine-1'].close()
    engine.restart()
    engine.version = NEW
    await world.proxies['engine-1'].open()
    held: dict[str, set[str]] = {'beta': set(), 'alpha': set()}
    for model in held:
        await begin(world, nodes[0], f'begun-{model}', X_Model=model)
    world.proxies['engine-1'].close()
    await world.add_replica('engine-2', models=held, version=OLD)
    await asyncio.sleep(0.5)
    for model in held:
        begun = f'begun-{model}'
        assert await ask(world, nodes[1], model, X_Model=model) == (200, EVENTS)
        assert ran(world, model) == ['engine-2']
        for number, node in enumerate(nodes):
            taken_up = await take_up(world, node, begun, number, X_Model=model)
            assert taken_up == (503, [])
    await world.proxies['engine-1'].open()
    engine.register(world.store)
    world.replicas['engine-2'].state = 'draining'
    world.replicas['engine-2'].register(world.store)
    await asyncio.sleep(0.5)
    await begin(world, nodes[0], 'later')
    assert await take_up(world, nodes[1], 'later', 0) == (200, ['engine-1'])


# Guards against a node without holder and store that takes the versions in its
# old list for those that run, and against one that resumes nothing afterwards.
async def test_a_node_alone_knows_no_versions_by_an_old_list(
    world: AgencyWorld,
) -> None:
    await world.add_replica('engine-1', models={'alpha': set()}, version=OLD)
    holder = await world.add_node('holder')
    alone, path = await world.add_parted_node('alone')
    await until_served(world, alone)
    assert holder_of(holder, alone) is holder
    await begin(world, alone, 'begun')
    path.close()
    holder.process.pause()
    await start_anew(world, 'engine-1', NEW)
    # What begins there is served, and recorded at no version.
    await begin(world, alone, 'meanwhile')
    taken_up = await asyncio.gather(
        *(take_up(world, alone, 'begun', number) for number in range(3))
    )
    assert set(map(str, taken_up)) == {str((503, []))}
    await until(lambda: len(alone.events('call_decided_alone')) > len(taken_up))
    await path.open()
    holder.process.resume()
    await start_anew(world, 'engine-1', OLD)
    await asyncio.sleep(0.5)
    assert await take_up(world, alone, 'meanwhile', 0) == (503, [])
    assert await take_up(world, alone, 'begun', 3) == (200, ['engine-1'])


# Guards against a holder that believes after a standstill that the store still
# answers nobody, and decides on its old list before anything else.
async def test_a_holder_that_stood_still_decides_nothing_on_its_old_list(
    world: AgencyWorld,
) -> None:
    await world.add_replica('engine-1', models={'alpha': set()}, version=OLD)
    holder, path = await world.add_parted_node('holder')
    await until_served(world, holder)
    other = await world.add_node('other')
    await until_served(world, other)
    await begin(world, holder, 'begun')
    world.faults.outage = True
    await until(
        lambda: any(
            line['view_age_s'] > FRESH_S
            for line in holder.events('store_probed')
        )
    )
    assert await take_up(world, holder, 'begun', 0) == (200, ['engine-1'])
    holder.process.pause()
    path.close()
    world.faults.outage = False
    await until(lambda: bool(other.events('lease_taken')))
    await start_anew(world, 'engine-1', NEW)
    waiting = [
        asyncio.create_task(take_up(world, holder, 'begun', number))
        for number in range(1, 4)
    ]
    await asyncio.sleep(0.3)
    holder.process.resume()
    for taken_up in await asyncio.gather(*waiting):
        assert taken_up == (503, [])
