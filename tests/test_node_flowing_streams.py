"""Streams that are cut while they flow, at a real node."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.agency.replica import EVENTS_HEADER
from standins.agency.world import MODELS, AgencyWorld, open_agency
from tests.test_node_processes import until, until_served

TARGETS = 3
CALLERS = 15  # enough for a run at each target
BODY = b'a popular request'
LEAVE_S = 1.0
EVENTS_FOR_LONG = 200
FLOWING_S = 0.05
SILENT_S = 3.0


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        for number in range(TARGETS):
            await opened.add_replica(
                f'engine-{number}', models={MODELS[0]: set()}
            )
        await opened.add_replica('good', service='ledger')
        node = await opened.add_node('node-1')
        await until_served(opened, node)
        yield opened


async def ask(
    world: AgencyWorld, request_id: str, events: int, leave_s: float
) -> tuple[int, bytes]:
    """Return the status and the body as far as it came until leave_s."""
    extra = {
        'X_Model': MODELS[0],
        'X_Token_Counts': '500,20',
        EVENTS_HEADER: str(events),
    }
    async with world.request(
        world.nodes[0], '/chat/x', request_id, BODY, **extra
    ) as resp:
        body = bytearray()
        try:
            async with asyncio.timeout(leave_s):
                async for chunk in resp.content.iter_any():
                    body.extend(chunk)
        except TimeoutError:
            resp.close()
        return int(resp.status), bytes(body)


# Guards against a popular request that is refused everywhere, as targets were
# slow and their streams were cut while they flowed; one that fell silent is
# still a sign of a crash.
@pytest.mark.parametrize(
    ('event_s', 'status'), [(FLOWING_S, 200), (SILENT_S, 503)]
)
async def test_only_streams_that_fell_silent_hold_requests_back(
    world: AgencyWorld, event_s: float, status: int
) -> None:
    node = world.nodes[0]
    engines = [world.replicas[f'engine-{one}'] for one in range(TARGETS)]
    for engine in engines:
        engine.event_s = event_s
    cut = await asyncio.gather(
        *(
            ask(world, f'cut-{number}', EVENTS_FOR_LONG, LEAVE_S)
            for number in range(CALLERS)
        )
    )
    assert all(body for _, body in cut)
    assert all(engine.runs for engine in engines)
    await asyncio.sleep(0.5)
    for engine in engines:
        engine.event_s = FLOWING_S
    found, _ = await ask(world, 'last', 2, SILENT_S)
    assert found == status
    # The log is written behind the answers, in their order.
    await until(
        lambda: any(
            line['request_id'] == 'last'
            for event in ('call_answered', 'call_refused')
            for line in node.events(event)
        )
    )
    seen = node.events('target_end_seen')
    assert bool(seen) == (status != 200)
    assert len(node.events('call_abandoned')) == CALLERS
