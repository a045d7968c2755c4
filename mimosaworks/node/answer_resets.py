"""Tells answers that end from those whose connection was reset."""

from collections.abc import Callable

from aiohttp import ClientPayloadError, ClientResponse


def make_reset_check(resp: ClientResponse) -> Callable[[], None]:
    """Return a check that raises when the connection was reset.

    A body without a length ends when its connection is closed, and aiohttp
    treats a reset like such an end.
    """
    conn = resp.connection
    protocol = None if conn is None else conn.protocol

    def raise_if_reset() -> None:
        exc = None if protocol is None else protocol.exception()
        if isinstance(exc, OSError):
            raise ClientPayloadError(
                f'the connection was reset: {exc!r}'
            ) from exc

    return raise_if_reset
