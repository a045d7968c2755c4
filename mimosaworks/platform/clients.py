"""All clients of one platform."""

import aiohttp
import attrs

from mimosaworks.platform.objects import ObjectClient
from mimosaworks.platform.table import TableClient
from mimosaworks.platform.vm_list import VmListClient


@attrs.frozen
class PlatformClients:
    """The table, the object store and the VM list; made by each root."""

    table: TableClient
    snapshots: ObjectClient
    vm_list: VmListClient


def platform_clients(
    session: aiohttp.ClientSession, base_url: str
) -> PlatformClients:
    """Return the clients of the platform at a base URL."""
    return PlatformClients(
        TableClient(session, base_url),
        ObjectClient(session, base_url),
        VmListClient(session, base_url),
    )
