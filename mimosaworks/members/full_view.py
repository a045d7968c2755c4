"""What the answers of all other members say during a table outage."""

import math
from collections.abc import Mapping

import attrs

from mimosaworks.members.member_id import MemberId
from mimosaworks.members.view import View


@attrs.define
class FullView:
    """The newest answer of each other member that had nothing newer.

    All writers are members. A writer that answers after a time has not begun
    to publish a newer version before it, and an acceptance takes longer than
    the freshness that an answer can give.
    """

    _asked_s: dict[MemberId, float] = attrs.field(factory=dict)

    def on_answer(self, asked_s: float, member: MemberId) -> None:
        """Note an answer to a question that was sent at asked_s."""
        previous_s = self._asked_s.get(member, -math.inf)
        self._asked_s[member] = max(previous_s, asked_s)

    def basis_s(
        self,
        now_s: float,
        view: View,
        own: MemberId,
        dead_since_s: Mapping[MemberId, float],
    ) -> float:
        """Return a time before which no newer version can be accepted.

        Minus infinity unless every other member not known dead has answered,
        and enough of them have a vote.
        """
        others = view.serving_ids() | view.joining_ids()
        alive = others - dead_since_s.keys() - {own}
        if not alive <= self._asked_s.keys():
            return -math.inf
        basis_s = min([now_s, *(self._asked_s[member] for member in alive)])
        if not _is_majority(view, alive | {own}):
            return -math.inf
        # A writer that died after the questions were sent may have had a
        # change accepted by members that had answered before.
        known_s = max(
            (dead_since_s[member] for member in others & dead_since_s.keys()),
            default=-math.inf,
        )
        return basis_s if known_s <= basis_s else -math.inf


def has_majority(votes: int, voters: int) -> bool:
    """Whether the votes are more than half."""
    return votes * 2 > voters


def _is_majority(view: View, known: frozenset[MemberId]) -> bool:
    # Members that the view shows as joining may have completed their join
    # since, and then have voted; those that are dead count as voters that
    # are missing.
    serving = view.serving_ids()
    missing = view.joining_ids() - known
    voters = len(serving) + len(missing)
    return has_majority(len(serving & known), voters)
