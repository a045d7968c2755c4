"""The nodes that send beats to the holder."""

import attrs

from mimosaworks.events import Event, log_event
from mimosaworks.node.beat_times import beat_interval_s, member_lost_s
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.wire import NodeRow


@attrs.define(eq=False)
class Members:
    """All nodes that send beats, and when the last one of each came."""

    log: ChangeLog[NodeRow] = attrs.field(factory=ChangeLog)
    _heard_s: dict[str, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._heard_s)

    def interval_s(self) -> float:
        """Return the pause between two beats of a node."""
        return beat_interval_s(len(self))

    def note(self, row: NodeRow, now: float) -> None:
        """Note a beat."""
        self._heard_s[row.name] = now
        if self.log.set(row.name, row):
            log_event(
                Event.MEMBER_JOINED,
                node=row.name,
                front=row.front_address,
                is_stopping=row.is_stopping,
            )

    def drop_silent(self, now: float) -> frozenset[str]:
        """Remove and return the nodes that fell silent."""
        longest_s = member_lost_s(len(self))
        lost = frozenset(
            name
            for name, heard_s in self._heard_s.items()
            if now - heard_s > longest_s
        )
        for name in lost:
            silent_s = now - self._heard_s.pop(name)
            self.log.drop(name)
            log_event(Event.MEMBER_LOST, node=name, silent_s=silent_s)
        return lost
