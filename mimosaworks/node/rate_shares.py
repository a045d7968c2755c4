"""Which nodes use their shares of workspaces' rates through the holder."""

import attrs

from mimosaworks.dispatch.workspace_limiter import WorkspaceLimiter
from mimosaworks.node.heartbeat_times import (
    HOLDER_TIMEOUT_S,
    MIN_MEMBER_TIMEOUT_S,
    heartbeat_interval_s,
)

# Nothing tells a node that ended from one that is cut off. Longer than most
# cuts.
MAX_WITHHELD_S = 30.0


@attrs.define(eq=False)
class RateShares:
    """The nodes that have a share of each rate: heard ones and silent ones.

    A silent node may use its share by itself, or through another holder. A
    heard one has had an answer of this holder lately: a node that is cut off
    one way counts as one that is cut off both ways. Times are in seconds.
    """

    _heard_s: dict[str, float] = attrs.field(factory=dict)
    _silent_since_s: dict[str, float] = attrs.field(factory=dict)
    _unconfirmed: set[str] = attrs.field(factory=set)

    def __len__(self) -> int:
        return len(self._heard_s) + len(self._silent_since_s)

    def silent_nodes(self) -> frozenset[str]:
        """Return the nodes whose shares are withheld."""
        return frozenset(self._silent_since_s)

    def expect_node(self, node: str, silent_since_s: float) -> None:
        """Add a node that the last holder knew and this one has not heard."""
        if node not in self._heard_s:
            self._silent_since_s.setdefault(node, silent_since_s)

    def record_heartbeat(
        self, node: str, now: float, *, is_confirmed: bool
    ) -> float:
        """Record a heartbeat; return for how long the node was silent.

        is_confirmed tells whether the node has had an answer of this holder.
        Without one, only its first heartbeat counts.
        """
        if is_confirmed:
            self._unconfirmed.discard(node)
        elif node in self._unconfirmed:
            return 0
        else:
            self._unconfirmed.add(node)
        self._heard_s[node] = now
        return now - self._silent_since_s.pop(node, now)

    def withhold_from(self, limiter: WorkspaceLimiter, now: float) -> None:
        """Withhold the shares that silent nodes may use themselves."""
        self.update_silent(now)
        limiter.withhold_shares(self.silent_nodes(), max(len(self), 1), now)

    def settle_heartbeat(
        self,
        limiter: WorkspaceLimiter,
        node: str,
        now: float,
        *,
        is_confirmed: bool,
    ) -> bool:
        """Grant a node's share again; return whether to charge its spending.

        After a longer silence both sides keep what they had: the node may
        also have spent by another holder, which it does not say.
        """
        silent_s = self.record_heartbeat(node, now, is_confirmed=is_confirmed)
        is_settled = silent_s <= MIN_MEMBER_TIMEOUT_S
        if is_settled and node not in self._silent_since_s:
            limiter.return_share(node, now)
        self.withhold_from(limiter, now)
        return is_settled

    def forget_node(self, node: str) -> None:
        """Forget a node that has stopped as planned."""
        self._heard_s.pop(node, None)
        self._silent_since_s.pop(node, None)
        self._unconfirmed.discard(node)

    def update_silent(self, now: float) -> None:
        """Find the nodes that are no longer heard, or silent for too long."""
        timeout_s = HOLDER_TIMEOUT_S + heartbeat_interval_s(len(self))
        for node, heard_s in tuple(self._heard_s.items()):
            if now - heard_s > timeout_s:
                self._heard_s.pop(node)
                self._silent_since_s[node] = now
        for name, since_s in tuple(self._silent_since_s.items()):
            if now - since_s > MAX_WITHHELD_S:
                self.forget_node(name)
