"""Answers that a target writes itself, byte by byte."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NoReturn, Protocol

import attrs
from aiohttp import web

from standins.resets import reset

# Time in which the bytes before a reset reach the other side.
RESET_DELAY_S = 0.03
EXPECTED = 'X-Expect-Instance'
CHUNKED = 'Transfer-Encoding: chunked'  # the field of an answer in chunks


def _serve_on(_target: str) -> None:
    """Go on."""


@attrs.frozen
class RawAnswer:
    """An answer in pieces, and how it ends.

    fields are lines of the head, pieces the body as it is on the wire, sent
    pause_s apart. is_reset: the connection is reset behind them, else it is
    closed. on_end is called with the target's name right before that.
    """

    pieces: tuple[bytes, ...]
    fields: tuple[str, ...] = ('Content-Type: text/event-stream',)
    is_reset: bool = False
    status: str = 'HTTP/1.1 200 OK'
    pause_s: float = 0.01
    on_end: Callable[[str], None] = _serve_on


class Writer(Protocol):
    """Says how targets send their answers."""

    def __call__(
        self, target: str, request_id: str, pieces: Sequence[bytes]
    ) -> RawAnswer | None:
        """Return the answer that has these pieces, None if it is as usual."""


def in_chunks(*pieces: bytes) -> tuple[bytes, ...]:
    """Return each piece as a chunk; an empty one is the last chunk."""
    return tuple(b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces)


async def send_raw(
    req: web.Request, raw: RawAnswer, head: dict[str, str]
) -> NoReturn:
    """Send an answer with more fields in its head, and end the connection."""
    transport = req.transport
    if transport is None:
        raise ConnectionResetError
    own_fields = tuple(f'{name}: {text}' for name, text in head.items())
    lines = (raw.status, *own_fields, *raw.fields, '', '')
    transport.write('\r\n'.join(lines).encode())
    for piece in raw.pieces:
        transport.write(piece)
        await asyncio.sleep(raw.pause_s)  # noqa: WPS476 -- one after another
    if raw.is_reset:
        await asyncio.sleep(RESET_DELAY_S)
    raw.on_end(req.headers.get(EXPECTED, ''))
    if raw.is_reset:
        reset(transport)
    else:
        transport.close()
    raise ConnectionResetError
