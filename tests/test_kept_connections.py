"""What arrives on a kept connection beside the answer to a request."""

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from collections.abc import AsyncGenerator

import aiohttp
import attrs
import pytest

from mimosaworks.bounded_answers import BoundedConnector
from mimosaworks.unmixed_bodies import ForeignAnswerError

ID = 'X-Request-Id'
MOST = 4000000
LARGE = 1000000
LATER_S = 0.05
ACCEPT_S = 2.0


def answer(request_id: str, body: bytes = b'', status: str = '200 OK') -> bytes:
    """Return a whole answer, without an id where that is empty."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    if request_id:
        lines.append(f'{ID}: {request_id}')
    return '\r\n'.join((*lines, '', '')).encode() + body


@attrs.define(eq=False)
class Script:
    """A server that sends given bytes to each request, by its id.

    later is sent a while after that; conns counts the connections.
    """

    sends: dict[str, bytes]
    later: dict[str, bytes] = attrs.field(factory=dict)
    conns: int = 0
    url: str = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.conns += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._send(_id_of(head), writer)
        writer.close()

    async def _send(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self.sends[request_id])
        await writer.drain()
        later = self.later.get(request_id, b'')
        if later:
            await asyncio.sleep(LATER_S)
            writer.write(later)


@contextlib.asynccontextmanager
async def opened(
    script: Script, id_field: str = ID
) -> AsyncGenerator[aiohttp.ClientSession, None]:
    """Open a client of the script."""
    server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    script.url = f'http://{host}:{port}/'
    connector = BoundedConnector(MOST, id_field)
    async with server, aiohttp.ClientSession(connector=connector) as session:
        yield session


async def ask(
    session: aiohttp.ClientSession, script: Script, request_id: str
) -> tuple[int, bytes]:
    """Send a request; return the status and the body of its answer."""
    headers = {ID: request_id} if request_id else {}
    async with session.get(script.url, headers=headers) as resp:
        return (resp.status, await resp.read())


def _id_of(head: bytes) -> str:
    lines = head.decode().split('\r\n')
    ids = [line for line in lines if line.startswith(f'{ID}: ')]
    return ids[0].partition(': ')[2] if ids else ''


INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
UNFRAMED = f'HTTP/1.1 200 OK\r\n{ID}: a\r\n\r\n'.encode()


# Guards against a search that is blind behind interim heads that come in one
# packet with the answer, or behind heads whose lines end with LF.
@pytest.mark.parametrize('interim_heads', [0, 1, 5, 50])
@pytest.mark.parametrize('line_end', [b'\r\n', b'\n'])
async def test_a_body_is_searched_whatever_heads_come_with_it(
    interim_heads: int, line_end: bytes
) -> None:
    heads = b''.join((INTERIM * interim_heads, UNFRAMED))
    heads = heads.replace(b'\r\n', line_end)
    sent = b''.join((heads, b'part', answer('b', b'two')))
    script = Script({'a': sent})
    async with opened(script) as session:
        with pytest.raises(ForeignAnswerError):
            async with asyncio.timeout(ACCEPT_S):
                await ask(session, script, 'a')


async def test_sound_answers_keep_their_connection() -> None:
    script = Script({name: answer(name, name.encode()) for name in 'abcde'})
    async with opened(script) as session:
        for name in script.sends:
            assert await ask(session, script, name) == (200, name.encode())
    assert script.conns == 1


# Guards against bytes that came while nothing was asked and that were taken
# for the answer to the next request.
@pytest.mark.parametrize('id_field', [ID, ''])
@pytest.mark.parametrize(
    'extra',
    [answer('a', b'copy'), answer('', b'copy'), b'no answer', b'HTTP/1.1 20'],
)
async def test_a_connection_is_closed_when_bytes_come_while_it_is_idle(
    extra: bytes, id_field: str
) -> None:
    sends = {'a': answer('a', b'one'), 'b': answer('b', b'two')}
    script = Script(sends, later={'a': extra})
    async with opened(script, id_field) as session:
        assert await ask(session, script, 'a') == (200, b'one')
        await asyncio.sleep(2 * LATER_S)
        assert await ask(session, script, 'b') == (200, b'two')
    assert script.conns == 2


# Guards against bytes that have come and that the client has not read yet when
# it writes the next request.
async def test_a_connection_with_unread_bytes_is_not_used() -> None:
    server = socket.create_server(('127.0.0.1', 0))
    server.settimeout(ACCEPT_S)
    is_sent = threading.Event()
    serving = asyncio.create_task(
        asyncio.to_thread(_serve_two, server, is_sent)
    )
    host, port = server.getsockname()
    url = f'http://{host}:{port}/'
    connector = BoundedConnector(MOST, ID)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.get(url, headers={ID: 'a'}) as resp:
            await resp.read()
        is_sent.wait()  # Nothing is read meanwhile.
        async with session.get(url, headers={ID: 'b'}) as resp:
            assert await resp.read() == b'two'
    await serving


# Guards against a whole answer that is lost by bytes behind it.
@pytest.mark.parametrize(
    'extra',
    [answer('a', b'copy'), answer('', b'copy'), b'no answer', b'HTTP/1.1 20'],
)
async def test_bytes_right_behind_an_answer_leave_it_whole(
    extra: bytes,
) -> None:
    sends = {'a': answer('a', b'one') + extra, 'b': answer('b', b'two')}
    script = Script(sends)
    async with opened(script) as session:
        assert await ask(session, script, 'a') == (200, b'one')
        assert await ask(session, script, 'b') == (200, b'two')
    assert script.conns == 2


# Guards against an answer whose end is never told: it is malformed in the piece
# in which its head came.
@pytest.mark.parametrize('before', [b'', answer('a', b'copy')])
async def test_an_answer_that_is_malformed_behind_its_head_ends_at_once(
    before: bytes,
) -> None:
    lines = [
        'HTTP/1.1 200 OK',
        f'{ID}: b',
        'Transfer-Encoding: chunked',
        '',
        '3\r\none\r\nno chunk\r\n',
    ]
    malformed = '\r\n'.join(lines).encode()
    script = Script({'a': answer('a'), 'b': before + malformed})
    async with opened(script) as session, asyncio.timeout(ACCEPT_S):
        await ask(session, script, 'a')
        with pytest.raises(aiohttp.ClientError):
            await ask(session, script, 'b')


# Guards against a late answer to an earlier request that costs the next one
# its own, which follows.
@pytest.mark.parametrize('size', [4, LARGE])
async def test_a_late_answer_with_another_id_is_skipped(size: int) -> None:
    late = answer('a', b'c' * size)
    sends = {
        'a': answer('a', b'one'),
        'b': late + late + answer('b', b'two'),
        'c': answer('c', b'three'),
    }
    script = Script(sends)
    async with opened(script) as session:
        assert await ask(session, script, 'a') == (200, b'one')
        assert await ask(session, script, 'b') == (200, b'two')
        assert script.conns == 1
        assert await ask(session, script, 'c') == (200, b'three')
    assert script.conns == 2


# Guards against a late rejection or answer without an id that is believed.
@pytest.mark.parametrize('status', ['200 OK', '503 Full', '421 Other'])
async def test_an_answer_without_an_id_is_believed_on_a_new_connection_only(
    status: str,
) -> None:
    bare = answer('', b'bare', status)
    script = Script({'a': bare, 'b': bare})
    async with opened(script) as session:
        code = int(status.partition(' ')[0])
        assert await ask(session, script, 'a') == (code, b'bare')
        with pytest.raises(ForeignAnswerError):
            await ask(session, script, 'b')
    assert script.conns == 1


async def test_a_first_answer_with_another_id_is_not_believed() -> None:
    script = Script({'a': answer('b', b'two')})
    async with opened(script) as session:
        with pytest.raises(ForeignAnswerError):
            await ask(session, script, 'a')


# Guards against a late copy of an earlier rejection of the same request.
async def test_a_request_is_not_sent_twice_on_one_connection() -> None:
    script = Script({'a': answer('a', b'', '503 Full'), 'b': answer('b')})
    async with opened(script) as session:
        await ask(session, script, 'a')
        await ask(session, script, 'b')
        assert script.conns == 1
        await ask(session, script, 'a')
    assert script.conns == 2


async def test_late_answers_without_end_are_given_up() -> None:
    sends = {'a': answer('a'), 'b': answer('a') * 100 + answer('b')}
    script = Script(sends)
    async with opened(script) as session:
        await ask(session, script, 'a')
        with pytest.raises(ForeignAnswerError):
            await ask(session, script, 'b')


# Guards against an order or a report that is told by a late answer.
async def test_a_request_without_an_id_skips_late_answers() -> None:
    sends = {
        'a': answer('a', b'one'),
        '': answer('a', b'copy') + answer('', b'two'),
    }
    script = Script(sends)
    async with opened(script) as session:
        assert await ask(session, script, 'a') == (200, b'one')
        assert await ask(session, script, '') == (200, b'two')
    assert script.conns == 1


async def test_interim_answers_need_no_id() -> None:
    interim = b'HTTP/1.1 102 Processing\r\n\r\n'
    sends = {name: interim + answer(name, b'body') for name in 'ab'}
    script = Script(sends)
    async with opened(script) as session:
        assert await ask(session, script, 'a') == (200, b'body')
        assert await ask(session, script, 'b') == (200, b'body')
    assert script.conns == 1


def _serve_two(server: socket.socket, is_sent: threading.Event) -> None:
    """Answer two requests on two connections, and send more on the first."""
    with server, contextlib.ExitStack() as stack:
        first = stack.enter_context(server.accept()[0])
        first.recv(MOST)
        first.sendall(answer('a', b'one'))
        time.sleep(LATER_S)
        first.sendall(answer('', b'copy'))
        is_sent.set()
        second = stack.enter_context(server.accept()[0])
        second.recv(MOST)
        second.sendall(answer('b', b'two'))


# Guards against another answer inside a body that is not looked for where the
# head in front of the body ends in the next packet.
@pytest.mark.parametrize('length', ['', 'Content-Length: 1000\r\n'])
@pytest.mark.parametrize('end', [b'\r\n\r\n', b'\n\n'])
@pytest.mark.parametrize('rest', [1, 2, 3, 4])
async def test_another_answer_is_found_behind_a_head_in_two_packets(
    rest: int, end: bytes, length: str
) -> None:
    head = f'HTTP/1.1 200 OK\r\n{length}{ID}: a'.encode()
    sent = b''.join((head, end, b'part of it', answer('b', b'other')))
    cut = len(head + end) - rest
    script = Script({'a': sent[:cut]}, {'a': sent[cut:]})
    async with opened(script) as session:
        with pytest.raises(ForeignAnswerError):
            async with asyncio.timeout(ACCEPT_S):
                await ask(session, script, 'a')


async def test_a_head_in_two_packets_is_read() -> None:
    head = answer('a', b'body').removesuffix(b'body')
    for part in itertools.accumulate(map(chr, head[:-1])):
        begun = part.encode()
        rest = head.removeprefix(begun)
        script = Script({'a': begun}, {'a': b'%sbody' % rest})
        async with opened(script) as session:
            assert await ask(session, script, 'a') == (200, b'body')
