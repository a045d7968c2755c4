"""Runs calls of the administration API for commands of mimosactl."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import click
from aiohttp import ClientSession

from mimosaworks.admin.api_error import AdminApiError
from mimosaworks.admin.client import AdminClient
from mimosaworks.body_ends import BodyEndConnector
from mimosaworks.cmdline.ctl_settings import CtlSettings

EXIT_FAILED = 1
EXIT_PENDING = 3

Result = TypeVar('Result')


def call_admin(
    cfg: CtlSettings, action: Callable[[AdminClient], Awaitable[Result]]
) -> Result:
    """Return what the action returns; end with code 1 if it is refused."""
    if not cfg.operator_token:
        raise click.UsageError('missing setting --operator-token')
    try:
        return asyncio.run(_call(cfg, action))
    except AdminApiError as exc:
        raise click.ClickException(_explain(exc)) from exc


async def _call(
    cfg: CtlSettings, action: Callable[[AdminClient], Awaitable[Result]]
) -> Result:
    headers = {'Authorization': f'Bearer {cfg.operator_token}'}
    async with ClientSession(
        connector=BodyEndConnector(), headers=headers
    ) as session:
        return await action(AdminClient(session, cfg.admin_url.rstrip('/')))


def _explain(exc: AdminApiError) -> str:
    if exc.faults:
        return '\n'.join(['refused:', *map(str, exc.faults)])
    if exc.may_have_run:
        return f'{exc}\nThe change may have been stored: look before retrying.'
    return str(exc)
