"""Targets whose VM is leaving, by the platform's list of VMs."""

import asyncio
from urllib.parse import urlsplit

import attrs

from mimosaworks.entities import Target
from mimosaworks.errors import PlatformError
from mimosaworks.platform import VmListClient

VM_LIST_POLL_PERIOD_S = 1.0
_LEAVING_STATES = frozenset(('leaving', 'gone'))


@attrs.define
class LeavingTargets:
    """The VMs that get no new requests; polled by a task of the router."""

    vm_list: VmListClient
    _vm_states: dict[str, str] = attrs.field(factory=dict)

    def is_leaving(self, target: Target) -> bool:
        """Return whether the target's VM is leaving or has left.

        The list identifies VMs by IP number, or by IP number and port.
        """
        parts = urlsplit(target.url)
        names = (parts.netloc, parts.hostname or '')
        return any(
            self._vm_states.get(name) in _LEAVING_STATES for name in names
        )

    async def run(self) -> None:
        """Poll the list of VMs; keep the last one during an outage."""
        while True:
            try:
                self._vm_states = await self.vm_list.states()
            except PlatformError:
                # The next poll may succeed; meanwhile, targets that have
                # left refuse connections.
                await asyncio.sleep(VM_LIST_POLL_PERIOD_S)
            await asyncio.sleep(VM_LIST_POLL_PERIOD_S)
