"""HTTP client sessions of a node."""

import contextlib
import socket
import types

import aiohttp

from mimosaworks.bounded_answers import BoundedConnector
from mimosaworks.node.attempt_sender import CONNECT_TIMEOUT_S
from mimosaworks.platform import EngineCalls
from mimosaworks.platform.headers import REQUEST_ID
from mimosaworks.send_guard import guard_trace

# Large, as callers list all parts of a prompt in one field.
MAX_HEADER_FIELD_BYTES = 65536
# A connection is closed when sent bytes stay unacknowledged for this time, as
# when the other side is unreachable.
TCP_USER_TIMEOUT_MS = 3000
_TCP_OPTIONS = types.MappingProxyType({
    socket.TCP_NODELAY: 1,
    socket.TCP_USER_TIMEOUT: TCP_USER_TIMEOUT_MS,
})
AddrInfo = tuple[int, int, int, str, object]


async def open_session(
    stack: contextlib.AsyncExitStack,
    idle_timeout_s: float | None,
    max_answer_bytes: int,
    id_header: str = '',
) -> aiohttp.ClientSession:
    """Return a session that keeps idle connections for idle_timeout_s.

    With None it opens a connection for each request.
    It closes a connection on which an answer exceeds max_answer_bytes.
    id_header is the header field with a request's id, by which its answer is
    recognised; empty where answers have none.
    """
    connector = BoundedConnector(
        max_answer_bytes,
        id_header,
        limit=0,
        force_close=idle_timeout_s is None,
        **_keepalive(idle_timeout_s),
        socket_factory=_make_socket,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=MAX_HEADER_FIELD_BYTES,
        max_line_size=MAX_HEADER_FIELD_BYTES,
        max_field_size=MAX_HEADER_FIELD_BYTES,
        trace_configs=[guard_trace()],
    )
    return await stack.enter_async_context(session)


async def open_target_session(
    stack: contextlib.AsyncExitStack,
    idle_timeout_s: float,
    max_answer_bytes: int,
) -> aiohttp.ClientSession:
    """Return a session for targets, which repeat request ids in answers."""
    return await open_session(
        stack, idle_timeout_s, max_answer_bytes, REQUEST_ID
    )


async def open_engine_calls(
    stack: contextlib.AsyncExitStack, max_answer_bytes: int
) -> EngineCalls:
    """Return the orders and reports of a node, a connection for each.

    They have no id: on a kept connection, a late copy of an earlier answer
    would be taken for the next one.
    """
    return EngineCalls(await open_session(stack, None, max_answer_bytes))


def _keepalive(idle_timeout_s: float | None) -> dict[str, float]:
    # The base refuses the parameter for connections that are not kept.
    if idle_timeout_s is None:
        return {}
    return {'keepalive_timeout': idle_timeout_s}


def _make_socket(info: AddrInfo) -> socket.socket:
    family, socket_type, proto = info[:3]
    sock = socket.socket(family, socket_type, proto)
    for option, option_value in _TCP_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, option_value)
    return sock
