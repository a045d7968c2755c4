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


def note_member(members: dict[str, Member], row: NodeRow, now: float) -> None:
    """Note a beat."""
    known = members.get(row.name)
    if known is None or known.row != row:
        log_event(
            Event.MEMBER_JOINED,
            node=row.name,
            front=row.front_address,
            is_stopping=row.is_stopping,
        )
    members[row.name] = Member(row, now)


def drop_silent(members: dict[str, Member], now: float) -> frozenset[str]:
    """Remove and return the nodes that fell silent."""
    lost = frozenset(
        name
        for name, member in members.items()
        if now - member.heard_s > MEMBER_LOST_S
    )
    for name in lost:
        silent_s = now - members.pop(name).heard_s
        log_event(Event.MEMBER_LOST, node=name, silent_s=silent_s)
    return lost
