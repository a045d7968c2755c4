"""Speaks to the platform: its store, targets and callers' headers."""

from mimosaworks.platform.boot import BootSettings, Bounds, read_boot
from mimosaworks.platform.clients import PlatformClients, platform_clients
from mimosaworks.platform.desired import (
    DESIRED_KEY,
    DESIRED_TABLE,
    decode_desired,
)
from mimosaworks.platform.directory import directory_app, ready_app
from mimosaworks.platform.engine_calls import (
    EngineCalls,
    OrderAnswer,
    TargetOrder,
    TargetReport,
)
from mimosaworks.platform.entries import TARGETS_TABLE, decode_entry
from mimosaworks.platform.group_commit import GroupCommit
from mimosaworks.platform.objects import ObjectClient
from mimosaworks.platform.row import Row, RowAssert, RowWrite
from mimosaworks.platform.store import StoreClient
from mimosaworks.platform.stored_rows import (
    RowChange,
    RowName,
    RowNeed,
    RowsAnswer,
    StoredRow,
)
from mimosaworks.platform.table import TableClient
from mimosaworks.platform.vm_list import VmListClient

__all__ = [
    'DESIRED_KEY',
    'DESIRED_TABLE',
    'TARGETS_TABLE',
    'BootSettings',
    'Bounds',
    'EngineCalls',
    'GroupCommit',
    'ObjectClient',
    'OrderAnswer',
    'PlatformClients',
    'Row',
    'RowAssert',
    'RowChange',
    'RowName',
    'RowNeed',
    'RowWrite',
    'RowsAnswer',
    'StoreClient',
    'StoredRow',
    'TableClient',
    'TargetOrder',
    'TargetReport',
    'VmListClient',
    'decode_desired',
    'decode_entry',
    'directory_app',
    'platform_clients',
    'read_boot',
    'ready_app',
]
