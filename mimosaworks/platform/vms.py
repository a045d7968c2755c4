"""Client of the platform's list of VMs."""

from http import HTTPStatus
from typing import Any

import aiohttp
import attrs

from mimosaworks.errors import StoreUnavailableError

GONE = 'gone'


@attrs.define
class VmListClient:
    """Reads the lagging list of VMs; timeout_s limits each call."""

    session: aiohttp.ClientSession
    base_url: str
    timeout_s: float = 2.0

    async def gone(self) -> frozenset[str]:
        """Return the addresses of the VMs that no longer exist.

        Raises StoreUnavailableError.
        """
        reply = await self._read()
        return frozenset(
            str(vm['address']) for vm in reply['vms'] if vm['state'] == GONE
        )

    async def _read(self) -> dict[str, Any]:
        limit = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.get(
                f'{self.base_url}/vms', timeout=limit
            ) as resp:
                return await _checked(resp)
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise StoreUnavailableError(f'vms: {exc!r}') from exc


async def _checked(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    if resp.status != HTTPStatus.OK:
        raise StoreUnavailableError(f'vms: status {resp.status}')
    reply: dict[str, Any] = await resp.json()
    return reply
