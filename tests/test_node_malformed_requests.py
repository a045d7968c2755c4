"""Malformed requests of callers and others at the ports of real nodes."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator

import pytest

from standins.agency.world import KEY, AgencyWorld
from tests.test_node_malformed import check_serves, world

__all__ = ['world']

HUGE = 10**30
LONG = 'f' * 5000
MANY = (b'',) * 20000
FAILURE = b'HTTP/1.1 500'
RAW_S = 2.5  # over the time limit of the route
HEAD = (
    'POST /look/x HTTP/1.1',
    'Host: camp.example',
    'X-Request-Id: odd',
    f'Authorization: Bearer {KEY}',
    'Connection: close',
)
EMPTY = 'Content-Length: 0'
ODD_FIELDS = (
    *(
        f'X-Token-Counts: {sent}'
        for sent in ('-5,10', '10,-5', f'{HUGE},1', f'1,{HUGE}', 'nan,1')
    ),
    *(
        f'X-Deadline: {sent}'
        for sent in ('nan', 'inf', '-inf', '1e400', '0', '-1', '5', 'x', '')
    ),
    *(
        f'X-Length-Hint: {sent}'
        for sent in ('inf', '-inf', 'nan', '-1', '1e300', '1e12', 'x', '')
    ),
    *(
        f'X-Prompt-Prefix: {sent}'
        for sent in (f'a:{HUGE}', 'a:-1', 'a:b', ':', ',', 'a:1,')
    ),
    'X-Model: \udcff',
    'X-Model: alpha/\udcff/\udcfe',
    f'X-Model: {LONG}',
    'X-Request-Id: \udcff',
    'Last-Event-Id: \udcff',
    'X-Any: \udcff',
    'Content-Encoding: gzip',
    'Expect: 100-continue',
    'Expect: nothing',
    'Upgrade: websocket',
    'Connection: Upgrade, close, X-Request-Id',
)
ODD_HEADS = (
    b'',
    b'\0' * 100,
    b'\r\n' * 100,
    b'GET',
    b'GET /look/x HTTP/9.9\r\n\r\n',
    b'POST /look/\xff\xfe HTTP/1.1\r\nHost: camp.example\r\n\r\n',
    b'GET http://[::1 HTTP/1.1\r\nHost: camp.example\r\n\r\n',
    b'GET /look/x HTTP/1.1\r\nHost: [\r\n\r\n',
    b'GET /look/x HTTP/1.1\r\nHost: camp.example:99999999\r\n\r\n',
    b'GET /look/x HTTP/1.1\r\nHost: \xff\r\n\r\n',
    b'GET /look/x\0 HTTP/1.1\r\nHost: camp.example\r\n\r\n',
    b'GET * HTTP/1.1\r\nHost: camp.example\r\n\r\n',
    b'CONNECT camp.example:1 HTTP/1.1\r\nHost: camp.example\r\n\r\n',
    b'A' * 100000,
    b'X: y\r\n'.join((b'GET /look/x HTTP/1.1\r\n', *MANY)),
)
ODD_BODIES = (
    'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
    'Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n',
    f'Transfer-Encoding: chunked\r\n\r\n{LONG}\r\n',
    'Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n',
    'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    'Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n',
    'Content-Length: -1\r\n\r\n',
    'Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef',
    'Content-Length: 99999999999999999999999\r\n\r\n',
    'Content-Length: 10\r\n\r\nabc',
)


async def send_raw(address: str, sent: bytes) -> bytes:
    """Return what a server says to some bytes until it or we give up."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(sent)
        return await asyncio.wait_for(reader.read(), RAW_S)
    writer.close()
    return b''


def odd_requests() -> Iterator[bytes]:
    yield from ODD_HEADS
    for field in ODD_FIELDS:
        lines = [*HEAD, field, EMPTY, '', '']
        yield '\r\n'.join(lines).encode('utf-8', 'surrogateescape')
    for body in ODD_BODIES:
        yield '\r\n'.join([*HEAD, body]).encode()


async def storm(addresses: list[str]) -> list[bytes]:
    """Send all odd requests to all addresses; return those that failed."""
    sends = list(itertools.product(addresses, odd_requests()))
    answers = await asyncio.gather(*itertools.starmap(send_raw, sends))
    return [
        sent
        for (_, sent), answer in zip(sends, answers, strict=True)
        if answer.startswith(FAILURE)
    ]


# Guards against a caller's malformed request that a node can't tell the holder
# of, or that ends what serves callers.
async def test_malformed_requests_of_callers_are_refused(
    world: AgencyWorld,
) -> None:
    failed = await storm([node.front for node in world.nodes])
    assert not failed
    await check_serves(world)


@pytest.mark.parametrize('port', ['directory', 'ready', 'metrics'])
async def test_malformed_requests_to_other_ports_are_refused(
    world: AgencyWorld, port: str
) -> None:
    addresses = [getattr(node, port) for node in world.nodes]
    failed = await storm(addresses)
    assert not failed
    await check_serves(world)
