"""The server that callers connect to."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection

import attrs
from aiohttp import web

from mimosaworks.node.head_timeout_server import HeadTimeoutServer
from mimosaworks.node.sessions import MAX_HEADER_FIELD_BYTES
from mimosaworks.serving import PROMPT_SHUTDOWN_S

CALLER_IDLE_TIMEOUT_S = 20.0  # longer than callers may stay idle
CLOSE_POLL_INTERVAL_S = 0.01
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.frozen(eq=False)
class CallerServer:
    """Listens for callers and holds their connections."""

    server: web.Server
    site: web.TCPSite

    async def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        await self.site.stop()

    def count_connections(self) -> int:
        """Return the number of connections that are not closed."""
        return len(self.server.connections)

    async def close_idle_connections(
        self,
        find_busy_connections: Callable[[], Collection[web.RequestHandler]],
    ) -> None:
        """Close connections that are not busy; return when none is left."""
        while self.server.connections:
            busy_connections = find_busy_connections()
            for conn in self.server.connections:
                if conn not in busy_connections:
                    conn.force_close()
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)


async def serve_callers(
    handler: Handler,
    head_timeout_s: Callable[[], float],
    on_head_timeout: Callable[[], None],
    address: str,
    stack: contextlib.AsyncExitStack,
) -> CallerServer:
    """Serve callers at host:port until the stack is closed.

    The handler sees a request to its last byte and is cancelled when the
    caller disconnects. A connection's first head may take head_s seconds;
    on_late_head is called for each one that takes longer.
    """
    server = HeadTimeoutServer(
        handler,
        head_timeout_s,
        on_head_timeout,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=CALLER_IDLE_TIMEOUT_S,
        lingering_time=0,
        max_field_size=MAX_HEADER_FIELD_BYTES,
        max_line_size=MAX_HEADER_FIELD_BYTES,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=PROMPT_SHUTDOWN_S)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = address.rpartition(':')
    site = web.TCPSite(runner, host, int(port))
    await site.start()
    return CallerServer(server, site)
