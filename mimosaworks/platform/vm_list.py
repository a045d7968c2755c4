"""Client of the platform's list of VMs."""

import aiohttp
import attrs

from mimosaworks.errors import StoreUnavailableError


@attrs.define
class VmListClient:
    """Reads the lagging list of VMs; timeout_s limits each call."""

    session: aiohttp.ClientSession
    base_url: str
    timeout_s: float = 2.0

    async def states(self) -> dict[str, str]:
        """Return the state (live, leaving, gone) of each VM by address.

        Raises StoreUnavailableError.
        """
        limit = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.get(
                f'{self.base_url}/vms', timeout=limit, raise_for_status=True
            ) as resp:
                listed = await resp.json()
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise StoreUnavailableError(f'VM list: {exc!r}') from exc
        return {vm['address']: vm['state'] for vm in listed['vms']}
