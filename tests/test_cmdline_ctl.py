"""Tests of mimosactl against a real mimosa-admin."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import attrs
import pytest

from mimosaworks.entities import digest_key
from mimosaworks.platform import platform_clients
from tests.harness import OPERATOR_TOKEN, Cluster, Node, wait_until

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
FAULTY = 'kind,name,rate_tokens_per_s,burst_tokens\nworkspace,camp,x,\n'
EXIT_FAILED, EXIT_USAGE = 1, 2


@attrs.define
class Ctl:
    """Runs mimosactl as an operator does."""

    admin_url: str

    async def run(self, *words: str) -> Any:
        """Return the exit code and all output."""
        env = {
            **os.environ,
            'MIMOSACTL_ADMIN_URL': self.admin_url,
            'MIMOSACTL_OPERATOR_TOKEN': OPERATOR_TOKEN,
        }
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'mimosaworks.cmdline.ctl',
            *words,
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await child.communicate()
        return child.returncode, output.decode()

    async def succeed(self, *words: str) -> str:
        """Return the output of a command that must succeed."""
        code, output = await self.run(*words)
        assert code == 0, output
        return str(output)


@pytest.fixture
async def admin(cluster: Cluster) -> Node:
    return await cluster.start_program('admin')


@pytest.fixture
def ctl(admin: Node) -> Ctl:
    return Ctl(admin.url)


@pytest.mark.parametrize('name', ['camp.csv', 'recovery.csv'])
async def test_example_sheet_is_planned_and_applied_as_one_version(
    ctl: Ctl, name: str
) -> None:
    path = str(EXAMPLES / name)
    planned = await ctl.succeed('sheet', 'plan', path)
    assert 'changes to version 0' in planned
    assert 'version 1 is in-force' in await ctl.succeed('sheet', 'apply', path)
    assert '0 changes to version 1' in await ctl.succeed('sheet', 'plan', path)


@pytest.mark.parametrize('action', ['check', 'plan', 'apply'])
async def test_faulty_sheet_is_refused_whole_and_changes_nothing(
    ctl: Ctl, tmp_path: Path, action: str
) -> None:
    path = tmp_path / 'faulty.csv'
    path.write_text(FAULTY)
    code, output = await ctl.run('sheet', action, str(path))
    assert code == EXIT_FAILED
    assert 'row 2, column rate_tokens_per_s' in output
    assert 'row 2, column burst_tokens' in output
    assert 'at version 0' in await ctl.succeed('status')


async def test_key_is_shown_once_and_only_its_digest_is_kept(
    ctl: Ctl, cluster: Cluster
) -> None:
    await ctl.succeed(
        'workspace', 'put', 'camp', 'rate_tokens_per_s=5', 'burst_tokens=9'
    )
    added = await ctl.succeed('key', 'add', 'desk', '--workspace', 'camp')
    secret = added.splitlines()[0]
    platform = platform_clients(cluster.http, cluster.platform.url)
    found = await platform.table.read(prefixes=('',))
    rows = ''.join(row.content for row in found.values())
    assert digest_key(secret) in rows
    assert secret not in rows
    assert 'desk' in await ctl.succeed('key', 'list')
    await ctl.succeed('key', 'withdraw', 'desk')
    assert 'desk' not in await ctl.succeed('key', 'list')


async def test_refusals_name_the_reason(ctl: Ctl) -> None:
    code, output = await ctl.run('workspace', 'put', 'camp', 'colour=red')
    assert (code, 'colour=red' in output) == (EXIT_USAGE, True)
    code, output = await ctl.run('key', 'add', 'desk', '--workspace', 'none')
    assert (code, "no workspace 'none'" in output) == (EXIT_FAILED, True)
    code, output = await ctl.run('--operator-token', 'wrong', 'status')
    assert (code, 'operator token' in output) == (EXIT_FAILED, True)
    code, output = await ctl.run('--operator-token', '', 'status')
    assert (code, '--operator-token' in output) == (EXIT_USAGE, True)


async def test_status_shows_members_and_versions_as_json(
    ctl: Ctl, admin: Node
) -> None:
    async def has_joined() -> bool:
        output = await ctl.succeed('--output', 'json', 'status')
        members = json.loads(output)['members']
        return [one['address'] for one in members] == [admin.peer_address]

    await wait_until(has_joined)


async def test_status_in_an_outage_claims_no_versions(
    ctl: Ctl, cluster: Cluster
) -> None:
    await cluster.control(cluster.platform, outage=True)
    output = await ctl.succeed('status')
    assert 'The store does not answer' in output
    await cluster.control(cluster.platform, outage=False)
