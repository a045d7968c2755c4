"""Tests of how a served application is closed."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from mimosaworks.serving import serve_app
from standins.addresses import reserve_address
from standins.serving import split_address

SHUTDOWN_TIMEOUT_S = 4.0
SLACK_S = 2.0
PART = bytes(65536)
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


async def _flood(req: web.Request) -> web.StreamResponse:
    """Write until the caller is gone; whoever doesn't read holds this."""
    resp = web.StreamResponse()
    await resp.prepare(req)
    while True:
        await resp.write(PART)


async def _stay(_req: web.Request) -> web.StreamResponse:
    """Answer nothing."""
    await asyncio.Event().wait()
    return web.Response()


# Guards against a stop that takes twice its time: aiohttp waits for a
# handler, cancels it and waits as long again.
@pytest.mark.parametrize('handler', [_flood, _stay])
@pytest.mark.parametrize('cancels', [True, False])
async def test_a_server_is_closed_in_the_time_that_handlers_get(
    handler: object, *, cancels: bool
) -> None:
    app = web.Application()
    app.router.add_get('/', handler)  # type: ignore[arg-type]
    address = reserve_address()
    stack = contextlib.AsyncExitStack()
    await serve_app(
        app,
        address,
        stack,
        cancels_on_hang_up=cancels,
        shutdown_s=SHUTDOWN_TIMEOUT_S,
    )
    _, writer = await asyncio.open_connection(*split_address(address))
    writer.write(REQUEST)
    await asyncio.sleep(0.5)
    async with asyncio.timeout(SHUTDOWN_TIMEOUT_S + SLACK_S):
        await stack.aclose()
    writer.close()


async def test_an_answer_under_way_is_given_before_a_server_is_closed() -> None:
    async def answer(_req: web.Request) -> web.Response:
        await asyncio.sleep(1)
        return web.Response(text='whole')

    app = web.Application()
    app.router.add_get('/', answer)
    address = reserve_address()
    stack = contextlib.AsyncExitStack()
    await serve_app(app, address, stack, shutdown_s=SHUTDOWN_TIMEOUT_S)
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(REQUEST)
    await asyncio.sleep(0.1)
    await stack.aclose()
    assert (await reader.read()).endswith(b'whole')
    writer.close()
