"""The status command of mimosactl."""

from collections.abc import Iterator
from typing import Any

import click

from mimosaworks.admin.client import AdminClient
from mimosaworks.cmdline.ctl_calls import call_admin
from mimosaworks.cmdline.ctl_output import show
from mimosaworks.cmdline.ctl_settings import CtlSettings


@click.command()
@click.pass_obj
def status(cfg: CtlSettings) -> None:
    """Show the members with their states and versions."""

    async def read(client: AdminClient) -> dict[str, Any]:
        return await client.read_status()

    content = call_admin(cfg, read)
    show(cfg, content, _lines(content))


def _lines(content: dict[str, Any]) -> Iterator[str]:
    freshness = 'fresh' if content['is_fresh'] else 'NOT FRESH'
    address, version = content['address'], content['version']
    yield f'asked {address}: {freshness}, at version {version}'
    if content['source'] != 'store':
        yield 'The store does not answer: members as last known.'
    for member in content['members']:
        yield _member_line(member, version)


def _member_line(member: dict[str, Any], newest: int) -> str:
    address, data_centre = member['address'], member['data_centre']
    role, state = member['role'], member['state']
    who = f'{address:<21} {data_centre:<10} {role:<7} {state:<9}'
    applied = member['applied_version']
    if applied is None:
        return f'{who} version unknown'
    behind = newest - applied
    mark = f' ({behind} behind)' if behind > 0 else ''
    return f'{who} version {applied}{mark}'
