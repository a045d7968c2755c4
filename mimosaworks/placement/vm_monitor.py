"""Follows the platform's list of VMs for a placer."""

import asyncio
import contextlib

import attrs

from mimosaworks.errors import PlatformError
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.platform import VmListClient

VM_POLL_INTERVAL_S = 1.0


@attrs.define
class VmStateMonitor:
    """Copies the platform's VM states into the shard's state."""

    vm_list: VmListClient
    state: ShardState

    async def run(self) -> None:
        """Read the list until cancelled; an outage keeps the last one."""
        while True:
            with contextlib.suppress(PlatformError):
                self.state.vm_states = await self.vm_list.states()
            await asyncio.sleep(VM_POLL_INTERVAL_S)
