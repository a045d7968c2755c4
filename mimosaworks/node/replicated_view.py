"""What the lease holder last reported of nodes, targets and tokens."""

import math

import attrs

from mimosaworks.deployment import TargetEntry, TargetState
from mimosaworks.node.change_log import apply_changes
from mimosaworks.node.conversions import target_entry_from
from mimosaworks.wire import BeatReply, NodeRow

BALANCES_INTERVAL_S = 0.5


@attrs.define(eq=False)
class ReplicatedView:
    """A node's copy of members and targets by name, and of token balances.

    The balances are by workspace; balances_received_s is when they came. The
    versions are the holder's; targets_as_of_s is when the holder's view of the
    targets was read. silent_since_s has the nodes that may have a share of the
    rates, though the holder does not hear them. Times are on this process's
    clock.
    """

    members: dict[str, NodeRow] = attrs.field(factory=dict)
    token_balances: dict[str, float] = attrs.field(factory=dict)
    targets: dict[str, TargetEntry] = attrs.field(factory=dict)
    members_version: int = 0
    targets_version: int = 0
    targets_as_of_s: float = 0
    balances_received_s: float = 0
    silent_since_s: dict[str, float] = attrs.field(factory=dict)

    def needs_balances(self, now: float) -> bool:
        """Return whether the token balances should be requested again."""
        return now - self.balances_received_s > BALANCES_INTERVAL_S

    def sharing_nodes(self) -> frozenset[str]:
        """Return the nodes that have a share of each rate."""
        running = {
            name for name, row in self.members.items() if not row.is_stopping
        }
        return frozenset(running | self.silent_since_s.keys())

    def apply_reply(self, reply: BeatReply, now: float) -> None:
        """Apply the changes in the holder's answer to a heartbeat."""
        if reply.levels:
            self.balances_received_s = now
            self.token_balances = {
                balance.workspace: balance.cost for balance in reply.levels
            }
        self.silent_since_s = {
            name: self.silent_since_s.get(name, now) for name in reply.silent
        }
        self.members_version = reply.members_version
        self.members = apply_changes(
            {} if reply.members_whole else self.members,
            {row.name: row for row in reply.members},
            reply.members_gone,
        )
        self.targets_version = reply.targets_version
        self.targets_as_of_s = now - reply.view_age_s
        self.targets = apply_changes(
            {} if reply.targets_whole else self.targets,
            {
                row.name: self._with_notice(target_entry_from(row, now))
                for row in reply.targets
            },
            reply.targets_gone,
        )

    def misses_notices(self, node: str) -> bool:
        """Return whether targets leave, and the holder does not tell when.

        Holders of earlier releases drop that, as well as a field of the row of
        this node.
        """
        row = self.members.get(node)
        if row is None or row.judges_ends:
            return False
        return any(
            entry.state is TargetState.DRAINING
            and entry.leaves_at_s == math.inf
            for entry in self.targets.values()
        )

    def _with_notice(self, entry: TargetEntry) -> TargetEntry:
        """Return an entry with the notice that another holder told."""
        known = self.targets.get(entry.name)
        if known is None or known.incarnation != entry.incarnation:
            return entry
        leaves_at_s = min(entry.leaves_at_s, known.leaves_at_s)
        return attrs.evolve(entry, leaves_at_s=leaves_at_s)
