"""A member's accounts of all workspaces, by grants and holder sets."""

from collections.abc import Collection, Mapping

import attrs

from mimosaworks.entities import Workspace
from mimosaworks.limits.account import Account
from mimosaworks.limits.bucket import Bucket
from mimosaworks.limits.escrow import Share
from mimosaworks.limits.holder_sets import HolderSets
from mimosaworks.limits.planner import Terms

REMOVED_KEPT_S = 3600.0  # a workspace that comes back sooner starts empty


@attrs.define
class AccountBook:
    """Gives each account its part of the workspace's grant.

    nominal_part is a holder's part under the latest set; present_part the
    member's own now, smaller while a change of the set is under way. latest
    is the latest time seen, in seconds of the member's clock.
    """

    sets: HolderSets
    accounts: dict[str, Account] = attrs.field(factory=dict)
    removed: dict[str, float] = attrs.field(factory=dict)
    nominal_part: float = 0
    present_part: float = 0
    has_grants: bool = False
    latest: float = 0

    def tick(self, now: float) -> float:
        """Grow or shrink the shares if due; return the time to decide by.

        A clock that steps backwards stands still for all decisions.
        """
        self.latest = max(self.latest, now)
        part = self.sets.part(self.latest)
        if part != self.present_part:
            self.present_part = part
            for account in self.accounts.values():
                self._set_share(account)
        return self.latest

    def set_grants(
        self, workspaces: Mapping[str, Workspace], now: float
    ) -> None:
        """Take over rates and bursts.

        A workspace that is new in a running system starts with a full share;
        all that a starting process finds start empty, since it may have
        spent its shares before a crash.
        """
        now = self.tick(now)
        for name, workspace in workspaces.items():
            self._set_grant(name, workspace, now)
        for gone in self.accounts.keys() - workspaces.keys():
            self._remove(gone, now)
        self.has_grants = True

    def learn_holders(self, epoch: int, addresses: Collection[str]) -> bool:
        """Learn the holder set of an epoch; return whether it was news."""
        if not self.sets.learn(epoch, addresses):
            return False
        self.nominal_part = 1 / len(addresses)
        for account in self.accounts.values():
            account.terms = attrs.evolve(account.terms, part=self.nominal_part)
        return True

    def _set_grant(self, name: str, workspace: Workspace, now: float) -> None:
        grant = (workspace.rate_tokens_per_s, workspace.burst_tokens)
        terms = Terms(*grant, self.nominal_part)
        account = self.accounts.get(name)
        if account is None:
            share = Share(Bucket(0, 0, now), 0)
            self.accounts[name] = Account(name, terms, share)
            self._set_share(self.accounts[name])
            share.bucket.level = share.cap if self.has_grants else 0
        elif (account.terms.rate, account.terms.burst) != grant:
            # A grant under the old terms must not outlive them.
            account.share.void_transfers()
            account.open_asks.clear()
            account.terms = terms
            self._set_share(account)
        self.removed.pop(name, None)

    def _set_share(self, account: Account) -> None:
        terms = account.terms
        rate = terms.rate * self.present_part
        cap = terms.burst * self.present_part
        account.share.set_terms(rate, cap, self.latest)

    def _remove(self, name: str, now: float) -> None:
        account = self.accounts[name]
        removed_at = self.removed.setdefault(name, now)
        if removed_at == now:
            account.terms = Terms(0, 0, 0)
            account.share.void_transfers()
            account.share.set_terms(0, 0, now)
        if now - removed_at > REMOVED_KEPT_S and not account.queue:
            self.removed.pop(name)
            self.accounts.pop(name)
