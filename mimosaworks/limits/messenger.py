"""Sends and receives a member's messages about tokens."""

import asyncio
from collections.abc import Callable
from typing import Any, Self

import attrs
from aiohttp import web

from mimosaworks.errors import PeerError
from mimosaworks.events import Event, log_event
from mimosaworks.limits.decisions import PeerAsk
from mimosaworks.limits.escrow import TRANSFER_S
from mimosaworks.limits.holder import TokenHolder
from mimosaworks.wire import (
    Ack,
    PeerClient,
    TokenAsk,
    TokenBalances,
    TokenGrant,
    add_peer_handler,
)

REPORT_PERIOD_S = 0.25


@attrs.define(eq=False)
class TokenMessenger:
    """Owns the tasks that talk to the peers; used with async with.

    changed is called with a workspace whose tokens or estimates changed.
    """

    peers: PeerClient
    holder: TokenHolder
    now: Callable[[], float]
    changed: Callable[[str], None]
    tasks: set['asyncio.Task[Any]'] = attrs.field(factory=set)

    async def __aenter__(self) -> Self:
        self._spawn(self._report_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_handlers(self, app: web.Application) -> None:
        """Answer the peers' messages on their application."""
        add_peer_handler(app, TokenAsk, self._on_ask)
        add_peer_handler(app, TokenBalances, self._on_balances)

    def send_ask(self, peer_ask: PeerAsk) -> None:
        """Send a message and hand the reply, or silence, to the holder."""
        self._spawn(self._ask(peer_ask.peer, peer_ask.ask))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ask(self, peer: str, ask: TokenAsk) -> None:
        try:
            grant = await self.peers.call(peer, ask, TokenGrant, TRANSFER_S)
        except (PeerError, ValueError):
            self.holder.on_silence(peer, ask, self.now())
        else:
            counted = self.holder.on_grant(peer, grant, self.now())
            log_event(
                Event.TOKENS_TRANSFERRED,
                workspace=ask.workspace,
                donor=peer,
                asked=ask.tokens,
                granted=grant.tokens,
                counted=counted,
            )
        self.changed(ask.workspace)

    async def _report_forever(self) -> None:
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            news = self.holder.report(self.now())
            if news is not None:
                for peer in self.holder.balances.peers:
                    self._spawn(self._send_balances(peer, news))

    async def _send_balances(self, peer: str, news: TokenBalances) -> None:
        try:
            await self.peers.call(peer, news, Ack, TRANSFER_S)
        except (PeerError, ValueError):
            self.holder.balances.hear_silence(peer, self.now())

    async def _on_ask(self, ask: TokenAsk) -> TokenGrant:
        return self.holder.on_ask(ask, self.now())

    async def _on_balances(self, news: TokenBalances) -> Ack:
        self.holder.on_balances(news, self.now())
        return Ack(accepted=True)
