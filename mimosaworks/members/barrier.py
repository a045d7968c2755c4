"""The barrier that a version or a join passes before it is in force."""

from collections.abc import Set as AbstractSet

import attrs

from mimosaworks.clock import DRIFT
from mimosaworks.members.freshness import FRESHNESS_S
from mimosaworks.members.full_view import has_majority
from mimosaworks.members.member_id import MemberId
from mimosaworks.members.view import View

LAPSE_S = FRESHNESS_S * (1 + DRIFT)


@attrs.define
class Barrier:
    """Collects confirmations of a configuration version and a view version.

    view is read from the table after the commit, so that members which are
    not in it find the commit in their first read. started_s is after the
    commit and after the own process has the version in force.
    """

    started_s: float
    version: int
    view: View
    own: MemberId
    confirmed: set[MemberId] = attrs.field(factory=set)
    _views: dict[MemberId, int] = attrs.field(factory=dict)

    def on_ack(self, member: MemberId, version: int, view: int) -> None:
        """Note what a member has in force."""
        self._views[member] = view
        if version >= self.version and view >= self.view.version:
            self.confirmed.add(member)

    def known_view(self, member: MemberId) -> int:
        """Return the view version that a member is taken to have.

        A view in which nobody is joining has most likely reached it already.
        """
        assumed = 0 if self.view.joining_ids() else self.view.version
        return self._views.get(member, assumed)

    def unconfirmed(self) -> frozenset[MemberId]:
        """Return the other members whose confirmation is missing."""
        members = self.view.serving_ids() | self.view.joining_ids()
        return members - self.confirmed - {self.own}

    def is_passed(self, now_s: float, dead: AbstractSet[MemberId]) -> bool:
        """Whether the version is in force at every member that is fresh.

        Each of the others must have confirmed, be dead, or have lost its
        freshness meanwhile; a majority must have confirmed.
        """
        has_lapsed = now_s - self.started_s >= LAPSE_S
        if not has_lapsed and self.unconfirmed() - dead:
            return False
        voters = self.view.serving_ids()
        votes = voters & (self.confirmed | {self.own})
        return not voters or has_majority(len(votes), len(voters))
