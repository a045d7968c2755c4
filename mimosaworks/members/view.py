"""The members at one version of the membership."""

from collections.abc import Iterable

import attrs

from mimosaworks.members.member import Member
from mimosaworks.members.member_id import MemberId
from mimosaworks.members.role import MemberRole
from mimosaworks.members.state import MemberState
from mimosaworks.wire import MemberRow


@attrs.frozen
class View:
    """All members that have not stopped, as of a membership version.

    Each join, change of state and removal makes a new version; heartbeats do
    not.
    """

    version: int = 0
    members: tuple[Member, ...] = ()

    def find(self, address: str) -> Member | None:
        """Return the member at an address, if there is one."""
        found = (peer for peer in self.members if peer.address == address)
        return next(found, None)

    def serving_ids(self) -> frozenset[MemberId]:
        """Return the members whose majority counts."""
        return frozenset(peer.id for peer in self.members if peer.is_serving)

    def joining_ids(self) -> frozenset[MemberId]:
        """Return the members that have not completed their join."""
        return frozenset(
            peer.id for peer in self.members if not peer.is_serving
        )

    def to_rows(self) -> tuple[MemberRow, ...]:
        """Return the members as parts of a message."""
        return tuple(map(_to_row, self.members))


def view_of(version: int, members: Iterable[Member]) -> View:
    """Return the view without stopped members, in order of address."""
    kept = (peer for peer in members if peer.state != MemberState.STOPPED)
    return View(version, tuple(sorted(kept, key=lambda peer: peer.address)))


def view_from_rows(version: int, rows: Iterable[MemberRow]) -> View:
    """Return the view that a message holds."""
    return view_of(version, map(_from_row, rows))


def _to_row(member: Member) -> MemberRow:
    return MemberRow(
        member.address,
        member.http_address,
        member.role.value,
        member.data_centre,
        member.boot_nonce,
        member.state.value,
    )


def _from_row(row: MemberRow) -> Member:
    return Member(
        row.address,
        row.http_address,
        MemberRole(row.role),
        row.data_centre,
        row.boot_nonce,
        MemberState(row.state),
    )
