"""The nodes that send beats to the holder."""

import attrs

from mimosaworks.events import Event, log_event
from mimosaworks.wire import NodeRow

MEMBER_LOST_S = 2.0  # some beats


@attrs.define(eq=False)
class Member:
    """A node, and when its last beat came."""

    row: NodeRow
    heard_s: float


@attrs.define(eq=False)
class Members:
    """All nodes that send beats; version grows with each change."""

    version: int = 0
    _known: dict[str, Member] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._known)

    def rows(self) -> tuple[NodeRow, ...]:
        """Return what the nodes say of themselves."""
        return tuple(member.row for member in self._known.values())

    def note(self, row: NodeRow, now: float) -> None:
        """Note a beat."""
        known = self._known.get(row.name)
        if known is None or known.row != row:
            self.version += 1
            log_event(
                Event.MEMBER_JOINED,
                node=row.name,
                front=row.front_address,
                is_stopping=row.is_stopping,
            )
        self._known[row.name] = Member(row, now)

    def drop_silent(self, now: float) -> frozenset[str]:
        """Remove and return the nodes that fell silent."""
        lost = frozenset(
            name
            for name, member in self._known.items()
            if now - member.heard_s > MEMBER_LOST_S
        )
        for name in lost:
            silent_s = now - self._known.pop(name).heard_s
            log_event(Event.MEMBER_LOST, node=name, silent_s=silent_s)
        self.version += bool(lost)
        return lost
