"""The router's copy of the replica map."""

import asyncio

import attrs

from mimosaworks.wire import ReplicaEntry, ReplicaMap

_READY = 'ready'


@attrs.define
class ReplicaTable:
    """The latest replica map that the shard's holder has sent.

    Maps are ordered by fencing number, then sequence; older ones are dropped,
    so a former holder can't overwrite its successor's map.
    """

    current: ReplicaMap = ReplicaMap(0, 0, '')
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def apply(self, received: ReplicaMap) -> bool:
        """Take a map if it is not older; return whether it was taken."""
        known = (self.current.fence, self.current.sequence)
        if (received.fence, received.sequence) < known:
            return False
        is_new = received.replicas != self.current.replicas
        self.current = received
        if is_new:
            self.notify()
        return True

    def notify(self) -> None:
        """Wake all that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def ready(self, model: str, adapter: str) -> tuple[ReplicaEntry, ...]:
        """Return the replicas that can serve the model and adapter now."""
        return tuple(
            entry
            for entry in self.current.replicas
            if entry.model == model
            and entry.state == _READY
            and (not adapter or adapter in entry.adapters)
        )

    async def wait_changed(self) -> None:
        """Return after the next change of the replicas."""
        await self._changed.wait()
