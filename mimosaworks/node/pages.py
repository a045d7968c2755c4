"""Serves what a node answers on its ports."""

import contextlib

from aiohttp import web

from mimosaworks.node.node import Node
from mimosaworks.node.sessions import FIELD_BYTES
from mimosaworks.platform import directory_app, ready_app
from mimosaworks.serving import serve_app
from mimosaworks.wire import (
    Beat,
    CallAsk,
    LeaseNotice,
    add_peer_handler,
    new_peer_app,
)

DIRECTORY_TTL_S = 2.0  # in which callers learn of a VM that stops
CALLER_IDLE_S = 20.0  # longer than callers may stay idle


async def serve_pages(node: Node, stack: contextlib.AsyncExitStack) -> None:
    """Serve peers, metrics, directory, readiness and callers."""
    cfg = node.cfg
    peer_app = new_peer_app()
    add_peer_handler(peer_app, CallAsk, node.on_ask)
    add_peer_handler(peer_app, Beat, node.on_beat)
    add_peer_handler(peer_app, LeaseNotice, node.electorate.on_notice)
    await serve_app(peer_app, cfg.peer_address, stack, cancels_on_hang_up=True)
    await serve_app(node.meters.app(), cfg.metrics_address, stack)
    directory = directory_app(node.addresses, DIRECTORY_TTL_S)
    await serve_app(directory, cfg.directory_address, stack)
    await serve_app(ready_app(node.is_ready), cfg.ready_address, stack)
    await _serve_callers(node, stack)


async def _serve_callers(node: Node, stack: contextlib.AsyncExitStack) -> None:
    server = web.Server(
        node.front.handle,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=CALLER_IDLE_S,
        max_field_size=FIELD_BYTES,
        max_line_size=FIELD_BYTES,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = node.cfg.front_address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
