"""Targets whose VM is leaving, by the platform's list of VMs."""

import asyncio
from urllib.parse import urlsplit

import attrs

from mimosaworks.entities import Target
from mimosaworks.errors import PlatformError
from mimosaworks.platform import VmListClient

VM_LIST_POLL_PERIOD_S = 1.0
_GONE = 'gone'
_LEAVING_STATES = frozenset(('leaving', _GONE))


@attrs.define
class LeavingTargets:
    """The VMs that get no new requests; polled by a task of the router."""

    vm_list: VmListClient
    _vm_states: dict[str, str] = attrs.field(factory=dict)

    def is_leaving(self, target: Target) -> bool:
        """Return whether the target's VM is leaving or has left."""
        return not _LEAVING_STATES.isdisjoint(self._states_of(target))

    def has_left(self, target: Target) -> bool:
        """Return whether the target's VM has left."""
        return _GONE in self._states_of(target)

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

    def _states_of(self, target: Target) -> set[str]:
        """Return the states of the target's VM, none if it isn't listed.

        The list identifies VMs by IP number, or by IP number and port.
        """
        parts = urlsplit(target.url)
        names = (parts.netloc, parts.hostname or '')
        return {
            self._vm_states[name] for name in names if name in self._vm_states
        }
