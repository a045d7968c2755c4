"""Ends connections with a reset."""

import asyncio
import socket
import struct

_NO_LINGER = struct.pack('ii', 1, 0)


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset, which drops what was not sent."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
