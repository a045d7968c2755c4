"""Token rate limits of workspaces, over all VMs together."""

from collections.abc import Iterable, Mapping, Set

import attrs

from mimosaworks.deployment import WorkspaceConfig
from mimosaworks.limits import TokenBucket


@attrs.frozen
class TokenAcquisition:
    """Whether a request's tokens were acquired, and when they are available."""

    wait_s: float
    is_acquired: bool


@attrs.frozen
class _WithheldShare:
    """A node's share of all rates, with its part of each balance then."""

    since_s: float
    balances: dict[str, float]


@attrs.define
class WorkspaceLimiter:
    """One token bucket for each workspace with a rate; used by the holder.

    A new bucket holds the whole burst. Token balances pass from one lease
    holder to the next, so that a change of holder grants nothing twice.
    The shares of nodes that may grant beside this process are withheld.
    """

    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)
    _workspaces: dict[str, WorkspaceConfig] = attrs.field(factory=dict)
    _withheld: dict[str, _WithheldShare] = attrs.field(factory=dict)
    _node_count: int = 1

    @property
    def granted_share(self) -> float:
        """The share of all rates that is granted here, of 1 at most."""
        granting = max(self._node_count - len(self._withheld), 1)
        return granting / self._node_count

    def apply_workspaces(
        self, workspaces: Mapping[str, WorkspaceConfig], now: float
    ) -> None:
        """Apply the configured rates; a lower rate is in force at once."""
        for name in self.buckets.keys() - workspaces.keys():
            self.buckets.pop(name)
        self._workspaces = dict(workspaces)
        for workspace in workspaces.values():
            self._apply_workspace(workspace, now)

    def withhold_shares(
        self, nodes: Set[str], node_count: int, now: float
    ) -> None:
        """Withhold the shares of these nodes, of node_count with one each.

        The share of another node that was withheld is granted again.
        """
        if nodes == self._withheld.keys() and node_count == self._node_count:
            return
        for bucket in self.buckets.values():
            bucket.refill(now)
        added = nodes - self._withheld.keys()
        self._withheld = {
            name: withheld
            for name, withheld in self._withheld.items()
            if name in nodes
        } | dict.fromkeys(added, self._take_share(len(added), node_count, now))
        self._node_count = max(node_count, 1)
        for workspace in self._workspaces.values():
            self._apply_workspace(workspace, now)

    def return_share(self, node: str, now: float) -> None:
        """Grant a node's share here again, with what has come in since."""
        withheld = self._withheld.get(node)
        if withheld is None:
            return
        others = self._withheld.keys() - {node}
        self.withhold_shares(others, self._node_count, now)
        passed_s = now - withheld.since_s
        for name, bucket in self.buckets.items():
            workspace = self._workspaces[name]
            grown = workspace.tokens_per_s * passed_s / self._node_count
            most = workspace.burst_tokens / self._node_count
            balance = withheld.balances.get(name, 0)
            bucket.add_tokens(min(balance + grown, most))

    def cap_balances(self, balances: Mapping[str, float], now: float) -> None:
        """Lower the token balances to known ones."""
        for name, balance in balances.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                bucket.refill(now)
                bucket.level = min(bucket.level, balance)

    def current_balances(self, now: float) -> dict[str, float]:
        """Return the token balance of each workspace, as of all shares."""
        balances: dict[str, float] = {}
        for name, bucket in self.buckets.items():
            bucket.refill(now)
            # Of a balance the nodes that are withheld have a part, not of a
            # debt.
            share = self.granted_share if bucket.level > 0 else 1
            balances[name] = bucket.level / share
        return balances

    def acquire(
        self, workspace: str, cost: float, now: float, max_wait_s: float = 0
    ) -> TokenAcquisition:
        """Acquire a request's tokens if they are available in time.

        The caller of this method gives the longest wait in seconds. Tokens
        that are not available yet are acquired in advance: the request has
        to wait until they are. A request larger than the burst passes when
        the bucket is full.
        """
        bucket = self.buckets.get(workspace)
        if bucket is None:
            return TokenAcquisition(0, is_acquired=True)
        bucket.refill(now)
        missing_tokens = min(cost, bucket.cap) - bucket.level
        wait_s = max(missing_tokens, 0) / bucket.rate
        is_acquired = wait_s <= max_wait_s
        if is_acquired:
            bucket.level -= cost
        return TokenAcquisition(wait_s, is_acquired=is_acquired)

    def refund(self, workspace: str, cost: float) -> None:
        """Refund the tokens of a request that did not run."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            bucket.add_tokens(cost)

    def charge(self, charged_tokens: Iterable[tuple[str, float]]) -> None:
        """Charge the tokens that standalone nodes used."""
        for workspace, cost in charged_tokens:
            bucket = self.buckets.get(workspace)
            if bucket is not None:
                bucket.level -= cost

    def _take_share(
        self, taker_count: int, node_count: int, now: float
    ) -> _WithheldShare:
        """Take each new taker's part of the balances; return one part."""
        share = min(
            1 / (node_count * self.granted_share), 1 / (taker_count + 1)
        )
        balances: dict[str, float] = {}
        for name, bucket in self.buckets.items():
            balances[name] = max(bucket.level, 0) * share
            bucket.level -= balances[name] * taker_count
        return _WithheldShare(now, balances)

    def _apply_workspace(self, workspace: WorkspaceConfig, now: float) -> None:
        rate = workspace.tokens_per_s * self.granted_share
        if not rate:
            self.buckets.pop(workspace.name, None)
            return
        cap = max(workspace.burst_tokens, 1.0) * self.granted_share
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            self.buckets[workspace.name] = TokenBucket(rate, cap, now, cap)
        else:
            bucket.refill(now)
            bucket.set_limits(rate, cap)
