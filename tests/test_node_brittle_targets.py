"""Targets that crash when they turn away too many requests in a second."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from mimosaworks.dispatch import Assignment, Refusal, record_brittle_target
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.dispatch_world import make_entry, make_job, make_pool
from tests.test_node_processes import holder_of, open_pair, read_stream, until

WINDOW_S = 1.0
MAX_TURNED_AWAY = 5
ROOM = 3
BURST = 40
EVENT_S = 0.1


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def send_burst(
    world: AgencyWorld, *nodes: NodeHandle, name: str
) -> list[int]:
    """Send many requests for a model at once; return their statuses."""
    asked = [
        read_stream(world, node, '/chat/a', f'{name}-{number}', 'alpha')
        for number, node in zip(
            range(BURST), itertools.cycle(nodes), strict=False
        )
    ]
    return [status for status, _ in await asyncio.gather(*asked)]


def most_in_a_second(times_s: list[float]) -> int:
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


# Guards against nodes that go on sending to a full target which crashes when it
# has to turn too many requests away: from two nodes, and over a new holder.
async def test_a_brittle_target_turns_few_requests_away(
    world: AgencyWorld,
) -> None:
    nodes = await open_pair(world)
    target = world.replicas['engine-1']
    target.event_s = EVENT_S
    target.brittle = MAX_TURNED_AWAY
    for node in nodes:
        status, _ = await read_stream(world, node, '/chat/a', 'warm', 'alpha')
        assert status == 200
    target.room = ROOM
    await until(lambda: bool(nodes[0].events('target_brittle')))
    statuses = await send_burst(world, *nodes, name='first')
    assert 200 in statuses
    await holder_of(*nodes).process.kill()
    left = nodes[int(nodes[1].process.is_running())]
    await until(lambda: holder_of(*nodes) is left)
    await send_burst(world, left, name='next')
    assert most_in_a_second(target.turned_away_s) <= MAX_TURNED_AWAY


# Guards against more requests at once than a brittle target may turn away, and
# against a queue at it.
def test_few_requests_at_a_brittle_target_have_not_begun() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    record_brittle_target([pool], 't1', 0, most_per_s=5, is_full=False)
    jobs = [make_job('m0') for _ in range(MAX_TURNED_AWAY)]
    granted = [
        job for job in jobs if isinstance(pool.submit(job, 0), Assignment)
    ]
    assert 0 < len(granted) < MAX_TURNED_AWAY
    for job in granted:
        pool.record_first_event(job, 0.1)
    assert isinstance(pool.submit(make_job('m0'), 0), Assignment)
    record_brittle_target([pool], 't1', 0, most_per_s=None, is_full=False)
    decided = [pool.submit(make_job('m0'), 0) for _ in range(BURST)]
    assert any(isinstance(one, Assignment) for one in decided)


def test_a_brittle_target_gets_no_queue() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    slots = pool.engine_cfg.slots
    record_brittle_target([pool], 't1', 0, most_per_s=1000, is_full=False)
    decided = [pool.submit(make_job('m0'), 0) for _ in range(slots + 1)]
    assert isinstance(decided[slots - 1], Assignment)
    assert isinstance(decided[slots], Refusal)


def test_all_nodes_leave_out_a_full_target_for_a_second() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    record_brittle_target([pool], 't1', 5, most_per_s=5, is_full=True)
    assert isinstance(pool.submit(make_job('m0', now=5.9), 5.9), Refusal)
    assert isinstance(pool.submit(make_job('m0', now=6), 6), Assignment)
