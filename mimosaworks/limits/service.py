"""Token shares of a router: acquires and refunds tokens for requests."""

import asyncio
import secrets
from collections.abc import Callable, Collection
from typing import Self

import attrs
from aiohttp import web

from mimosaworks.clock import now_s
from mimosaworks.entities import Catalogue
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.limits.decisions import Decisions, TokenCharge
from mimosaworks.limits.messenger import TokenMessenger
from mimosaworks.limits.token_allocator import TokenAllocator
from mimosaworks.limits.workspace_account import TokenRequest
from mimosaworks.wire import PeerClient

MAX_RETRY_AFTER_S = 60.0
NONCE_BYTES = 12


@attrs.define(eq=False)
class TokenService:
    """A router's access to the token budgets of workspaces.

    Used by the dispatcher, as an async context manager. The shares are empty
    until set_grants, set_holders and confirm_holders were called. All calls
    come from the event loop's thread. pending_futures has the future of each
    request that waits, by request number.
    """

    peers: PeerClient
    self_address: str
    now: Callable[[], float] = now_s
    allocator: TokenAllocator = attrs.field(init=False)
    messenger: TokenMessenger = attrs.field(init=False)
    pending_futures: dict[int, 'asyncio.Future[TokenCharge]'] = attrs.field(
        factory=dict
    )
    timers: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)
    last_request_number: int = 0

    def __attrs_post_init__(self) -> None:
        nonce = secrets.token_hex(NONCE_BYTES)
        self.allocator = TokenAllocator(self.self_address, nonce)
        self.messenger = TokenMessenger(
            self.peers, self.allocator, self.now, self._decide
        )

    async def __aenter__(self) -> Self:
        await self.messenger.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for timer in self.timers.values():
            timer.cancel()
        await self.messenger.__aexit__(*exc_info)

    def add_handlers(self, app: web.Application) -> None:
        """Add the handlers of the peers' messages to their application."""
        self.messenger.add_handlers(app)

    def set_grants(self, catalogue: Catalogue) -> None:
        """Apply the rates and bursts of a catalogue."""
        self.allocator.registry.set_grants(catalogue.workspace, self.now())
        _decide_waiting(self.allocator, self._decide)

    def set_holders(self, epoch: int, addresses: Collection[str]) -> None:
        """Apply the holder set of an epoch, given as peer addresses.

        The own shares may shrink; they grow only after confirm_holders. Each
        new set has the next epoch.
        """
        self.allocator.set_holders(epoch, addresses, self.now())
        _decide_waiting(self.allocator, self._decide)

    def confirm_holders(self, epoch: int) -> None:
        """Record that the epoch is in force everywhere.

        That is: each holder of this epoch and of all earlier ones has called
        set_holders for it, or is known dead, or can't dispatch any more
        before it has done so.
        """
        self.allocator.confirm_holders(epoch, self.now())
        _decide_waiting(self.allocator, self._decide)

    async def acquire(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> TokenCharge:
        """Wait for the tokens of a request and charge them.

        Waits up to timeout_s, in the order of arrival in the workspace. The
        returned charge is needed for a refund. Raises RequestError:
        REQUEST_TOO_COSTLY above the burst, RATE_EXCEEDED when the tokens
        won't be there in time.
        """
        self.check_obtainable(workspace, tokens, timeout_s)
        self.last_request_number += 1
        request_number = self.last_request_number
        fut: asyncio.Future[TokenCharge]
        fut = asyncio.get_running_loop().create_future()
        self.pending_futures[request_number] = fut
        deadline = self.now() + timeout_s
        self.allocator.enqueue(
            workspace, TokenRequest(request_number, tokens, deadline)
        )
        self._decide(workspace)
        try:
            return await fut
        except asyncio.CancelledError:
            self._cancel_request(workspace, request_number, fut)
            raise
        finally:
            self.pending_futures.pop(request_number, None)

    def try_acquire(self, workspace: str, tokens: float) -> TokenCharge | None:
        """Charge tokens that are here now and that no request waits for.

        Returns None if there are not enough of them.
        """
        return self.allocator.try_acquire(workspace, tokens, self.now())

    def check_obtainable(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> None:
        """Raise RequestError if the tokens can't be had within timeout_s."""
        account = self.allocator.registry.accounts.get(workspace)
        if account is not None and tokens > account.terms.burst:
            burst = account.terms.burst
            raise RequestError(
                ErrorKind.REQUEST_TOO_COSTLY,
                f'request costs {tokens:.0f} tokens; the burst is {burst:.0f}',
            )
        wait_s = self.predict_wait_s(workspace, tokens)
        if wait_s > timeout_s:
            raise _rate_exceeded_error(workspace, wait_s)

    def refund(self, charge: TokenCharge, unused: float) -> None:
        """Refund a request's unused tokens, up to the share's cap."""
        self.allocator.refund(charge, unused, self.now())
        self._decide(charge.workspace)

    def predict_wait_s(self, workspace: str, tokens: float) -> float:
        """Return how many seconds acquire would wait; inf if it would fail."""
        return self.allocator.predict_wait_s(workspace, tokens, self.now())

    def token_balances(self) -> dict[str, float]:
        """Return this member's spare tokens by workspace."""
        now = self.allocator.registry.advance_clock(self.now())
        return {
            name: account.balance(now)
            for name, account in self.allocator.registry.accounts.items()
        }

    def _cancel_request(
        self,
        workspace: str,
        request_number: int,
        fut: 'asyncio.Future[TokenCharge]',
    ) -> None:
        if fut.done() and not fut.cancelled() and not fut.exception():
            charge = fut.result()
            self.refund(charge, charge.tokens)
        self.allocator.remove_request(workspace, request_number)
        self._decide(workspace)

    def _decide(self, workspace: str) -> None:
        timer = self.timers.pop(workspace, None)
        if timer:
            timer.cancel()
        if workspace not in self.allocator.registry.accounts:
            return
        decisions = self.allocator.decide(workspace, self.now())
        self._resolve_futures(workspace, decisions)
        for transfer_request in decisions.transfer_requests:
            self.messenger.send_transfer_request(transfer_request)
        if decisions.next_decision_at < float('inf'):
            self.timers[workspace] = asyncio.get_running_loop().call_later(
                max(0, decisions.next_decision_at - self.now()),
                self._decide,
                workspace,
            )

    def _resolve_futures(self, workspace: str, decisions: Decisions) -> None:
        for served_request in decisions.served:
            fut = self.pending_futures.get(served_request.request_number)
            if fut is None or fut.done():
                # The caller disconnected while its request was served.
                charge = served_request.charge
                self.allocator.refund(charge, charge.tokens, self.now())
            else:
                fut.set_result(served_request.charge)
        for refused_request in decisions.refused:
            fut = self.pending_futures.get(refused_request.request_number)
            if fut is not None and not fut.done():
                fut.set_exception(
                    _rate_exceeded_error(workspace, refused_request.wait_s)
                )


def _decide_waiting(
    allocator: TokenAllocator, decide: Callable[[str], None]
) -> None:
    for name, account in tuple(allocator.registry.accounts.items()):
        if account.queue:
            decide(name)


def _rate_exceeded_error(workspace: str, wait_s: float) -> RequestError:
    return RequestError(
        ErrorKind.RATE_EXCEEDED,
        f'workspace {workspace} has too few tokens left for this request',
        retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
    )
