"""HTTP endpoints of a node, one per port."""

import contextlib
import functools

from aiohttp import web

from mimosaworks.bounded_heads import new_held_heads
from mimosaworks.deployment import RequestLimits
from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.node import call_log
from mimosaworks.node.caller_server import serve_callers
from mimosaworks.node.lease_handover import answer_probe
from mimosaworks.node.node import Node
from mimosaworks.node.relay_peers import RELAY_PREFIX
from mimosaworks.node.sessions import MAX_HEADER_FIELD_BYTES
from mimosaworks.platform import directory_app, ready_app
from mimosaworks.serving import PROMPT_SHUTDOWN_S, serve_app
from mimosaworks.wire import (
    Beat,
    CallAsk,
    LeaseAsk,
    LeaseNotice,
    LeaseOffer,
    StoreProbe,
    StreamAsk,
    StreamReply,
    add_peer_handler,
    new_peer_app,
)

# Time within which callers learn that a VM stops.
DIRECTORY_TTL_S = 2.0


async def serve_endpoints(node: Node, stack: contextlib.AsyncExitStack) -> None:
    """Serve peers, metrics, directory, readiness and callers.

    They are served until the stack is closed.
    """
    cfg = node.cfg
    held_heads = new_held_heads()
    peer_app = new_peer_app()
    add_peer_handler(peer_app, CallAsk, node.handle_call_ask)
    add_peer_handler(peer_app, Beat, node.handle_heartbeat)
    add_peer_handler(
        peer_app, StreamAsk, functools.partial(_answer_stream_ask, node)
    )
    add_peer_handler(peer_app, LeaseNotice, node.candidates.handle_lease_notice)
    add_peer_handler(peer_app, LeaseAsk, node.candidates.handle_lease_ask)
    add_peer_handler(peer_app, LeaseOffer, node.candidates.handle_lease_offer)
    add_peer_handler(
        peer_app,
        StoreProbe,
        functools.partial(answer_probe, node.store_client),
    )
    peer_app.router.add_route(
        '*', f'{RELAY_PREFIX}/{{tail:.*}}', node.frontend.relay.handle_request
    )
    await serve_app(
        peer_app,
        cfg.peer_address,
        stack,
        cancels_on_hang_up=True,
        shutdown_s=PROMPT_SHUTDOWN_S,
        held_heads=held_heads,
        # Callers' requests are relayed as they are.
        max_field_size=MAX_HEADER_FIELD_BYTES,
        max_line_size=MAX_HEADER_FIELD_BYTES,
        auto_decompress=False,
    )
    serve_small = functools.partial(
        serve_app,
        stack=stack,
        shutdown_s=PROMPT_SHUTDOWN_S,
        held_heads=held_heads,
    )
    await serve_small(node.meters.make_metrics_app(), cfg.metrics_address)
    directory = directory_app(node.caller_addresses, DIRECTORY_TTL_S)
    await serve_small(directory, cfg.directory_address)
    await serve_small(ready_app(node.accepts_callers), cfg.ready_address)
    node.caller_server = await serve_callers(
        node.frontend.handle_request,
        functools.partial(_head_timeout_s, node),
        functools.partial(_record_head_timeout, node),
        held_heads,
        cfg.front_address,
        stack,
    )


async def _answer_stream_ask(node: Node, stream_ask: StreamAsk) -> StreamReply:
    """Answer a node that asks where a stream began."""
    if node.holder is None or node.holder.stream_saver is None:
        raise web.HTTPConflict(text='not the holder')
    return await node.holder.stream_saver.find_stream(stream_ask.request_id)


def _head_timeout_s(node: Node) -> float:
    """Return the timeout for the head of a caller's request."""
    deployment = node.cluster_state.deployment
    limits = RequestLimits() if deployment is None else deployment.limits
    return limits.header_timeout_s


def _record_head_timeout(node: Node) -> None:
    """Log and count a connection that was closed by the head timeout."""
    exc = RequestError(
        ErrorKind.BAD_REQUEST, 'the head did not arrive within its timeout'
    )
    deployment = node.cluster_state.deployment
    version = 0 if deployment is None else deployment.version
    call_log.log_refused('', exc, version, node.holder_link.last_reply_age_s())
    node.meters.refusals.labels(exc.kind.value).inc()
