"""Makes the loss of an answer without framing visible to its caller."""

import asyncio
import socket
import struct

_LINGER = 'ii'  # struct linger: whether it is on, and for how many seconds


def set_reset_on_close(
    transport: asyncio.WriteTransport | None, *, is_on: bool
) -> None:
    """Have a connection reset when it is closed, or closed as usual.

    The end of the process closes it too. While it is on, waiting for the
    transport waits until all bytes are with the operating system, so that it
    can be set off behind the last one.
    """
    sock = None if transport is None else transport.get_extra_info('socket')
    if transport is not None and sock is not None and sock.fileno() >= 0:
        transport.set_write_buffer_limits(0 if is_on else None)
        linger = struct.pack(_LINGER, int(is_on), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
