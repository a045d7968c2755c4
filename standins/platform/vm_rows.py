"""The list of VMs, as rows of the store."""

import base64
import json
from collections.abc import Sequence
from typing import Any

from standins.platform.store import Store

VMS_TABLE = 'vms'


def publish_vms(store: Store, vms: Sequence[dict[str, str]]) -> None:
    """Make the table hold just these VMs, one row each by its address."""
    put = [_row(vm['address'], vm) for vm in vms]
    kept = {row['key'] for row in put}
    listed, _ = store.read_page(VMS_TABLE, '')
    gone = [row for row in listed if row['key'] not in kept]
    store.commit({'put': put, 'remove': gone})


def _row(address: str, vm: dict[str, str]) -> dict[str, Any]:
    content = base64.b64encode(json.dumps(vm).encode()).decode()
    return {'table': VMS_TABLE, 'key': address, 'value': content}
