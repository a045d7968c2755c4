"""Targets that name a limit, at real nodes."""

import asyncio
import time

import pytest

from standins.agency.world import AgencyWorld
from tests.limits_world import (
    ALPHA,
    ANY_ADAPTER,
    RUN_S,
    SOON_S,
    assert_served,
    count_hits,
    drain,
    in_excess,
    loaded,
)
from tests.test_node_processes import until


# Guards against a limit that reaches the callers and nobody else.
@pytest.mark.parametrize('path', ['/look/x', '/post/x', '/chat/x', '/draft/x'])
async def test_a_target_that_names_a_limit_gets_no_more(
    limited_world: AgencyWorld, path: str
) -> None:
    is_plain = path in {'/look/x', '/post/x'}
    replica = limited_world.replicas['ledger-0' if is_plain else 'engine-0']
    replica.limit = '1'
    async with loaded(
        limited_world, path, **({} if is_plain else ALPHA)
    ) as load:
        await asyncio.sleep(RUN_S)
        # The other target has room for all.
        assert_served(load)
    assert not in_excess(replica)


# Guards against a target that is left out once it has named a limit, and
# against callers who wait for it in vain.
async def test_a_lone_target_is_used_up_to_its_limit(
    limited_world: AgencyWorld,
) -> None:
    replica = limited_world.replicas['ledger-0']
    replica.limit = '2'
    await drain(limited_world, 'ledger-1')
    async with loaded(limited_world, '/look/x') as load:
        await until(lambda: bool(replica.named))
        begun_s = time.monotonic()
        await asyncio.sleep(RUN_S)
        assert load.slowest_refused_s < SOON_S
        assert set(load.statuses) == {200, 503}
    assert not in_excess(replica)
    assert count_hits(replica, begun_s) > 0.8 * 2 * RUN_S


# Guards against orders that a target with a limit gets beside its requests.
async def test_orders_count_against_a_limit(limited_world: AgencyWorld) -> None:
    replica = limited_world.replicas['engine-0']
    replica.limit = '2'
    await drain(limited_world, 'engine-1')
    adapters = ALPHA | {'X_Model': ANY_ADAPTER}
    async with loaded(limited_world, '/chat/x', **adapters) as load:
        await asyncio.sleep(RUN_S)
        assert load.statuses[200] > 2
    assert any(hit.sender for hit in replica.hits)
    assert not in_excess(replica)
