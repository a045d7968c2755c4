"""The router's copy of the replica map."""

import asyncio

import attrs

from mimosaworks.wire import ReplicaEntry, ReplicaMap

_READY = 'ready'


@attrs.define
class ReplicaTable:
    """The latest replica map from the placement shard's holder.

    Maps are ordered by fencing number, then sequence; older ones are dropped,
    so a former holder can't overwrite its successor's map.
    """

    current_map: ReplicaMap = ReplicaMap(0, 0, '')
    _change_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def apply_map(self, received: ReplicaMap) -> bool:
        """Apply a map if it is not older; return whether it was applied."""
        current_order = (self.current_map.fence, self.current_map.sequence)
        if (received.fence, received.sequence) < current_order:
            return False
        has_changed = received.replicas != self.current_map.replicas
        self.current_map = received
        if has_changed:
            self.notify_waiters()
        return True

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    def ready_replicas(
        self, model: str, adapter: str
    ) -> tuple[ReplicaEntry, ...]:
        """Return the replicas that can serve the model and adapter now."""
        return tuple(
            entry
            for entry in self.current_map.replicas
            if entry.model == model
            and entry.state == _READY
            and (not adapter or adapter in entry.adapters)
        )

    async def wait_for_change(self) -> None:
        """Return after the next change of the replicas."""
        await self._change_event.wait()
