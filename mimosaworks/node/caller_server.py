"""The HTTP server that callers connect to."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection

import attrs
from aiohttp import web

from mimosaworks.bounded_answers import HeldBytes
from mimosaworks.clock import now_s
from mimosaworks.node.caller_listener import CallerListener, listen
from mimosaworks.node.head_timeout_server import HeadTimeoutServer
from mimosaworks.node.sessions import MAX_HEADER_FIELD_BYTES
from mimosaworks.serving import PROMPT_SHUTDOWN_S

# Callers close idle connections earlier, so the server does not close one on
# which a caller sends a request.
CALLER_IDLE_TIMEOUT_S = 20.0
# Of a body that waits for room, this much is buffered, twice.
READ_BYTES = 65536
CLOSE_POLL_INTERVAL_S = 0.01
CallerHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.frozen(eq=False)
class CallerServer:
    """A listening server with the connections of its callers."""

    server: web.Server
    listener: CallerListener

    async def stop_listening(self, accept_until_s: float) -> None:
        """Stop accepting connections; open ones stay.

        Those that wait are accepted before, until accept_until_s at most.
        """
        while now_s() < accept_until_s:
            if not self.listener.has_waiting_connections():
                break
            await asyncio.sleep(0)
        self.listener.close()

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.server.connections)

    async def close_idle_connections(
        self,
        find_busy_connections: Callable[[], Collection[web.RequestHandler]],
    ) -> None:
        """Close connections as they become idle; return when none is left.

        find_busy_connections returns those that must stay open for now.
        """
        while self.server.connections:
            busy_connections = find_busy_connections()
            for conn in self.server.connections:
                if conn not in busy_connections:
                    conn.force_close()
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)


async def serve_callers(
    handler: CallerHandler,
    head_timeout_s: Callable[[], float],
    on_head_timeout: Callable[[], None],
    held_heads: HeldBytes,
    address: str,
    stack: contextlib.AsyncExitStack,
) -> CallerServer:
    """Serve callers at host:port until the stack is closed.

    The handler runs until the last byte of its answer is written and is
    cancelled when the caller disconnects. The head of a connection's first
    request may take head_timeout_s() seconds; on_head_timeout is called for
    each one that takes longer. held_heads bounds the bytes of all heads.
    """
    server = HeadTimeoutServer(
        handler,
        held_heads,
        head_timeout_s,
        on_head_timeout,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=CALLER_IDLE_TIMEOUT_S,
        lingering_time=0,
        read_bufsize=READ_BYTES,
        max_field_size=MAX_HEADER_FIELD_BYTES,
        max_line_size=MAX_HEADER_FIELD_BYTES,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=PROMPT_SHUTDOWN_S)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    listener = await listen(server, address)
    stack.callback(listener.close)
    return CallerServer(server, listener)
