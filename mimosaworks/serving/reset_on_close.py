"""Makes the loss of an answer without framing visible to its caller."""

import asyncio
import socket
import struct

_LINGER = 'ii'  # struct linger: whether it is on, and for how many seconds


def set_reset_on_close(
    transport: asyncio.BaseTransport | None, *, is_on: bool
) -> None:
    """Have a connection reset when it is closed, or closed as usual.

    The end of the process closes it too.
    """
    sock = None if transport is None else transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack(_LINGER, int(is_on), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
