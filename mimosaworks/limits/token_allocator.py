"""Decisions on a member's token shares of all workspaces, without I/O."""

from collections.abc import Collection

import attrs

from mimosaworks.limits.account_registry import AccountRegistry
from mimosaworks.limits.decisions import Decisions, TokenCharge, TransferRequest
from mimosaworks.limits.holder_sets import HolderSets
from mimosaworks.limits.planner import PeerBalances
from mimosaworks.limits.workspace_account import (
    REPLAN_TIMEOUT_S,
    TokenRequest,
    WorkspaceAccount,
)
from mimosaworks.wire import (
    TokenAsk,
    TokenBalance,
    TokenBalances,
    TokenGrant,
)

# As a fraction of a share's cap: a balance is reported to the peers if it
# deviates from their estimate by this much or more.
REPORT_THRESHOLD = 0.25
# A negative balance is reported as at most 4 times a share's cap.
MAX_DEBT_CAPS = 4


@attrs.define
class TokenAllocator:
    """Decides who gets tokens at one member (a holder of token shares).

    Used by TokenService, which passes the time and the messages of peers.
    nonce differs at each start, so that no transfer's name is used twice.
    changed_workspaces are those whose balance may have to be reported.
    Times are in seconds of the member's clock.
    """

    address: str
    nonce: str
    registry: AccountRegistry = attrs.field(init=False)
    balances: PeerBalances = attrs.field(factory=PeerBalances)
    changed_workspaces: set[str] = attrs.field(factory=set)
    last_transfer_number: int = 0

    def __attrs_post_init__(self) -> None:
        self.registry = AccountRegistry(HolderSets(self.address))

    def set_holders(
        self, epoch: int, addresses: Collection[str], now: float
    ) -> None:
        """Record the holder set of an epoch; shares shrink at once."""
        if self.registry.add_holder_set(epoch, addresses):
            self.balances.replace_peers(set(addresses) - {self.address})
        self.registry.advance_clock(now)

    def confirm_holders(self, epoch: int, now: float) -> None:
        """Record that all holders apply an epoch, so that shares may grow."""
        self.registry.holder_sets.confirm_epoch(
            epoch, self.registry.advance_clock(now)
        )

    def try_acquire(
        self, workspace: str, tokens: float, now: float
    ) -> TokenCharge | None:
        """Charge tokens at once, unless other requests wait for some.

        Returns None if they do or if there are not enough tokens.
        """
        account = self.registry.accounts.get(workspace)
        if account is None or account.queue:
            return None
        headroom_period = account.share.try_acquire(
            tokens, self.registry.advance_clock(now)
        )
        if headroom_period is None:
            return None
        self.changed_workspaces.add(workspace)
        return TokenCharge(workspace, tokens, headroom_period)

    def enqueue(self, workspace: str, request: TokenRequest) -> None:
        """Queue a request for tokens; decide returns it when it is served."""
        account = self.registry.accounts[workspace]
        account.queue.append(request)
        self.changed_workspaces.add(workspace)

    def remove_request(self, workspace: str, request_number: int) -> None:
        """Remove a request that no longer waits from its queue."""
        account = self.registry.accounts[workspace]
        for request in tuple(account.queue):
            if request.request_number == request_number:
                account.queue.remove(request)

    def refund(self, charge: TokenCharge, unused: float, now: float) -> float:
        """Refund a request's unused tokens; return how many were added."""
        account = self.registry.accounts.get(charge.workspace)
        if account is None:
            return 0
        self.changed_workspaces.add(charge.workspace)
        return account.share.refund(
            charge.headroom_period, unused, self.registry.advance_clock(now)
        )

    def predict_wait_s(
        self, workspace: str, tokens: float, now: float
    ) -> float:
        """Return how many seconds a request would wait; inf for ever."""
        account = self.registry.accounts.get(workspace)
        if account is None:
            return float('inf')
        return account.predict_wait_s(
            tokens, self.balances, self.registry.advance_clock(now)
        )

    def decide(self, workspace: str, now: float) -> Decisions:
        """Serve or refuse a workspace's requests, and plan transfers."""
        now = self.registry.advance_clock(now)
        decisions = Decisions()
        account = self.registry.accounts[workspace]
        if not account.queue:
            return decisions
        account.refuse_expired(self.balances, now, decisions)
        account.serve_waiting(now, decisions)
        planned_transfers = account.plan_transfers(
            self.balances, now, decisions
        )
        for peer, tokens in planned_transfers.items():
            token_ask = self._create_transfer(account, peer, tokens, now)
            decisions.transfer_requests.append(TransferRequest(peer, token_ask))
            decisions.schedule_decision(now + REPLAN_TIMEOUT_S)
        self.changed_workspaces.add(workspace)
        return decisions

    def handle_transfer_request(
        self, token_ask: TokenAsk, now: float
    ) -> TokenGrant:
        """Grant a peer spare tokens, if both know the same terms."""
        now = self.registry.advance_clock(now)
        account = self.registry.accounts.get(token_ask.workspace)
        if account is None:
            return TokenGrant(token_ask.transfer, token_ask.workspace, 0, 0)
        balance = account.balance(now)
        has_same_terms = _has_same_terms(
            account, token_ask, self.registry.holder_sets.epoch
        )
        spare_tokens = min(token_ask.tokens, balance) if has_same_terms else 0
        granted_tokens = account.share.grant_transfer(
            token_ask.transfer, spare_tokens, now
        )
        self.changed_workspaces.add(token_ask.workspace)
        return TokenGrant(
            token_ask.transfer,
            token_ask.workspace,
            granted_tokens,
            account.balance(now),
        )

    def handle_grant(self, peer: str, grant: TokenGrant, now: float) -> bool:
        """Apply a peer's grant; return whether its tokens count."""
        now = self.registry.advance_clock(now)
        self.balances.record_balance(peer, grant.workspace, grant.balance, now)
        account = self.registry.accounts.get(grant.workspace)
        if account is None:
            return False
        account.open_transfers.pop(grant.transfer, None)
        return account.share.receive_transfer(grant.transfer, grant.tokens, now)

    def handle_missing_reply(
        self, peer: str, token_ask: TokenAsk, now: float
    ) -> None:
        """Record that a peer did not answer a transfer request."""
        self.balances.record_missing_reply(
            peer, self.registry.advance_clock(now)
        )
        account = self.registry.accounts.get(token_ask.workspace)
        if account is not None:
            account.open_transfers.pop(token_ask.transfer, None)

    def handle_balances(self, message: TokenBalances, now: float) -> None:
        """Record the balances that a peer reported."""
        now = self.registry.advance_clock(now)
        for token_balance in message.balances:
            self.balances.record_balance(
                message.sender,
                token_balance.workspace,
                token_balance.tokens,
                now,
            )

    def collect_changed_balances(self, now: float) -> TokenBalances | None:
        """Return the balances that peers would estimate wrongly.

        None if there are no such balances.
        """
        now = self.registry.advance_clock(now)
        changed_balances = []
        for name in sorted(
            self.changed_workspaces & self.registry.accounts.keys()
        ):
            account = self.registry.accounts[name]
            changed_balances += self._report_balance(account, now)
            if not account.queue:
                self.changed_workspaces.discard(name)
        return (
            TokenBalances(self.address, tuple(changed_balances))
            if changed_balances
            else None
        )

    def _create_transfer(
        self, account: WorkspaceAccount, peer: str, tokens: float, now: float
    ) -> TokenAsk:
        self.last_transfer_number += 1
        transfer = f'{self.nonce}.{self.last_transfer_number}'
        account.share.record_requested_transfer(transfer, now)
        account.open_transfers[transfer] = now + REPLAN_TIMEOUT_S
        terms = account.terms
        self.balances.deduct_requested(
            peer, account.workspace, tokens, terms, now
        )
        return TokenAsk(
            transfer,
            account.workspace,
            tokens,
            self.registry.holder_sets.epoch,
            terms.rate,
            terms.burst,
        )

    def _report_balance(
        self, account: WorkspaceAccount, now: float
    ) -> list[TokenBalance]:
        terms = account.terms
        cap = terms.burst * terms.fraction
        balance = max(-MAX_DEBT_CAPS * cap, account.balance(now))
        expected_balance = cap
        if account.reported_balance is not None:
            age_s = now - account.reported_at
            expected_balance = terms.extrapolate_level(
                account.reported_balance, age_s
            )
        if abs(balance - expected_balance) < REPORT_THRESHOLD * cap:
            return []
        account.reported_balance = balance
        account.reported_at = now
        return [TokenBalance(account.workspace, balance)]


def _has_same_terms(
    account: WorkspaceAccount, token_ask: TokenAsk, epoch: int
) -> bool:
    terms = account.terms
    asker_terms = (token_ask.epoch, token_ask.rate, token_ask.burst)
    return asker_terms == (epoch, terms.rate, terms.burst)
