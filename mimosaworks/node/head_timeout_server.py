"""HTTP server with a timeout for the head of a connection's request."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from mimosaworks.bounded_answers import HeldBytes
from mimosaworks.bounded_heads import BoundedHeadHandler, BoundedHeadServer


class _HeadTimeoutHandler(BoundedHeadHandler):
    """Connection handler with a timeout for the head of the first request.

    The base class closes a connection whose later heads are incomplete by
    its timeout for idle connections.
    """

    def __init__(
        self,
        server: web.Server,
        held_heads: HeldBytes,
        head_timeout_s: Callable[[], float],
        on_head_timeout: Callable[[], None],
        **options: Any,
    ) -> None:
        super().__init__(server, held_heads, **options)
        self._head_timeout_s = head_timeout_s
        self._on_head_timeout = on_head_timeout
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Start the timer at the first byte; cancel it after the head."""
        super().data_received(data)
        if self._request_count:
            self._cancel_head_timer()
        elif self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(
                self._head_timeout_s(), self._close_on_head_timeout
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_on_head_timeout(self) -> None:
        self._on_head_timeout()
        self.force_close()
        if self.transport is not None:
            self.transport.close()


class HeadTimeoutServer(BoundedHeadServer):
    """A BoundedHeadServer whose connections time out by their first head.

    The head may take head_timeout_s() seconds from its first byte on.
    on_head_timeout is called for each connection that is closed for taking
    longer.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        held_heads: HeldBytes,
        head_timeout_s: Callable[[], float],
        on_head_timeout: Callable[[], None],
        **options: Any,
    ) -> None:
        super().__init__(handler, held_heads, **options)
        self._head_timeout_s = head_timeout_s
        self._on_head_timeout = on_head_timeout

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return _HeadTimeoutHandler(
            self,
            self._held_heads,
            self._head_timeout_s,
            self._on_head_timeout,
            loop=self._loop,
            **self._kwargs,
        )
