"""Loopback addresses for child processes."""

import itertools
import os
import socket

_OCTETS = 250
_counter = itertools.count()


def reserve_address() -> str:
    """Return a free HOST:PORT on a loopback IP that only this process uses.

    The IP follows from the process id and a counter, the port is chosen by
    the system.
    """
    pid = os.getpid()
    second = 1 + pid % _OCTETS
    third = pid // _OCTETS % _OCTETS
    fourth = 1 + next(_counter) % _OCTETS
    host = f'127.{second}.{third}.{fourth}'
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.bind((host, 0))
        _, port = sock.getsockname()
    return f'{host}:{port}'
