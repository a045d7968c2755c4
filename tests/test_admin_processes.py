"""Tests of two mimosa-admin processes and operators that race."""

import asyncio
import types
from typing import Any

import pytest

from tests.harness import OPERATOR_TOKEN, Cluster, Node, wait_until

HEADERS = types.MappingProxyType({
    'Authorization': f'Bearer {OPERATOR_TOKEN}',
})
GRANT = types.MappingProxyType({'rate_tokens_per_s': 1, 'burst_tokens': 1})
OPERATORS = 16
IN_FORCE, PENDING, LOST_RACE = 200, 202, 412


async def read_config(cluster: Cluster, admin: Node) -> Any:
    """Return the configuration that an administration process answers."""
    url = f'{admin.url}/admin/v1/config'
    async with cluster.http.get(url, headers=HEADERS) as resp:
        return await resp.json()


async def put_workspace(
    cluster: Cluster, admin: Node, name: str, version: int | str
) -> int:
    """Return the status of a put at a version."""
    url = f'{admin.url}/admin/v1/workspaces/{name}'
    headers = {**HEADERS, 'If-Match': str(version)}
    async with cluster.http.put(url, json={**GRANT}, headers=headers) as resp:
        await resp.read()
        return resp.status


async def put_until_stored(cluster: Cluster, admin: Node, name: str) -> int:
    """Read and put again after each lost race; return the races lost."""
    lost = 0
    while True:
        version = (await read_config(cluster, admin))['version']
        status = await put_workspace(cluster, admin, name, version)
        if status in {IN_FORCE, PENDING}:
            return lost
        assert status == LOST_RACE
        lost += 1


@pytest.fixture
async def admins(cluster: Cluster) -> list[Node]:
    started = [
        await cluster.start_program('admin'),
        await cluster.start_program('admin'),
    ]

    async def both_live() -> bool:
        url = f'{started[1].url}/admin/v1/status'
        async with cluster.http.get(url, headers=HEADERS) as resp:
            members = (await resp.json())['members']
        return [one['state'] for one in members] == ['live', 'live']

    await wait_until(both_live)
    return started


async def test_exactly_one_of_two_changes_at_a_version_is_stored(
    cluster: Cluster, admins: list[Node]
) -> None:
    statuses = await asyncio.gather(
        put_workspace(cluster, admins[0], 'left', 0),
        put_workspace(cluster, admins[1], 'right', 0),
    )
    assert sorted(statuses) == [IN_FORCE, LOST_RACE]
    winner = ('left', 'right')[statuses.index(IN_FORCE)]
    config = await read_config(cluster, admins[0])
    assert (list(config['workspace']), config['version']) == ([winner], 1)


async def test_no_change_of_racing_operators_is_lost(
    cluster: Cluster, admins: list[Node]
) -> None:
    lost = await asyncio.gather(
        *(
            put_until_stored(cluster, admins[number % 2], f'w{number}')
            for number in range(OPERATORS)
        )
    )
    config = await read_config(cluster, admins[1])
    assert sum(lost)
    assert len(config['workspace']) == config['version'] == OPERATORS


async def test_status_shows_what_each_member_has_applied(
    cluster: Cluster, admins: list[Node]
) -> None:
    await put_workspace(cluster, admins[0], 'camp', 0)

    async def has_applied() -> bool:
        url = f'{admins[1].url}/admin/v1/status'
        async with cluster.http.get(url, headers=HEADERS) as resp:
            members = (await resp.json())['members']
        return [one['applied_version'] for one in members] == [1, 1]

    await wait_until(has_applied)


async def test_change_whose_reply_was_lost_is_stored_once(
    cluster: Cluster, admins: list[Node]
) -> None:
    await cluster.control(cluster.platform, drop_replies=1)
    status = await put_workspace(cluster, admins[0], 'camp', '*')
    config = await read_config(cluster, admins[1])
    assert status in {IN_FORCE, PENDING}
    assert config['version'] == 1


async def test_change_in_an_outage_is_refused_as_not_run(
    cluster: Cluster, admins: list[Node]
) -> None:
    await cluster.control(cluster.platform, outage=True)
    url = f'{admins[0].url}/admin/v1/workspaces/camp'
    headers = {**HEADERS, 'If-Match': '"0"'}
    async with cluster.http.put(url, json={**GRANT}, headers=headers) as resp:
        answer = resp.status, resp.headers['Mimosa-Run']
    await cluster.control(cluster.platform, outage=False)
    assert answer == (503, 'not-run')
    assert (await read_config(cluster, admins[1]))['version'] == 0


async def test_stopping_admin_answers_what_it_was_asked_before(
    cluster: Cluster, admins: list[Node]
) -> None:
    put = asyncio.create_task(put_workspace(cluster, admins[0], 'camp', 0))

    async def is_stored() -> bool:
        return bool((await read_config(cluster, admins[1]))['version'])

    await wait_until(is_stored)
    admins[0].process.terminate()
    assert await put in {IN_FORCE, PENDING}
    assert await admins[0].process.wait() == 0


async def test_a_change_under_way_is_answered_when_its_process_stops(
    cluster: Cluster, admins: list[Node]
) -> None:
    # It waits for the confirmation of the other member.
    admins[1].process.pause()
    change = asyncio.create_task(put_workspace(cluster, admins[0], 'camp', '*'))
    await asyncio.sleep(0.5)
    admins[0].process.terminate()
    assert await change in {IN_FORCE, PENDING}
    assert await admins[0].process.wait() == 0
    admins[1].process.resume()

    async def is_stored() -> bool:
        config = await read_config(cluster, admins[1])
        return list(config['workspace']) == ['camp']

    await wait_until(is_stored)
