"""Token rate limits of workspaces, over all VMs together."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import WorkspaceConfig
from mimosaworks.limits import TokenBucket


@attrs.frozen
class TokenAcquisition:
    """Whether a request's tokens were acquired, and when they are available."""

    wait_s: float
    is_acquired: bool


@attrs.define
class WorkspaceLimiter:
    """One token bucket for each workspace with a rate; used by the holder.

    A new bucket holds the whole burst. Token balances pass from one lease
    holder to the next, so that a change of holder grants nothing twice.
    """

    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def apply_workspaces(
        self, workspaces: Mapping[str, WorkspaceConfig], now: float
    ) -> None:
        """Apply the configured rates; a lower rate is in force at once."""
        for name in self.buckets.keys() - workspaces.keys():
            self.buckets.pop(name)
        for workspace in workspaces.values():
            self._apply_workspace(workspace, now)

    def cap_balances(self, balances: Mapping[str, float], now: float) -> None:
        """Lower the token balances to known ones."""
        for name, balance in balances.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                bucket.refill(now)
                bucket.level = min(bucket.level, balance)

    def current_balances(self, now: float) -> dict[str, float]:
        """Return the token balance of each workspace."""
        balances: dict[str, float] = {}
        for name, bucket in self.buckets.items():
            bucket.refill(now)
            balances[name] = bucket.level
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

    def _apply_workspace(self, workspace: WorkspaceConfig, now: float) -> None:
        rate = workspace.tokens_per_s
        if not rate:
            self.buckets.pop(workspace.name, None)
            return
        cap = max(workspace.burst_tokens, 1.0)
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            self.buckets[workspace.name] = TokenBucket(rate, cap, now, cap)
        else:
            bucket.refill(now)
            bucket.set_limits(rate, cap)
