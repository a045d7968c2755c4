"""The workspace accounts of one member, sized by grants and holder sets."""

from collections.abc import Collection, Mapping

import attrs

from mimosaworks.entities import Workspace
from mimosaworks.limits.escrow import TokenShare
from mimosaworks.limits.holder_sets import HolderSets
from mimosaworks.limits.planner import GrantTerms
from mimosaworks.limits.token_bucket import TokenBucket
from mimosaworks.limits.workspace_account import WorkspaceAccount

# A removed workspace that is added again within this time starts empty
# instead of with a full share.
REMOVED_ACCOUNT_TTL_S = 3600.0


@attrs.define
class AccountRegistry:
    """All workspace accounts of a member, used by its token allocator.

    Each account has the member's fraction of the workspace's grant.
    nominal_fraction is a holder's fraction under the latest holder set;
    current_fraction is the member's own, which is smaller while a change of
    the set is under way. removed_at has the times at which workspaces were
    removed. latest_time is the latest time seen, in seconds of the member's
    clock.
    """

    holder_sets: HolderSets
    accounts: dict[str, WorkspaceAccount] = attrs.field(factory=dict)
    removed_at: dict[str, float] = attrs.field(factory=dict)
    nominal_fraction: float = 0
    current_fraction: float = 0
    has_received_grants: bool = False
    latest_time: float = 0

    def advance_clock(self, now: float) -> float:
        """Resize the shares if due, and return the time for decisions.

        The returned time never goes back: when the clock steps backwards, it
        is the latest time seen.
        """
        self.latest_time = max(self.latest_time, now)
        fraction = self.holder_sets.current_fraction(self.latest_time)
        if fraction != self.current_fraction:
            self.current_fraction = fraction
            for account in self.accounts.values():
                self._update_share(account)
        return self.latest_time

    def set_grants(
        self, workspaces: Mapping[str, Workspace], now: float
    ) -> None:
        """Apply the rates and bursts of all workspaces.

        A workspace that is added while the process runs starts with a full
        share. The ones in the first call start empty, since the process may
        have spent its shares before a crash.
        """
        now = self.advance_clock(now)
        for name, workspace in workspaces.items():
            self._set_grant(name, workspace, now)
        for removed_name in self.accounts.keys() - workspaces.keys():
            self._remove_account(removed_name, now)
        self.has_received_grants = True

    def add_holder_set(self, epoch: int, addresses: Collection[str]) -> bool:
        """Record an epoch's holder set; return False if it is not newer."""
        if not self.holder_sets.add_epoch(epoch, addresses):
            return False
        self.nominal_fraction = 1 / len(addresses)
        for account in self.accounts.values():
            account.terms = attrs.evolve(
                account.terms, fraction=self.nominal_fraction
            )
        return True

    def _set_grant(self, name: str, workspace: Workspace, now: float) -> None:
        rate_and_burst = (workspace.rate_tokens_per_s, workspace.burst_tokens)
        terms = GrantTerms(*rate_and_burst, self.nominal_fraction)
        account = self.accounts.get(name)
        if account is None:
            share = TokenShare(TokenBucket(0, 0, now), 0)
            self.accounts[name] = WorkspaceAccount(name, terms, share)
            self._update_share(self.accounts[name])
            share.bucket.level = share.cap if self.has_received_grants else 0
        elif (account.terms.rate, account.terms.burst) != rate_and_burst:
            # Tokens granted under the old terms must not be used under the new.
            account.share.discard_transfers()
            account.open_transfers.clear()
            account.terms = terms
            self._update_share(account)
        self.removed_at.pop(name, None)

    def _update_share(self, account: WorkspaceAccount) -> None:
        terms = account.terms
        rate = terms.rate * self.current_fraction
        cap = terms.burst * self.current_fraction
        account.share.set_limits(rate, cap, self.latest_time)

    def _remove_account(self, name: str, now: float) -> None:
        account = self.accounts[name]
        removed_at = self.removed_at.setdefault(name, now)
        if removed_at == now:
            account.terms = GrantTerms(0, 0, 0)
            account.share.discard_transfers()
            account.share.set_limits(0, 0, now)
        if now - removed_at > REMOVED_ACCOUNT_TTL_S and not account.queue:
            self.removed_at.pop(name)
            self.accounts.pop(name)
