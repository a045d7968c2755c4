"""The task that owns a member's token shares."""

import asyncio
import secrets
from collections.abc import Callable, Collection
from typing import Self

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.entities import Catalogue
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.limits.account import Waiter
from mimosaworks.limits.decisions import Decisions, Receipt
from mimosaworks.limits.holder import TokenHolder
from mimosaworks.limits.messenger import TokenMessenger
from mimosaworks.wire import PeerClient

MAX_RETRY_AFTER_S = 60.0
NONCE_BYTES = 12


@attrs.define(eq=False)
class TokenService:
    """Serves a router's requests for tokens; used with async with.

    The shares are empty until set_grants, set_holders and confirm_holders
    were called. All calls come from the event loop's thread.
    """

    peers: PeerClient
    self_address: str
    now: Callable[[], float] = now_s
    holder: TokenHolder = attrs.field(init=False)
    messenger: TokenMessenger = attrs.field(init=False)
    waiting: dict[int, 'asyncio.Future[Receipt]'] = attrs.field(factory=dict)
    timers: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)
    tickets: int = 0

    def __attrs_post_init__(self) -> None:
        nonce = secrets.token_hex(NONCE_BYTES)
        self.holder = TokenHolder(self.self_address, nonce)
        self.messenger = TokenMessenger(
            self.peers, self.holder, self.now, self._poll
        )

    async def __aenter__(self) -> Self:
        await self.messenger.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for timer in self.timers.values():
            timer.cancel()
        await self.messenger.__aexit__(*exc_info)

    def add_handlers(self, app: web.Application) -> None:
        """Answer the peers' messages on their application."""
        self.messenger.add_handlers(app)

    def set_grants(self, catalogue: Catalogue) -> None:
        """Take over the rates and bursts of an applied configuration."""
        self.holder.book.set_grants(catalogue.workspace, self.now())
        _poll_waiting(self.holder, self._poll)

    def set_holders(self, epoch: int, addresses: Collection[str]) -> None:
        """Learn an epoch's holders by peer address; own shares may shrink.

        Epochs grow by one with each new set. Shares grow only after
        confirm_holders.
        """
        self.holder.set_holders(epoch, addresses, self.now())
        _poll_waiting(self.holder, self._poll)

    def confirm_holders(self, epoch: int) -> None:
        """Learn that the epoch is in force everywhere.

        That is: each holder of this epoch and of all earlier ones has called
        set_holders for it, or is known dead, or can't dispatch any more
        without having done so.
        """
        self.holder.confirm_holders(epoch, self.now())
        _poll_waiting(self.holder, self._poll)

    async def acquire(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> Receipt:
        """Take tokens for a request that is about to be dispatched.

        Waits up to timeout_s, in the order of arrival in the workspace. The
        receipt is for refund. Raises RequestError: REQUEST_TOO_COSTLY above
        the burst, RATE_EXCEEDED when the tokens won't come in time.
        """
        self.check(workspace, tokens, timeout_s)
        self.tickets += 1
        ticket = self.tickets
        fut: asyncio.Future[Receipt]
        fut = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = fut
        deadline = self.now() + timeout_s
        self.holder.arrive(workspace, Waiter(ticket, tokens, deadline))
        self._poll(workspace)
        try:
            return await fut
        except asyncio.CancelledError:
            self._withdraw(workspace, ticket, fut)
            raise
        finally:
            self.waiting.pop(ticket, None)

    def try_take(self, workspace: str, tokens: float) -> Receipt | None:
        """Take tokens that are here now and that no request waits for."""
        return self.holder.try_take(workspace, tokens, self.now())

    def check(self, workspace: str, tokens: float, timeout_s: float) -> None:
        """Raise RequestError if the tokens can't come within timeout_s."""
        account = self.holder.book.accounts.get(workspace)
        if account is not None and tokens > account.terms.burst:
            burst = account.terms.burst
            raise RequestError(
                ErrorKind.REQUEST_TOO_COSTLY,
                f'{tokens:.0f} tokens exceed the burst of {burst:.0f}',
            )
        wait_s = self.predict_wait_s(workspace, tokens)
        if wait_s > timeout_s:
            raise _rate_error(workspace, wait_s)

    def refund(self, receipt: Receipt, unused: float) -> None:
        """Give back a request's unused tokens, within the share's cap."""
        self.holder.put_back(receipt, unused, self.now())
        self._poll(receipt.workspace)

    def predict_wait_s(self, workspace: str, tokens: float) -> float:
        """Return how long acquire would wait; inf if it would fail."""
        return self.holder.predict_wait_s(workspace, tokens, self.now())

    def balances(self) -> dict[str, float]:
        """Return this member's tokens to spare by workspace."""
        now = self.holder.book.tick(self.now())
        return {
            name: account.balance(now)
            for name, account in self.holder.book.accounts.items()
        }

    def _withdraw(
        self, workspace: str, ticket: int, fut: 'asyncio.Future[Receipt]'
    ) -> None:
        if fut.done() and not fut.cancelled() and not fut.exception():
            receipt = fut.result()
            self.refund(receipt, receipt.tokens)
        self.holder.withdraw(workspace, ticket)
        self._poll(workspace)

    def _poll(self, workspace: str) -> None:
        timer = self.timers.pop(workspace, None)
        if timer:
            timer.cancel()
        if workspace not in self.holder.book.accounts:
            return
        decisions = self.holder.poll(workspace, self.now())
        self._answer_waiting(workspace, decisions)
        for peer_ask in decisions.asks:
            self.messenger.send_ask(peer_ask)
        if decisions.next_at < float('inf'):
            self.timers[workspace] = asyncio.get_running_loop().call_later(
                max(0, decisions.next_at - self.now()), self._poll, workspace
            )

    def _answer_waiting(self, workspace: str, decisions: Decisions) -> None:
        for served in decisions.dispatched:
            fut = self.waiting.get(served.ticket)
            if fut is None or fut.done():
                # The caller went away while its request was dispatched.
                receipt = served.receipt
                self.holder.put_back(receipt, receipt.tokens, self.now())
            else:
                fut.set_result(served.receipt)
        for refusal in decisions.refused:
            fut = self.waiting.get(refusal.ticket)
            if fut is not None and not fut.done():
                fut.set_exception(_rate_error(workspace, refusal.wait_s))


def _poll_waiting(holder: TokenHolder, poll: Callable[[str], None]) -> None:
    for name, account in tuple(holder.book.accounts.items()):
        if account.queue:
            poll(name)


def _rate_error(workspace: str, wait_s: float) -> RequestError:
    return RequestError(
        ErrorKind.RATE_EXCEEDED,
        f'workspace {workspace} has no tokens left for this request',
        retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
    )
