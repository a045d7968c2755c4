"""Tests of members with a real platform, peers and processes."""

import asyncio
import contextlib
import time
from collections.abc import AsyncGenerator

import pytest

from mimosaworks.entities import Change, Workspace
from mimosaworks.members import Acceptance, MemberState
from mimosaworks.members.barrier import LAPSE_S
from standins.addresses import reserve_address
from standins.node import Node
from tests.harness import Cluster, wait_until
from tests.member_node import MemberNode, open_member

CHANGE = (Change('workspace', 'w', Workspace('w', 1, 1)),)


@pytest.fixture
async def nodes(cluster: Cluster) -> AsyncGenerator[list[MemberNode], None]:
    """Five members that have joined."""
    async with contextlib.AsyncExitStack() as stack:
        url = cluster.platform.url
        started = await asyncio.gather(
            *(stack.enter_async_context(open_member(url)) for _ in range(5))
        )

        async def have_joined() -> bool:
            return all(node.service.is_fresh() for node in started)

        await wait_until(have_joined)
        yield list(started)


async def start_process(cluster: Cluster) -> Node:
    listen, peer = reserve_address(), reserve_address()
    url = cluster.platform.url
    process = await cluster.runner.start(
        'member',
        'tests.member_program',
        listen,
        f'--listen={listen}',
        f'--peer-address={peer}',
        f'--platform-url={url}',
    )
    node = Node(process, listen, peer)

    async def is_fresh() -> bool:
        return bool((await cluster.get_json(node, '/state'))['is_fresh'])

    await wait_until(is_fresh)
    return node


async def test_an_accepted_change_is_in_force_at_every_member(
    nodes: list[MemberNode],
) -> None:
    writer = nodes[0]
    version = await writer.store.append(0, CHANGE, 'op')
    assert await writer.service.publish(version) is Acceptance.IN_FORCE
    assert {node.service.catalogue.version for node in nodes} == {version}


async def test_an_outage_of_the_table_stops_no_member(
    cluster: Cluster, nodes: list[MemberNode]
) -> None:
    await cluster.control(cluster.platform, outage=True)
    samples_left = 100
    while samples_left:
        await asyncio.sleep(0.05)
        assert all(node.service.is_fresh() for node in nodes)
        samples_left -= 1


async def test_a_change_stays_pending_while_the_table_is_out(
    cluster: Cluster, nodes: list[MemberNode]
) -> None:
    writer = nodes[0]
    version = await writer.store.append(0, CHANGE, 'op')
    await cluster.control(cluster.platform, outage=True)
    assert await writer.service.publish(version) is Acceptance.PENDING
    await cluster.control(cluster.platform, outage=False)
    assert await nodes[1].service.publish(version) is Acceptance.IN_FORCE


async def test_members_see_a_member_drain_and_leave(
    nodes: list[MemberNode],
) -> None:
    leaving = nodes[0].service
    others = [node.service for node in nodes[1:]]
    await leaving.set_state(MemberState.DRAINING)

    async def is_drained() -> bool:
        return all(len(other.routers()) == 4 for other in others)

    await wait_until(is_drained)
    assert leaving.is_fresh()
    assert all(len(other.members()) == 5 for other in others)
    await leaving.stop()

    async def has_left() -> bool:
        return all(len(other.members()) == 4 for other in others)

    await wait_until(has_left)
    assert not leaving.is_fresh()


async def test_a_process_frozen_during_a_change_does_not_act_on_the_old_one(
    cluster: Cluster, nodes: list[MemberNode]
) -> None:
    writer = nodes[0]
    frozen = await start_process(cluster)
    frozen.process.pause()
    started_s = time.monotonic()
    version = await writer.store.append(0, CHANGE, 'op')
    assert await writer.service.publish(version) is Acceptance.IN_FORCE
    # The frozen process did not confirm, so its freshness had to lapse.
    assert time.monotonic() - started_s >= LAPSE_S
    frozen.process.resume()
    state = await cluster.get_json(frozen, '/state')
    assert state['version'] == version or not state['is_fresh']


async def test_a_process_killed_during_an_outage_does_not_stop_the_others(
    cluster: Cluster, nodes: list[MemberNode]
) -> None:
    killed = await start_process(cluster)
    await cluster.control(cluster.platform, outage=True)
    await asyncio.sleep(4)
    await killed.process.kill()
    await asyncio.sleep(4)
    assert all(node.service.is_fresh() for node in nodes)


async def test_a_killed_process_joins_again_at_the_same_address(
    cluster: Cluster, nodes: list[MemberNode]
) -> None:
    killed = await start_process(cluster)
    await killed.process.kill()
    async with open_member(cluster.platform.url, killed.peer_address) as again:

        async def has_joined() -> bool:
            return again.service.is_fresh()

        await wait_until(has_joined)
        assert len(again.service.members()) == len(nodes) + 1
