"""The server of callers' requests, which bounds how long a head may take."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web


class _TimedHandler(web.RequestHandler):
    """Closes a connection whose first head has begun and does not end.

    The base does so for the heads after it, by its time for idle connections.
    """

    def __init__(
        self,
        server: web.Server,
        longest_s: Callable[[], float],
        on_late: Callable[[], None],
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._longest_s = longest_s
        self._on_late = on_late
        self._late: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Begin to wait for the rest of a head, or end that."""
        super().data_received(data)
        if self._request_count:
            self._stop_waiting()
        elif self._late is None:
            loop = asyncio.get_running_loop()
            self._late = loop.call_later(self._longest_s(), self._end_late)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Wait no longer."""
        self._stop_waiting()
        super().connection_lost(exc)

    def _stop_waiting(self) -> None:
        if self._late is not None:
            self._late.cancel()
            self._late = None

    def _end_late(self) -> None:
        self._on_late()
        self.force_close()
        if self.transport is not None:
            self.transport.close()


class TimedServer(web.Server):
    """Serves like its base; a head may take longest_s seconds.

    Counted are the seconds since its first byte. on_late is called for each
    head that took longer and whose connection is closed.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        longest_s: Callable[[], float],
        on_late: Callable[[], None],
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._longest_s = longest_s
        self._on_late = on_late

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return _TimedHandler(
            self,
            self._longest_s,
            self._on_late,
            loop=self._loop,
            **self._kwargs,
        )
