"""Rates of workspaces over all VMs together."""

from collections.abc import Iterable, Mapping

import attrs

from mimosaworks.deployment import WorkspaceTerms
from mimosaworks.limits import Bucket


@attrs.frozen
class TokenWait:
    """When a request's tokens are there; is_taken once they are its own."""

    wait_s: float
    is_taken: bool


@attrs.define
class Limiter:
    """One bucket for each workspace with a rate.

    A bucket that is new holds the whole burst. Levels pass from one holder
    to the next, so that a change of holder gives nothing twice.
    """

    buckets: dict[str, Bucket] = attrs.field(factory=dict)

    def follow_terms(
        self, terms: Mapping[str, WorkspaceTerms], now: float
    ) -> None:
        """Follow the configured rates; a lower one binds from now on."""
        for name in self.buckets.keys() - terms.keys():
            self.buckets.pop(name)
        for workspace in terms.values():
            self._set_one(workspace, now)

    def cap_levels(self, levels: Mapping[str, float], now: float) -> None:
        """Lower the buckets to known levels."""
        for name, level in levels.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                bucket.advance(now)
                bucket.level = min(bucket.level, level)

    def levels(self, now: float) -> dict[str, float]:
        """Return the tokens of each workspace."""
        levels: dict[str, float] = {}
        for name, bucket in self.buckets.items():
            bucket.advance(now)
            levels[name] = bucket.level
        return levels

    def take(
        self, workspace: str, cost: float, now: float, patience_s: float = 0
    ) -> TokenWait:
        """Take a request's cost, now or within patience_s seconds.

        Tokens that are not there yet are taken in advance: the request has
        to wait until they are. A request larger than the burst passes when
        the bucket is full.
        """
        bucket = self.buckets.get(workspace)
        if bucket is None:
            return TokenWait(0, is_taken=True)
        bucket.advance(now)
        missing = min(cost, bucket.cap) - bucket.level
        wait_s = max(missing, 0) / bucket.rate
        is_taken = wait_s <= patience_s
        if is_taken:
            bucket.level -= cost
        return TokenWait(wait_s, is_taken=is_taken)

    def give_back(self, workspace: str, cost: float) -> None:
        """Return what a request took that did not run."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            bucket.put(cost)

    def charge(self, spent: Iterable[tuple[str, float]]) -> None:
        """Take what other processes spent on their own."""
        for workspace, cost in spent:
            bucket = self.buckets.get(workspace)
            if bucket is not None:
                bucket.level -= cost

    def _set_one(self, workspace: WorkspaceTerms, now: float) -> None:
        rate = workspace.rate
        if not rate:
            self.buckets.pop(workspace.name, None)
            return
        cap = max(workspace.burst, 1.0)
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            self.buckets[workspace.name] = Bucket(rate, cap, now, cap)
        else:
            bucket.advance(now)
            bucket.set_terms(rate, cap)
