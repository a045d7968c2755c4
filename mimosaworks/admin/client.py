"""Client of the administration API, used by mimosactl."""

import asyncio
import contextlib
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
import cattrs

from mimosaworks.admin.api_error import AdminApiError
from mimosaworks.admin.fault import Fault
from mimosaworks.admin.outcome import Outcome
from mimosaworks.entities import Catalogue, Change

TIMEOUT_S = 30.0
POLL_S = 0.5


@attrs.define
class AdminClient:
    """Calls one administration process; session sends the operator token."""

    session: aiohttp.ClientSession
    base_url: str

    async def read_config(self) -> Catalogue:
        """Return the whole configuration.

        Raises AdminApiError, as all calls do.
        """
        content = await self._call('GET', 'config')
        content.pop('source')
        return cattrs.structure(content, Catalogue)

    async def read_status(self) -> dict[str, Any]:
        """Return what the process knows of the members."""
        return await self._call('GET', 'status')

    async def change(
        self, changes: Sequence[Change], base_version: int
    ) -> Outcome:
        """Make the changes as one version on top of base_version."""
        body = {'changes': [change.to_dict() for change in changes]}
        headers = {'If-Match': f'"{base_version}"'}
        content = await self._call('POST', 'changes', body, headers)
        return _outcome(content)

    async def wait_in_force(self, outcome: Outcome, wait_s: float) -> Outcome:
        """Ask until the version is in force or wait_s seconds are over."""
        deadline_s = asyncio.get_running_loop().time() + wait_s
        latest = outcome
        while not latest.is_in_force:
            left_s = deadline_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            await asyncio.sleep(min(POLL_S, left_s))
            # The change is stored: what is lost here is only its state.
            with contextlib.suppress(AdminApiError):
                latest = await self._read_version(outcome.version)
        return attrs.evolve(latest, warnings=outcome.warnings)

    async def _read_version(self, version: int) -> Outcome:
        return _outcome(await self._call('GET', f'versions/{version}'))

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        url = f'{self.base_url}/admin/v1/{path}'
        limit = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self.session.request(
                method, url, json=body, headers=headers, timeout=limit
            ) as resp:
                return await _checked(resp)
        except aiohttp.ClientConnectorError as exc:
            raise AdminApiError(f'{url}: {exc}') from exc
        except (TimeoutError, aiohttp.ClientError, ValueError) as exc:
            raise AdminApiError(
                f'{url}: no answer: {exc!r}', may_have_run=method == 'POST'
            ) from exc


def _outcome(content: dict[str, Any]) -> Outcome:
    return Outcome(
        version=content['version'],
        is_in_force=content['state'] == 'in-force',
        warnings=cattrs.structure(content['warnings'], tuple[Fault, ...]),
    )


async def _checked(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    content = await resp.json()
    if not isinstance(content, dict):
        raise ValueError(f'{content!r} is no JSON object')
    if resp.status < HTTPStatus.BAD_REQUEST:
        return content
    error = content['error']
    raise AdminApiError(
        error['message'],
        code=error['code'],
        faults=cattrs.structure(content.get('faults', []), tuple[Fault, ...]),
        may_have_run=resp.headers.get('Mimosa-Run') == 'may-have-run',
    )
