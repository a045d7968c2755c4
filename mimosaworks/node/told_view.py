"""What a holder told a node of the others, the targets and the tokens."""

import attrs

from mimosaworks.deployment import TargetEntry
from mimosaworks.node.change_log import apply_changes
from mimosaworks.node.conversions import target_of_row
from mimosaworks.wire import BeatReply, NodeRow

LEVELS_S = 0.5  # between two looks at the tokens that are left


@attrs.define(eq=False)
class ToldView:
    """Members and targets by name, and the tokens left by workspace.

    The versions are the holder's; levels_s is when the levels were told.
    """

    members: dict[str, NodeRow] = attrs.field(factory=dict)
    levels: dict[str, float] = attrs.field(factory=dict)
    targets: dict[str, TargetEntry] = attrs.field(factory=dict)
    members_version: int = 0
    targets_version: int = 0
    levels_s: float = 0

    def wants_levels(self, now: float) -> bool:
        """Tell whether the levels should be told anew."""
        return now - self.levels_s > LEVELS_S

    def take_over(self, reply: BeatReply, now: float) -> None:
        """Apply what has changed."""
        if reply.levels:
            self.levels_s = now
            self.levels = {left.workspace: left.cost for left in reply.levels}
        self.members_version = reply.members_version
        self.members = apply_changes(
            {} if reply.members_whole else self.members,
            {row.name: row for row in reply.members},
            reply.members_gone,
        )
        self.targets_version = reply.targets_version
        self.targets = apply_changes(
            {} if reply.targets_whole else self.targets,
            {row.name: target_of_row(row) for row in reply.targets},
            reply.targets_gone,
        )
