"""Answers callers who ask which addresses to use."""

import random
from collections.abc import Callable, Iterable

from aiohttp import web

LOOKUP_PATH = '/v1/lookup'
READY_PATH = '/v1/ready'
MAX_ADDRESSES = 64


def directory_app(
    addresses: Callable[[], Iterable[str]], ttl_s: float
) -> web.Application:
    """Return the directory; addresses gives those that callers may use.

    Callers keep an answer for ttl_s seconds.
    """

    async def look_up(_: web.Request) -> web.Response:
        listed = list(addresses())
        if len(listed) > MAX_ADDRESSES:
            listed = random.sample(listed, MAX_ADDRESSES)
        answer = {'addresses': listed, 'ttl-s': ttl_s}
        return web.json_response(answer)

    app = web.Application()
    app.router.add_get(LOOKUP_PATH, look_up)
    return app


def ready_app(is_ready: Callable[[], bool]) -> web.Application:
    """Return the readiness page of a process."""

    async def tell(_: web.Request) -> web.Response:
        if is_ready():
            return web.Response()
        raise web.HTTPServiceUnavailable

    app = web.Application()
    app.router.add_get(READY_PATH, tell)
    return app
