"""The lagging VM list of the platform stand-in."""

from typing import Any

import attrs

VMs = list[dict[str, str]]


@attrs.define
class VMList:
    """Shows a published list lag_s seconds after it was set."""

    lag_s: float = 0
    _shown: VMs = attrs.Factory(list)
    _waiting: list[tuple[float, VMs]] = attrs.Factory(list)

    def set(self, now_s: float, vms: Any) -> None:
        """Publish a list, to be seen after the lag."""
        self._waiting.append((now_s + self.lag_s, vms))

    def get(self, now_s: float) -> VMs:
        """Return the newest list whose lag has passed."""
        while self._waiting and self._waiting[0][0] <= now_s:
            self._shown = self._waiting.pop(0)[1]
        return self._shown
