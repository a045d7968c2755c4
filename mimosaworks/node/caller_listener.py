"""Listening sockets of a node that accept several connections at once."""

import asyncio
import contextlib
import errno
import functools
import select
import socket
from collections.abc import Callable

import attrs

LISTEN_BACKLOG = 128
# More would have the loop's other work wait for all their requests.
ACCEPTS_PER_ROUND = 16
ACCEPT_RETRY_DELAY_S = 1.0
_NO_RESOURCES = frozenset((
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
))


@attrs.define(eq=False)
class CallerListener:
    """Accepts connections for a server in the running loop.

    uvloop accepts one connection in each round of its loop. While rounds are
    long, callers would wait in the queues of the sockets.
    """

    make_protocol: Callable[[], asyncio.Protocol]
    sockets: tuple[socket.socket, ...]
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    _retry_timers: dict[socket.socket, asyncio.TimerHandle] = attrs.field(
        factory=dict
    )

    def start(self) -> None:
        """Accept connections until close is called."""
        for sock in self.sockets:
            self._watch(sock)

    def close(self) -> None:
        """Close the sockets; connections that wait are reset."""
        for timer in self._retry_timers.values():
            timer.cancel()
        for sock in self.sockets:
            if sock.fileno() >= 0:
                asyncio.get_running_loop().remove_reader(sock)
                sock.close()

    def has_waiting_connections(self) -> bool:
        """Return whether connections wait to be accepted."""
        poll = select.poll()
        for sock in self.sockets:
            poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def _watch(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(sock, functools.partial(self._accept_or_pause, sock))

    def _accept_or_pause(self, sock: socket.socket) -> None:
        try:
            self._accept_waiting(sock)
        except OSError as exc:
            if exc.errno not in _NO_RESOURCES:
                raise
            # The socket stays readable, so the loop would not wait.
            loop = asyncio.get_running_loop()
            loop.remove_reader(sock)
            loop.call_exception_handler({
                'message': 'no resources to accept connections',
                'exception': exc,
            })
            self._retry_timers[sock] = loop.call_later(
                ACCEPT_RETRY_DELAY_S, self._watch, sock
            )

    def _accept_waiting(self, sock: socket.socket) -> None:
        for _ in range(ACCEPTS_PER_ROUND):
            try:
                conn, _ = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            conn.setblocking(False)
            task = asyncio.create_task(self._serve(conn))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        # The caller may have reset the connection meanwhile.
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(self.make_protocol, conn)


async def listen(
    make_protocol: Callable[[], asyncio.Protocol], address: str
) -> CallerListener:
    """Serve connections at host:port; raises OSError."""
    host, _, port = address.rpartition(':')
    infos = await asyncio.get_running_loop().getaddrinfo(
        host or None,
        int(port),
        type=socket.SOCK_STREAM,
        flags=socket.AI_PASSIVE,
    )
    sockets = []
    for family, _, _, _, sock_address in dict.fromkeys(infos):
        sock = socket.create_server(
            sock_address, family=family, backlog=LISTEN_BACKLOG
        )
        sock.setblocking(False)
        sockets.append(sock)
    listener = CallerListener(make_protocol, tuple(sockets))
    listener.start()
    return listener
