"""Receives messages from other processes of the system."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import web

from mimosaworks.bounded_answers import HeldBytes, Hold
from mimosaworks.wire.codec import decode, encode
from mimosaworks.wire.dispatch_messages import Beat
from mimosaworks.wire.limits_messages import TokenBalances
from mimosaworks.wire.members_messages import VersionPush
from mimosaworks.wire.placement_messages import Demand, ReplicaMap

Message = TypeVar('Message')
MAX_MESSAGE_BYTES = 1 << 24  # 16 MiB
ALL_MESSAGES_BYTES = 2 * MAX_MESSAGE_BYTES
# More than one request with the largest head that callers may send.
SHORT_MESSAGE_BYTES = 1000000
_LONG_MESSAGES = (Beat, Demand, ReplicaMap, TokenBalances, VersionPush)
_HELD_BYTES = web.AppKey('held_bytes', HeldBytes)


def new_peer_app() -> web.Application:
    """Return an application for peer messages, to be served on its port.

    It bounds the bytes of each message and of all that arrive at once.
    """
    app = web.Application(client_max_size=MAX_MESSAGE_BYTES)
    app[_HELD_BYTES] = HeldBytes(MAX_MESSAGE_BYTES, ALL_MESSAGES_BYTES)
    return app


def add_peer_handler(
    app: web.Application,
    message_type: type[Message],
    handler: Callable[[Message], Awaitable[Any]],
) -> None:
    """Answer messages of a type with what the handler returns for them."""
    is_long = message_type in _LONG_MESSAGES
    most = MAX_MESSAGE_BYTES if is_long else SHORT_MESSAGE_BYTES

    async def answer(req: web.Request) -> web.Response:
        try:
            with app[_HELD_BYTES].hold() as hold:
                packed = await _read_message(req, hold, most)
                message = decode(message_type, packed)
        except ValueError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        return web.Response(body=encode(await handler(message)))

    app.router.add_post(f'/peer/{message_type.__name__}', answer)


async def _read_message(req: web.Request, hold: Hold, most: int) -> bytes:
    """Return a message of at most so many bytes, if there is room for it."""
    chunks: list[bytes] = []
    size = 0
    named = req.content_length or 0
    while max(size, named) <= most and hold.keep(size):
        chunk = await req.content.readany()
        if not chunk:
            return b''.join(chunks)
        size += len(chunk)
        chunks.append(chunk)
    chunks.clear()
    raise web.HTTPRequestEntityTooLarge(most, max(size, named))
