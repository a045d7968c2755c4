"""Bodies without framing, which end with their connection."""

import ast
import asyncio
import contextlib
import re
from collections.abc import AsyncGenerator, Awaitable, Callable, Coroutine

import aiohttp
import attrs
import pytest
import uvloop

from mimosaworks.body_ends import BodyEndConnector
from mimosaworks.bounded_answers import BoundedConnector
from standins.addresses import reserve_address
from standins.resets import reset
from tests.catalogue import PACKAGE

HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n'
LARGE = b'x' * 3000000
PAUSE_S = 0.02
SESSION = re.compile(r'(aiohttp\.)?ClientSession\(')
PLAIN_CONNECTOR = re.compile(r'(aiohttp\.)?TCPConnector\(')
CONNECTORS = (
    pytest.param(BodyEndConnector, id='plain'),
    pytest.param(lambda: BoundedConnector(4000000), id='bounded'),
)
RUNNERS = (
    pytest.param(asyncio.run, id='asyncio'),
    pytest.param(uvloop.run, id='uvloop'),
)
Connector = Callable[[], aiohttp.TCPConnector]
Run = Callable[[Coroutine[None, None, None]], None]
PART = b'%sa part' % HEAD


@attrs.define(eq=False)
class EndingServer:
    """Sends bytes to each request, and ends the connection after a pause.

    pause_s None: it stays open.
    """

    sent: bytes
    pause_s: float | None = None
    is_reset: bool = False
    url: str = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.sent)
            if not self.is_reset:
                await writer.drain()
            if self.pause_s is None:
                await reader.read()
            elif self.pause_s:
                await asyncio.sleep(self.pause_s)
            if self.is_reset:
                reset(writer.transport)


@contextlib.asynccontextmanager
async def open_server(server: EndingServer) -> AsyncGenerator[None, None]:
    host, _, port = reserve_address().rpartition(':')
    server.url = f'http://{host}:{port}/'
    async with await asyncio.start_server(server.serve, host, int(port)):
        yield


@contextlib.asynccontextmanager
async def open_session(
    server: EndingServer, connector: Connector
) -> AsyncGenerator[aiohttp.ClientSession, None]:
    async with (
        open_server(server),
        aiohttp.ClientSession(connector=connector()) as session,
    ):
        yield session


async def read_body(session: aiohttp.ClientSession, url: str) -> bytes:
    async with session.get(url) as resp:
        return await resp.read()


# Guards against a body without framing that was reset and is read as if it
# were complete.
@pytest.mark.parametrize('run', RUNNERS)
@pytest.mark.parametrize('connector', CONNECTORS)
@pytest.mark.parametrize(
    'sent', [PART, HEAD, HEAD + LARGE], ids=['part', 'head', 'large']
)
@pytest.mark.parametrize('pause_s', [0, PAUSE_S])
def test_a_body_that_is_reset_is_not_complete(
    run: Run, connector: Connector, sent: bytes, pause_s: float
) -> None:
    async def read_some() -> None:
        server = EndingServer(sent, pause_s, is_reset=True)
        async with open_session(server, connector) as session:
            for _ in range(20):
                with pytest.raises(aiohttp.ClientError):
                    await read_body(session, server.url)

    run(read_some())


async def close_session(
    session: aiohttp.ClientSession, _: aiohttp.ClientResponse
) -> None:
    await session.close()


async def close_response(
    _: aiohttp.ClientSession, resp: aiohttp.ClientResponse
) -> None:
    resp.close()


async def abort_transport(
    _: aiohttp.ClientSession, resp: aiohttp.ClientResponse
) -> None:
    assert resp.connection is not None
    assert resp.connection.transport is not None
    resp.connection.transport.abort()


# Guards against a body without framing that this process cuts off, as at a
# stop, and that is read as if its server had ended it.
@pytest.mark.parametrize('run', RUNNERS)
@pytest.mark.parametrize('connector', CONNECTORS)
@pytest.mark.parametrize(
    'end', [close_session, close_response, abort_transport]
)
def test_a_body_that_this_process_cuts_off_is_not_complete(
    run: Run,
    connector: Connector,
    end: Callable[..., Awaitable[None]],
) -> None:
    async def read_one() -> None:
        server = EndingServer(PART)
        async with (
            open_session(server, connector) as session,
            session.get(server.url) as resp,
        ):
            reading = asyncio.create_task(resp.read())
            await asyncio.sleep(PAUSE_S)
            await end(session, resp)
            with pytest.raises(aiohttp.ClientError):
                await reading

    run(read_one())


# Guards against a complete body without framing that is taken for a lost one.
@pytest.mark.parametrize('run', RUNNERS)
@pytest.mark.parametrize('connector', CONNECTORS)
@pytest.mark.parametrize(
    'body', [b'', b'all of it', LARGE], ids=['empty', 'small', 'large']
)
def test_a_body_ends_with_the_connection_that_its_server_closes(
    run: Run, connector: Connector, body: bytes
) -> None:
    async def read_twice() -> None:
        server = EndingServer(HEAD + body, 0)
        async with open_session(server, connector) as session:
            assert await read_body(session, server.url) == body
            async with session.get(server.url) as resp:
                await asyncio.sleep(PAUSE_S)
                chunks = resp.content.iter_chunked(65536)
                assert b''.join([chunk async for chunk in chunks]) == body

    run(read_twice())


# Guards against a program whose session takes a part of a body for the whole.
def test_each_session_has_a_connector_that_tells_lost_bodies() -> None:
    sources = PACKAGE.rglob('*.py')
    calls = [
        ast.unparse(node)
        for source in sources
        for node in ast.walk(ast.parse(source.read_text()))
        if isinstance(node, ast.Call)
    ]
    sessions = [call for call in calls if SESSION.match(call)]
    assert sessions
    for call in sessions:
        assert 'connector=' in call
    for other in calls:
        assert not PLAIN_CONNECTOR.match(other)
