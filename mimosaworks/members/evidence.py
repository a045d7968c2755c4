"""Evidence that a member is dead."""

import math
from typing import Any

import attrs

from mimosaworks.members.member_id import MemberId

HEARTBEAT_S = 10.0
DEAD_AFTER_S = 15.0
REFUSED_FOR_S = 0.4


@attrs.define
class Evidence:
    """Collects what proves that members are dead; silence proves nothing.

    A member's port is open from before its registration until its end, so a
    refused connection means that the process has ended. While the table can
    be read, the heartbeat in the member's row must stand still as well.
    dead_since_s maps the dead to the time at which that became known. Only
    questions count that were sent after the member was first seen: an earlier
    one may have reached its predecessor at the same address.
    """

    dead_since_s: dict[MemberId, float] = attrs.field(factory=dict)
    _seen_since_s: dict[MemberId, float] = attrs.field(factory=dict)
    _refused_since_s: dict[MemberId, float] = attrs.field(factory=dict)
    _heartbeats: dict[MemberId, int] = attrs.field(factory=dict)

    def on_answer(
        self, asked_s: float, now_s: float, member: MemberId, boot_nonce: str
    ) -> None:
        """Note an answer, from the member's address, to a question."""
        if boot_nonce == member.boot_nonce:
            self._refused_since_s.pop(member, None)
        elif self._is_of_member(asked_s, member):
            # Another process holds the port, so this one has ended.
            self.dead_since_s.setdefault(member, now_s)

    def on_refused(
        self,
        asked_s: float,
        now_s: float,
        member: MemberId,
        *,
        is_table_down: bool,
    ) -> None:
        """Note a refused connection to the member's port."""
        if not self._is_of_member(asked_s, member):
            return
        since_s = self._refused_since_s.setdefault(member, now_s)
        needed_s = REFUSED_FOR_S if is_table_down else DEAD_AFTER_S
        has_heartbeat = is_table_down or member in self._heartbeats
        if has_heartbeat and now_s - since_s >= needed_s:
            self.dead_since_s.setdefault(member, now_s)

    def on_heartbeat(self, member: MemberId, heartbeat: int) -> None:
        """Note the heartbeat in a suspect's row."""
        previous = self._heartbeats.get(member)
        self._heartbeats[member] = heartbeat
        if previous is not None and heartbeat != previous:
            self._refused_since_s.pop(member, None)

    def on_gone(self, now_s: float, member: MemberId) -> None:
        """Note that the platform lists the member's VM as gone."""
        self.dead_since_s.setdefault(member, now_s)

    def set_members(self, now_s: float, members: frozenset[MemberId]) -> None:
        """Take over the members of a newer view; forget all others."""
        for member in members:
            self._seen_since_s.setdefault(member, now_s)
        known: tuple[dict[MemberId, Any], ...] = (
            self.dead_since_s,
            self._seen_since_s,
            self._refused_since_s,
            self._heartbeats,
        )
        for notes in known:
            for member in notes.keys() - members:
                notes.pop(member)

    def _is_of_member(self, asked_s: float, member: MemberId) -> bool:
        return asked_s >= self._seen_since_s.get(member, math.inf)
