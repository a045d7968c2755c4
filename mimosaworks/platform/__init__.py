"""Clients of the platform's services."""

from mimosaworks.platform.clients import PlatformClients, platform_clients
from mimosaworks.platform.group_commit import GroupCommit
from mimosaworks.platform.objects import ObjectClient
from mimosaworks.platform.row import Row, RowAssert, RowWrite
from mimosaworks.platform.table import TableClient
from mimosaworks.platform.vm_list import VmListClient

__all__ = [
    'GroupCommit',
    'ObjectClient',
    'PlatformClients',
    'Row',
    'RowAssert',
    'RowWrite',
    'TableClient',
    'VmListClient',
    'platform_clients',
]
