"""Clients of the platform's services."""

from mimosaworks.platform.objects import ObjectClient
from mimosaworks.platform.row import Row, RowAssert, RowWrite
from mimosaworks.platform.table import TableClient
from mimosaworks.platform.vms import VmListClient

__all__ = [
    'ObjectClient',
    'Row',
    'RowAssert',
    'RowWrite',
    'TableClient',
    'VmListClient',
]
