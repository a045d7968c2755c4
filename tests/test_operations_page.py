"""The commands of docs/OPERATIONS.md lead from an id to its cause."""

import asyncio
import json
import re
import subprocess
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from standins.agency.world import OTHER_KEY, AgencyWorld, open_agency
from tests.catalogue import ROOT
from tests.test_node_processes import open_pair, read_stream, until

PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


def run_command(folder: Path, mark: str, **names: str) -> list[dict[str, Any]]:
    """Run the page's command that holds a mark; return the lines found."""
    commands = re.findall(r'^ +(grep .*)$', PAGE, re.MULTILINE)
    command = next(one for one in commands if mark in one)
    for name, text in names.items():
        command = command.replace(name, text)
    found = subprocess.run(
        command,
        shell=True,
        cwd=folder,
        capture_output=True,
        text=True,
        check=True,
    )
    return [json.loads(line) for line in found.stdout.splitlines()]


async def story(folder: Path, request_id: str, last: str) -> list[Any]:
    """Return the lines of a request once its last event is written."""
    await asyncio.sleep(0.3)

    def is_told() -> bool:
        found = run_command(folder, '"ID"', ID=request_id)
        return any(line['event'] == last for line in found)

    await until(is_told)
    return run_command(folder, '"ID"', ID=request_id)


async def test_a_refusal_inside_the_rate_is_explained(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    for number in range(2):
        async with world.request(
            first,
            '/chat/a',
            f'rate-{number}',
            X_Model='alpha',
            X_Token_Counts='1300,100',
            Authorization=f'Bearer {OTHER_KEY}',
        ) as resp:
            await resp.read()
    assert resp.status == 429
    lines = await story(world.folder, 'rate-1', 'call_refused')
    refused = next(one for one in lines if one['event'] == 'call_refused')
    assert refused['kind'] == 'rate_exceeded'
    decided = next(one for one in lines if one['event'] == 'call_decided')
    assert '1400 tokens' in decided['reason']
    admitted = run_command(world.folder, '"workspace":"NAME"', NAME='small')
    assert sum(one['tokens'] for one in admitted) > 1500
    applied = run_command(world.folder, 'deployment_applied')
    assert refused['version'] in {one['version'] for one in applied}


async def test_a_rare_model_that_came_too_late_is_explained(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    for replica in world.replicas.values():
        replica.load_s = 60
    status, _ = await read_stream(world, first, '/draft/a', 'rare', 'gamma')
    assert status != 200
    lines = await story(world.folder, 'rare', 'call_queued')
    target = next(one for one in lines if one['event'] == 'call_queued')
    orders = run_command(world.folder, 'step_|target_', TARGET=target['target'])
    loads = [one for one in orders if one.get('model') == 'gamma']
    assert {'step_sent', 'step_ended'} <= {one['event'] for one in loads}


async def test_a_refusal_for_a_limit_is_explained(world: AgencyWorld) -> None:
    first, _ = await open_pair(world)
    world.replicas['ledger-1'].limit = '0.1'
    for number in range(3):
        async with world.request(first, '/post/a', f'limit-{number}') as resp:
            await resp.read()
    assert resp.status == 503
    lines = await story(world.folder, 'limit-2', 'call_refused')
    decided = next(one for one in lines if one['event'] == 'call_decided')
    assert 'rate limit of ledger-1 is 0.1/s' in decided['reason']
    found = run_command(world.folder, 'target_limited', TARGET='ledger-1')
    assert {'target_limited', 'limit_told'} <= {one['event'] for one in found}


async def test_a_stream_that_broke_off_is_explained(
    world: AgencyWorld,
) -> None:
    first, _ = await open_pair(world)
    engine = world.replicas['engine-1']
    engine.breaks_after = 2
    with pytest.raises(aiohttp.ClientError):
        await read_stream(world, first, '/chat/a', 'cut', 'alpha')
    engine.restart()
    engine.register(world.store)
    lines = await story(world.folder, 'cut', 'call_broken')
    broken = next(one for one in lines if one['event'] == 'call_broken')
    assert broken['is_started']

    def shows_restart() -> bool:
        found = run_command(
            world.folder, 'target_|call_broken', TARGET=broken['target']
        )
        return any(one['event'] == 'target_changed' for one in found)

    await until(shows_restart)
