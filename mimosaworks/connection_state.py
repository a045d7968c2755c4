"""What the operating system knows of a connection, read or not."""

import socket
from asyncio.trsock import TransportSocket

# The state of a connection of which the other side has closed nothing.
TCP_ESTABLISHED = 1


def is_established(sock: TransportSocket | None) -> bool:
    """Return whether neither side has closed or reset a connection.

    What the other side did counts once it has arrived, even if nothing is read.
    """
    if sock is None or sock.fileno() < 0:
        return False
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] == TCP_ESTABLISHED
