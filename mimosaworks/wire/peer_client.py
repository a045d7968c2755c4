"""Sends messages to other processes of the system."""

import errno
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import attrs

from mimosaworks.bounded_answers import (
    OversizedError,
    log_cut,
    read_bounded,
)
from mimosaworks.errors import PeerError, PeerRefusedError, PeerTimeoutError
from mimosaworks.wire.codec import decode, encode
from mimosaworks.wire.dispatch_messages import BeatReply
from mimosaworks.wire.members_messages import FreshAnswer

# Many replies are awaited at once; those with rows of all members or targets,
# one at a time.
REPLY_BYTES = 65536
ROWS_REPLY_BYTES = 16000000
_ROWS_REPLIES = (BeatReply, FreshAnswer)
Reply = TypeVar('Reply')


@attrs.define
class PeerClient:
    """Calls peers by their address, host:port, over kept connections."""

    session: aiohttp.ClientSession

    async def call(
        self,
        address: str,
        message: object,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Send a message and return the peer's reply.

        One that is too long is cut.
        Raises PeerRefusedError, PeerTimeoutError or PeerError.
        """
        url = f'http://{address}/peer/{type(message).__name__}'
        limit = aiohttp.ClientTimeout(total=timeout_s)
        has_rows = reply_type in _ROWS_REPLIES
        most = ROWS_REPLY_BYTES if has_rows else REPLY_BYTES
        try:
            async with self.session.post(
                url, data=encode(message), timeout=limit
            ) as resp:
                packed = await _checked(address, resp, most)
        except aiohttp.ClientConnectorError as exc:
            raise _connection_error(address, exc) from exc
        except TimeoutError as exc:
            raise PeerTimeoutError(f'{address}: no answer') from exc
        except aiohttp.ClientError as exc:
            if isinstance(exc, OversizedError):
                log_cut(address, exc)
            raise PeerError(f'{address}: {exc!r}') from exc
        try:
            return decode(reply_type, packed)
        except ValueError as exc:
            raise PeerError(f'{address}: {exc}') from exc


def _connection_error(
    address: str, exc: aiohttp.ClientConnectorError
) -> PeerError:
    if exc.os_error.errno == errno.ECONNREFUSED:
        return PeerRefusedError(f'{address}: connection refused')
    return PeerError(f'{address}: {exc}')


async def _checked(
    address: str, resp: aiohttp.ClientResponse, most: int
) -> bytes:
    if resp.status != HTTPStatus.OK:
        raise PeerError(f'{address}: status {resp.status}')
    return await read_bounded(resp, most)
