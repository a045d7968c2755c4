"""Tells complete bodies from those whose connection was lost."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader


class BodyEndHandler(ResponseHandler):
    """A connection whose loss ends a body only if the other side closed it.

    A body without a length and without chunks ends with its connection. The
    base takes each end for the body's; here, one that is not the other side's
    close raises aiohttp.ClientPayloadError at whoever reads the body: a reset,
    or an end that this process caused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._latest_body: StreamReader | None = None
        self._is_closed_by_peer = False

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Add an answer, of which the body may be still to come."""
        self._latest_body = data[1]
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Note that the other side has closed the connection."""
        self._is_closed_by_peer = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the body at hand, with an error unless it is complete."""
        body = self._latest_body
        # Once the other side has closed it, all bytes of the body have come.
        is_lost = not self._is_closed_by_peer
        if is_lost and body is not None and _is_expected(body):
            reason = 'closed by this process' if exc is None else repr(exc)
            body.set_exception(
                aiohttp.ClientPayloadError(f'the connection was lost: {reason}')
            )
        super().connection_lost(exc)


class BodyEndConnector(aiohttp.TCPConnector):
    """Makes connections that tell complete bodies from lost ones."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The base has no parameter for the protocol of its connections.
        self._factory = functools.partial(  # type: ignore[assignment]
            BodyEndHandler, self._loop
        )


def _is_expected(body: StreamReader) -> bool:
    """Return whether the body has neither ended nor failed."""
    return not body.is_eof() and body.exception() is None
