"""Targets whose VM leaves, by the platform's list."""

import asyncio
from urllib.parse import urlsplit

import attrs

from mimosaworks.entities import Target
from mimosaworks.errors import PlatformError
from mimosaworks.platform import VmListClient

POLL_S = 1.0
_LEAVING_STATES = frozenset(('leaving', 'gone'))


@attrs.define
class LeavingTargets:
    """The VMs that get no new work; kept by a task of the router."""

    vm_list: VmListClient
    _states: dict[str, str] = attrs.field(factory=dict)

    def is_leaving(self, target: Target) -> bool:
        """Tell whether the target's VM leaves or is gone.

        The list names VMs by IP number, or by IP number and port.
        """
        parts = urlsplit(target.url)
        names = (parts.netloc, parts.hostname or '')
        return any(self._states.get(name) in _LEAVING_STATES for name in names)

    async def run(self) -> None:
        """Read the list every POLL_S; an outage keeps the last one."""
        while True:
            try:
                self._states = await self.vm_list.states()
            except PlatformError:
                # The next reading tells; targets that are gone refuse
                # connections meanwhile.
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(POLL_S)
