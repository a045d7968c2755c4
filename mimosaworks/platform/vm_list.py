"""The list of VMs, which operators' tools keep in the platform's store."""

import json

import attrs

from mimosaworks.platform.store import StoreClient

VMS_TABLE = 'vms'


@attrs.define
class VmListClient:
    """Reads the lagging list of VMs: one row each, its key the address."""

    store: StoreClient

    async def states(self) -> dict[str, str]:
        """Return the state (live, leaving, gone) of each VM by address.

        Raises StoreUnavailableError.
        """
        listed = await self.store.read(VMS_TABLE)
        return {
            row.name.key: json.loads(row.content)['state']
            for row in listed.rows
            if row.content is not None
        }
