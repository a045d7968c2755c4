"""Many answers without end at once: to requests, reports and orders."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import psutil
import pytest

from standins.agency.endless import ANSWERS, EndlessTarget
from standins.agency.replica import Replica
from standins.agency.world import MODELS, AgencyWorld, NodeHandle, open_agency
from tests.test_node_endless_answers import MODEL, ask, peak_mb

CALLERS = 100
LIMIT_MB = 200  # two thirds of a VM's memory
PATHS = ('/chat/x', '/draft/x')
SERVED = 0.9


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def add_endless(
    world: AgencyWorld, kind: str, *, reports: bool
) -> EndlessTarget:
    """Serve an engine whose reports may be sound; its orders are not."""
    replica = Replica(f'{kind}-{reports}', 'engines', 'north')
    replica.on_disk = list(MODELS)
    target = EndlessTarget(kind)
    if reports:
        report = json.dumps(replica.report()).encode()
        target.sound = {'/v1/report': report}
    else:
        replica.models = {MODEL: set()}
    await target.open(world.stack)
    replica.address = target.address
    replica.register(world.store)
    return target


async def ask_in_turn(
    world: AgencyWorld, node: NodeHandle, until_done: 'asyncio.Future[Any]'
) -> Counter[int]:
    """Ask a sound target again and again; return how often what came."""
    statuses: Counter[int] = Counter()
    while not until_done.done():
        number = 2000 + statuses.total()
        statuses[await ask(world, node, '/look/x', number)] += 1
    return statuses


# Guards against a VM whose memory is used up by all the answers that it reads
# at once, each of them within its own bounds.
async def test_many_answers_without_end_leave_memory(
    world: AgencyWorld,
) -> None:
    targets = [
        await add_endless(world, kind, reports=reports)
        for kind in ANSWERS
        for reports in (False, True)
    ]
    await world.add_replica('good', service='ledger')
    node = await world.add_node('node-1')
    found = [503]
    while found[-1] != 200:
        found.append(await ask(world, node, '/look/x', len(found)))
    asked = asyncio.gather(
        *(
            ask(world, node, PATHS[one % 2], 1000 + one, MODELS[one % 4])
            for one in range(CALLERS)
        )
    )
    peak, meanwhile, statuses = await asyncio.gather(
        peak_mb(node, asked), ask_in_turn(world, node, asked), asked
    )
    assert peak < LIMIT_MB
    assert set(statuses) <= {0, 502, 503, 504}
    assert meanwhile[200] > SERVED * meanwhile.total()
    asked_for = sum((target.asked for target in targets), Counter())
    assert {'/v1/report', '/v1/order', *PATHS} <= set(asked_for)
    assert psutil.Process(node.process.child.pid).is_running()
