"""A member's token shares of all workspaces, free of I/O."""

from collections.abc import Collection

import attrs

from mimosaworks.limits.account import ASK_PATIENCE_S, Account, Waiter
from mimosaworks.limits.book import AccountBook
from mimosaworks.limits.decisions import Decisions, PeerAsk, Receipt
from mimosaworks.limits.holder_sets import HolderSets
from mimosaworks.limits.planner import PeerBalances
from mimosaworks.wire import (
    TokenAsk,
    TokenBalance,
    TokenBalances,
    TokenGrant,
)

REPORT_PART = 0.25  # of a share's cap; smaller deviations are not reported
DEBT_PARTS = 4  # a reported debt is at most so many caps


@attrs.define
class TokenHolder:
    """Decides for one member; the caller passes time and messages.

    nonce differs at each start, so that no transfer's name comes twice.
    Times are seconds of the member's clock.
    """

    address: str
    nonce: str
    book: AccountBook = attrs.field(init=False)
    balances: PeerBalances = attrs.field(factory=PeerBalances)
    touched: set[str] = attrs.field(factory=set)
    transfers: int = 0

    def __attrs_post_init__(self) -> None:
        self.book = AccountBook(HolderSets(self.address))

    def set_holders(
        self, epoch: int, addresses: Collection[str], now: float
    ) -> None:
        """Learn the holder set of an epoch; shares shrink at once."""
        if self.book.learn_holders(epoch, addresses):
            self.balances.replace_peers(set(addresses) - {self.address})
        self.book.tick(now)

    def confirm_holders(self, epoch: int, now: float) -> None:
        """Learn that all holders go by an epoch, so that shares may grow."""
        self.book.sets.confirm(epoch, self.book.tick(now))

    def try_take(
        self, workspace: str, tokens: float, now: float
    ) -> Receipt | None:
        """Take tokens at once unless other requests wait for some."""
        account = self.book.accounts.get(workspace)
        if account is None or account.queue:
            return None
        serial = account.share.take(tokens, self.book.tick(now))
        if serial is None:
            return None
        self.touched.add(workspace)
        return Receipt(workspace, tokens, serial)

    def arrive(self, workspace: str, waiter: Waiter) -> None:
        """Queue a request for tokens; poll tells when it has them."""
        account = self.book.accounts[workspace]
        account.queue.append(waiter)
        self.touched.add(workspace)

    def withdraw(self, workspace: str, ticket: int) -> None:
        """Forget a request that no longer waits."""
        account = self.book.accounts[workspace]
        for waiter in tuple(account.queue):
            if waiter.ticket == ticket:
                account.queue.remove(waiter)

    def put_back(self, receipt: Receipt, unused: float, now: float) -> float:
        """Return a request's unused tokens; give how many were kept."""
        account = self.book.accounts.get(receipt.workspace)
        if account is None:
            return 0
        self.touched.add(receipt.workspace)
        return account.share.put_back(
            receipt.serial, unused, self.book.tick(now)
        )

    def predict_wait_s(
        self, workspace: str, tokens: float, now: float
    ) -> float:
        """Return how long a request would wait, in seconds; inf for ever."""
        account = self.book.accounts.get(workspace)
        if account is None:
            return float('inf')
        return account.predict_wait_s(
            tokens, self.balances, self.book.tick(now)
        )

    def poll(self, workspace: str, now: float) -> Decisions:
        """Serve and refuse a workspace's requests, and plan what to ask."""
        now = self.book.tick(now)
        decisions = Decisions()
        account = self.book.accounts[workspace]
        if not account.queue:
            return decisions
        account.drop_late(self.balances, now, decisions)
        account.dispatch(now, decisions)
        plan = account.plan(self.balances, now, decisions)
        for peer, tokens in plan.items():
            ask = self._ask(account, peer, tokens, now)
            decisions.asks.append(PeerAsk(peer, ask))
            decisions.decide_again(now + ASK_PATIENCE_S)
        self.touched.add(workspace)
        return decisions

    def on_ask(self, ask: TokenAsk, now: float) -> TokenGrant:
        """Give a peer what can be spared, if both go by the same terms."""
        now = self.book.tick(now)
        account = self.book.accounts.get(ask.workspace)
        if account is None:
            return TokenGrant(ask.transfer, ask.workspace, 0, 0)
        balance = account.balance(now)
        agrees = _has_same_terms(account, ask, self.book.sets.epoch)
        spare = min(ask.tokens, balance) if agrees else 0
        granted = account.share.give(ask.transfer, spare, now)
        self.touched.add(ask.workspace)
        return TokenGrant(
            ask.transfer, ask.workspace, granted, account.balance(now)
        )

    def on_grant(self, peer: str, grant: TokenGrant, now: float) -> bool:
        """Take over a peer's answer; return whether its tokens count."""
        now = self.book.tick(now)
        self.balances.hear(peer, grant.workspace, grant.balance, now)
        account = self.book.accounts.get(grant.workspace)
        if account is None:
            return False
        account.open_asks.pop(grant.transfer, None)
        return account.share.receive(grant.transfer, grant.tokens, now)

    def on_silence(self, peer: str, ask: TokenAsk, now: float) -> None:
        """Take note that a peer did not answer."""
        self.balances.hear_silence(peer, self.book.tick(now))
        account = self.book.accounts.get(ask.workspace)
        if account is not None:
            account.open_asks.pop(ask.transfer, None)

    def on_balances(self, news: TokenBalances, now: float) -> None:
        """Take over a peer's balances."""
        now = self.book.tick(now)
        for entry in news.balances:
            self.balances.hear(news.sender, entry.workspace, entry.tokens, now)

    def report(self, now: float) -> TokenBalances | None:
        """Return the balances that peers would estimate wrongly, if any."""
        now = self.book.tick(now)
        entries = []
        for name in sorted(self.touched & self.book.accounts.keys()):
            account = self.book.accounts[name]
            entries += self._report(account, now)
            if not account.queue:
                self.touched.discard(name)
        return TokenBalances(self.address, tuple(entries)) if entries else None

    def _ask(
        self, account: Account, peer: str, tokens: float, now: float
    ) -> TokenAsk:
        self.transfers += 1
        transfer = f'{self.nonce}.{self.transfers}'
        account.share.ask(transfer, now)
        account.open_asks[transfer] = now + ASK_PATIENCE_S
        terms = account.terms
        self.balances.spend(peer, account.workspace, tokens, terms, now)
        return TokenAsk(
            transfer,
            account.workspace,
            tokens,
            self.book.sets.epoch,
            terms.rate,
            terms.burst,
        )

    def _report(self, account: Account, now: float) -> list[TokenBalance]:
        terms = account.terms
        cap = terms.burst * terms.part
        balance = max(-DEBT_PARTS * cap, account.balance(now))
        believed = cap
        if account.reported is not None:
            age_s = now - account.reported_at
            believed = terms.extrapolate(account.reported, age_s)
        if abs(balance - believed) < REPORT_PART * cap:
            return []
        account.reported = balance
        account.reported_at = now
        return [TokenBalance(account.workspace, balance)]


def _has_same_terms(account: Account, ask: TokenAsk, epoch: int) -> bool:
    terms = account.terms
    theirs = (ask.epoch, ask.rate, ask.burst)
    return theirs == (epoch, terms.rate, terms.burst)
