"""The nodes that send heartbeats to the lease holder."""

import attrs

from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.node.heartbeat_times import (
    heartbeat_interval_s,
    member_timeout_s,
)
from mimosaworks.node.rate_shares import RateShares
from mimosaworks.wire import NodeRow


@attrs.define(eq=False)
class Members:
    """All nodes that send heartbeats, and when each one's last arrived."""

    row_log: ChangeLog[NodeRow] = attrs.field(factory=ChangeLog)
    shares: RateShares = attrs.field(factory=RateShares)
    _last_heartbeat_s: dict[str, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._last_heartbeat_s)

    def heartbeat_interval_s(self) -> float:
        """Return the interval of a node's heartbeats, in seconds."""
        return heartbeat_interval_s(len(self))

    def record_heartbeat(self, node_row: NodeRow, now: float) -> None:
        """Record a node's heartbeat and its row."""
        self._last_heartbeat_s[node_row.name] = now
        if self.row_log.set_row(node_row.name, node_row):
            log_event(
                Event.MEMBER_JOINED,
                node=node_row.name,
                front=node_row.front_address,
                is_stopping=node_row.is_stopping,
            )

    def remove_silent_members(self, now: float) -> frozenset[str]:
        """Remove and return the nodes whose heartbeats have stopped."""
        timeout_s = member_timeout_s(len(self))
        lost_members = frozenset(
            name
            for name, last_heartbeat_s in self._last_heartbeat_s.items()
            if now - last_heartbeat_s > timeout_s
        )
        for name in lost_members:
            silent_s = now - self._last_heartbeat_s.pop(name)
            if self.row_log.rows[name].is_stopping:
                self.shares.forget_node(name)
            self.row_log.remove_row(name)
            log_event(Event.MEMBER_LOST, node=name, silent_s=silent_s)
        return lost_members
