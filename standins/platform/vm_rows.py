"""The list of VMs, as rows of the store."""

from collections.abc import Sequence

from standins.platform.store import Store, json_row

VMS_TABLE = 'vms'


def publish_vms(store: Store, vms: Sequence[dict[str, str]]) -> None:
    """Make the table hold just these VMs, one row each by its address."""
    put = [json_row(VMS_TABLE, vm['address'], vm) for vm in vms]
    kept = {row['key'] for row in put}
    listed, _ = store.read_page(VMS_TABLE, '')
    gone = [row for row in listed if row['key'] not in kept]
    store.commit({'put': put, 'remove': gone})
