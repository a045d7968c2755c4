"""All clients of one platform."""

import aiohttp
import attrs

from mimosaworks.platform.objects import ObjectClient
from mimosaworks.platform.store import StoreClient
from mimosaworks.platform.table import TableClient
from mimosaworks.platform.vm_list import VmListClient


@attrs.frozen
class PlatformClients:
    """The own rows, the objects and the VM list; made by each root."""

    table: TableClient
    snapshots: ObjectClient
    vm_list: VmListClient


def platform_clients(
    session: aiohttp.ClientSession, base_url: str
) -> PlatformClients:
    """Return the clients of the platform whose store has this base URL."""
    store = StoreClient(session, base_url)
    return PlatformClients(
        TableClient(store), ObjectClient(store), VmListClient(store)
    )
