"""Exchanges token messages with the peers of a member."""

import asyncio
from collections.abc import Callable
from typing import Any, Self

import attrs
from aiohttp import web

from mimosaworks.errors import PeerError
from mimosaworks.events import Event, log_event
from mimosaworks.limits.decisions import TransferRequest
from mimosaworks.limits.escrow import TRANSFER_TIMEOUT_S
from mimosaworks.limits.token_allocator import TokenAllocator
from mimosaworks.wire import (
    Ack,
    PeerClient,
    TokenAsk,
    TokenBalances,
    TokenGrant,
    add_peer_handler,
)

BALANCE_REPORT_PERIOD_S = 0.25


@attrs.define(eq=False)
class TokenMessenger:
    """The tasks that send token messages to peers, and their handlers.

    Used by TokenService as an async context manager. on_change is called
    with the name of a workspace whose tokens or estimates changed.
    """

    peers: PeerClient
    allocator: TokenAllocator
    now: Callable[[], float]
    on_change: Callable[[str], None]
    tasks: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    async def __aenter__(self) -> Self:
        self._spawn(self._report_balances())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_handlers(self, app: web.Application) -> None:
        """Add the handlers of the peers' messages to their application."""
        add_peer_handler(app, TokenAsk, self._handle_transfer_request)
        add_peer_handler(app, TokenBalances, self._handle_balances)

    def send_transfer_request(self, transfer_request: TransferRequest) -> None:
        """Send a transfer request and pass its outcome to the allocator."""
        self._spawn(
            self._request_transfer(
                transfer_request.peer, transfer_request.token_ask
            )
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _request_transfer(self, peer: str, token_ask: TokenAsk) -> None:
        try:
            grant = await self.peers.call(
                peer, token_ask, TokenGrant, TRANSFER_TIMEOUT_S
            )
        except (PeerError, ValueError):
            self.allocator.handle_missing_reply(peer, token_ask, self.now())
        else:
            is_counted = self.allocator.handle_grant(peer, grant, self.now())
            log_event(
                Event.TOKENS_TRANSFERRED,
                workspace=token_ask.workspace,
                donor=peer,
                asked=token_ask.tokens,
                granted=grant.tokens,
                counted=is_counted,
            )
        self.on_change(token_ask.workspace)

    async def _report_balances(self) -> None:
        while True:
            await asyncio.sleep(BALANCE_REPORT_PERIOD_S)
            message = self.allocator.collect_changed_balances(self.now())
            if message is not None:
                for peer in self.allocator.balances.peers:
                    self._spawn(self._send_balances(peer, message))

    async def _send_balances(self, peer: str, message: TokenBalances) -> None:
        try:
            await self.peers.call(peer, message, Ack, TRANSFER_TIMEOUT_S)
        except (PeerError, ValueError):
            self.allocator.balances.record_missing_reply(peer, self.now())

    async def _handle_transfer_request(self, token_ask: TokenAsk) -> TokenGrant:
        return self.allocator.handle_transfer_request(token_ask, self.now())

    async def _handle_balances(self, message: TokenBalances) -> Ack:
        self.allocator.handle_balances(message, self.now())
        return Ack(accepted=True)
