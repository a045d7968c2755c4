"""Serves what a node answers on its ports."""

import contextlib

from aiohttp import web

from mimosaworks.node.caller_server import serve_callers
from mimosaworks.node.node import Node
from mimosaworks.platform import directory_app, ready_app
from mimosaworks.serving import PROMPT_SHUTDOWN_S, serve_app
from mimosaworks.wire import (
    Beat,
    CallAsk,
    LeaseNotice,
    add_peer_handler,
    new_peer_app,
)

DIRECTORY_TTL_S = 2.0  # in which callers learn of a VM that stops


async def serve_pages(node: Node, stack: contextlib.AsyncExitStack) -> None:
    """Serve peers, metrics, directory, readiness and callers."""
    cfg = node.cfg
    peer_app = new_peer_app()
    add_peer_handler(peer_app, CallAsk, node.on_ask)
    add_peer_handler(peer_app, Beat, node.on_beat)
    add_peer_handler(peer_app, LeaseNotice, node.electorate.on_notice)
    await serve_app(
        peer_app,
        cfg.peer_address,
        stack,
        cancels_on_hang_up=True,
        shutdown_s=PROMPT_SHUTDOWN_S,
    )
    await _serve_page(node.meters.app(), cfg.metrics_address, stack)
    directory = directory_app(node.addresses, DIRECTORY_TTL_S)
    await _serve_page(directory, cfg.directory_address, stack)
    await _serve_page(ready_app(node.is_ready), cfg.ready_address, stack)
    node.callers = await serve_callers(
        node.front.handle,
        node.front.head_s,
        node.front.note_late_head,
        cfg.front_address,
        stack,
    )


async def _serve_page(
    app: web.Application, address: str, stack: contextlib.AsyncExitStack
) -> None:
    await serve_app(app, address, stack, shutdown_s=PROMPT_SHUTDOWN_S)
