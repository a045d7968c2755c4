"""Connections that wait for a server of callers, on the loop of a node."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest
import uvloop
from aiohttp import web

from mimosaworks.bounded_heads import new_held_heads
from mimosaworks.clock import now_s
from mimosaworks.node import caller_server
from standins.addresses import reserve_address

CALLERS = 100
FEW_ROUNDS = 20
LONG_S = 10.0
REQUEST = b'GET / HTTP/1.1\r\nHost: camp.example\r\n\r\n'


@attrs.define
class Served:
    """A server and the number of requests that reached its handler."""

    address: str = attrs.field(factory=reserve_address)
    count: int = 0

    async def open(
        self, stack: contextlib.AsyncExitStack
    ) -> caller_server.CallerServer:
        return await caller_server.serve_callers(
            self.handle,
            lambda: 3.0,
            lambda: None,
            new_held_heads(),
            self.address,
            stack,
        )

    async def handle(self, _req: web.BaseRequest) -> web.StreamResponse:
        self.count += 1
        return web.Response()

    def send_requests(self, stack: contextlib.AsyncExitStack) -> None:
        """Connect and send, while the loop of the server does not run."""
        host, _, port = self.address.rpartition(':')
        for _ in range(CALLERS):
            conn = socket.create_connection((host, int(port)))
            stack.callback(conn.close)
            conn.sendall(REQUEST)


Scene = Callable[[Served, contextlib.AsyncExitStack], Coroutine[Any, Any, None]]


def play(scene: Scene, loop_type: Any) -> Served:
    """Run a scene in a loop of this type."""

    async def run() -> Served:
        served = Served()
        async with contextlib.AsyncExitStack() as stack:
            await scene(served, stack)
        return served

    with asyncio.Runner(loop_factory=loop_type) as runner:
        return runner.run(run())


async def wait_some_rounds(
    served: Served, stack: contextlib.AsyncExitStack
) -> None:
    await served.open(stack)
    served.send_requests(stack)
    for _ in range(FEW_ROUNDS):
        await asyncio.sleep(0)


async def stop_at_once(
    served: Served, stack: contextlib.AsyncExitStack
) -> None:
    server = await served.open(stack)
    served.send_requests(stack)
    await server.stop_listening(now_s() + LONG_S)
    for _ in range(FEW_ROUNDS):
        await asyncio.sleep(0)


# Guards against a busy node that accepts one connection in each round of its
# loop, with more than a hundred others unread, and against one that stops and
# resets them.
@pytest.mark.parametrize(
    'loop_type', [uvloop.new_event_loop, asyncio.new_event_loop]
)
@pytest.mark.parametrize('scene', [wait_some_rounds, stop_at_once])
def test_connections_that_wait_are_served(scene: Scene, loop_type: Any) -> None:
    assert play(scene, loop_type).count == CALLERS
