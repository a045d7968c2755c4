"""Receives messages from other processes of the system."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import web

from mimosaworks.wire.codec import decode, encode

Message = TypeVar('Message')
MAX_MESSAGE_BYTES = 1 << 24  # 16 MiB


def new_peer_app() -> web.Application:
    """Return an application for peer messages, to be served on its port."""
    return web.Application(client_max_size=MAX_MESSAGE_BYTES)


def add_peer_handler(
    app: web.Application,
    message_type: type[Message],
    handler: Callable[[Message], Awaitable[Any]],
) -> None:
    """Answer messages of a type with what the handler returns for them."""

    async def answer(req: web.Request) -> web.Response:
        try:
            message = decode(message_type, await req.read())
        except ValueError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        return web.Response(body=encode(await handler(message)))

    app.router.add_post(f'/peer/{message_type.__name__}', answer)
