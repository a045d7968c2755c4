"""Client sessions of a node."""

import contextlib
import socket
import types

import aiohttp

from mimosaworks.bounded_answers import BoundedConnector
from mimosaworks.node.attempt_sender import CONNECT_TIMEOUT_S
from mimosaworks.platform.headers import REQUEST_ID
from mimosaworks.send_guard import guard_trace

MAX_HEADER_FIELD_BYTES = (
    65536  # callers list all parts of a prompt in one field
)
# Unacknowledged bytes for this long (ms) close a connection that fell silent.
TCP_USER_TIMEOUT_MS = 3000
_TCP_OPTIONS = types.MappingProxyType({
    socket.TCP_NODELAY: 1,
    socket.TCP_USER_TIMEOUT: TCP_USER_TIMEOUT_MS,
})
AddrInfo = tuple[int, int, int, str, object]


async def open_session(
    stack: contextlib.AsyncExitStack,
    idle_timeout_s: float,
    max_answer_bytes: int,
    id_header: str = '',
) -> aiohttp.ClientSession:
    """Return a session that keeps idle connections for idle_s seconds.

    It closes those on which an answer has more than answer_bytes bytes.
    id_field is the header field by which answers are told apart.
    """
    connector = BoundedConnector(
        max_answer_bytes,
        id_header,
        limit=0,
        keepalive_timeout=idle_timeout_s,
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
    """Return a session for targets, which repeat the ids of requests."""
    return await open_session(
        stack, idle_timeout_s, max_answer_bytes, REQUEST_ID
    )


def _make_socket(info: AddrInfo) -> socket.socket:
    family, kind, proto = info[:3]
    sock = socket.socket(family, kind, proto)
    for name, setting in _TCP_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, name, setting)
    return sock
