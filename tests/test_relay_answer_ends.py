"""Answers of services that end in several ways, at a real router."""

import asyncio
import contextlib
import functools
import gzip
import types
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Any, TypeAlias

import attrs
import pytest
from aiohttp import web

from mimosaworks.entities import Route, Target
from standins.addresses import reserve_address
from standins.agency.raw_answer import CHUNKED, RawAnswer, in_chunks, send_raw
from standins.serving import split_address
from tests.harness import wait_until
from tests.harness_entry import CALLER_KEY, Entry

TARGETS = 2
POLLED_S = 2.5  # in which a router reads the list of VMs
REQUEST_ID = 'X-Request-Id'
PLAIN = ('Content-Type: text/plain',)
ONE = b'data: 1\n\n'
HALF = b'data: 2'
PING = b': ping\n\n'
MARK = b'\xef\xbb\xbf'
BODY = b'a plain body'
NEXT = b'from the next target'
BROKEN = 'broken off'
LOST = ('502', b'may-have-run')
AGAIN = ('200', NEXT)
LENGTH_0 = 'Content-Length: 0'
Seen: TypeAlias = tuple[str, bytes]


@attrs.define(eq=False)
class RawService:
    """Two targets of one route, which send the answers and NEXT behind them.

    With is_ending a target ends with its answer: it accepts no connection from
    delay_s behind that on.
    """

    answers: list[RawAnswer]
    is_ending: bool = False
    delay_s: float = 0
    paths: list[str] = attrs.field(factory=list)
    addresses: list[str] = attrs.field(factory=list)

    async def open(self, stack: contextlib.AsyncExitStack) -> str:
        """Open a target and return its URL."""
        address = reserve_address()
        self.addresses.append(address)
        app = web.Application()
        runner = web.AppRunner(app, shutdown_timeout=0)
        servers: list[asyncio.Server] = []
        answer = functools.partial(self._answer, servers)
        app.router.add_route('*', '/{path:.*}', answer)
        stack.push_async_callback(runner.cleanup)
        await runner.setup()
        assert runner.server is not None
        server = await asyncio.get_running_loop().create_server(
            runner.server, *split_address(address)
        )
        servers.append(server)
        stack.callback(server.close)
        return f'http://{address}'

    async def _answer(
        self, servers: list[asyncio.Server], req: web.Request
    ) -> web.Response:
        await req.read()
        self.paths.append(req.path)
        head = {REQUEST_ID: req.headers[REQUEST_ID]}
        if self.answers:
            raw = self.answers.pop(0)
            if self.is_ending:
                raw = attrs.evolve(raw, on_end=lambda _: self._end(servers[0]))
            await send_raw(req, raw, head)
        return web.Response(body=NEXT, headers=head)

    def _end(self, server: asyncio.Server) -> None:
        if self.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, server.close)
        else:
            server.close()


@attrs.define(eq=False)
class RawServices:
    """A router before two targets for each route, /once/NAME or /again/NAME.

    Requests to the latter may be sent again.
    """

    entry: Entry
    stack: contextlib.AsyncExitStack

    async def open(self, services: Mapping[str, RawService]) -> None:
        """Open targets and routes for services by the path of the route."""
        entities: list[Route | Target] = []
        for path, service in services.items():
            entities.append(
                Route(
                    path, path, path, 'service', is_idempotent='again' in path
                )
            )
            for number in range(TARGETS):
                url = await service.open(self.stack)
                entities.append(
                    Target(f'{path}-{number}', url, path, 'service')
                )
        await self.entry.open(*entities)

    async def ask(self, path: str, **options: Any) -> Seen:
        """Return what the caller of a route got.

        That is the status and the body, BROKEN and what came before the error
        event, or the status of an error and the run state.
        """
        answer = await self.entry.call(path, b'x', **options)
        if answer.run:
            return str(answer.status), answer.run.encode()
        body, error, _ = answer.body.partition(b'event: error\n')
        return BROKEN if error else str(answer.status), body

    async def send_as_http_1_0(
        self, path: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request whose answer may have no chunks."""
        reader, writer = await asyncio.open_connection(
            *split_address(self.entry.router.address)
        )
        lines = (
            f'GET {path} HTTP/1.0',
            f'Authorization: Bearer {CALLER_KEY}',
            '\r\n',
        )
        writer.write('\r\n'.join(lines).encode())
        return reader, writer


async def ask_once_and_again(
    services: RawServices, raws: Mapping[str, RawAnswer], **facts: Any
) -> dict[str, tuple[Seen, Seen]]:
    """Return what callers get of each answer where it can't be sent again.

    And where it can.
    """
    by_path = {
        f'/{kind}/{number}': RawService([raw], **facts)
        for number, raw in enumerate(raws.values())
        for kind in ('once', 'again')
    }
    await services.open(by_path)
    paths = list(by_path)
    seen = await asyncio.gather(*map(services.ask, paths))
    by_kind = zip(seen[::2], seen[1::2], strict=True)
    return dict(zip(raws, by_kind, strict=True))


@pytest.fixture
async def services(entry: Entry) -> AsyncIterator[RawServices]:
    async with contextlib.AsyncExitStack() as stack:
        yield RawServices(entry, stack)


def both(status: str, body: bytes) -> tuple[Seen, Seen]:
    return ((status, body), (status, body))


def plain(*pieces: bytes, **facts: Any) -> RawAnswer:
    return RawAnswer(pieces, PLAIN, **facts)


def framed(*fields: str, pieces: tuple[bytes, ...]) -> RawAnswer:
    return RawAnswer(
        pieces,
        ('Content-Type: text/event-stream', 'Connection: close', *fields),
    )


WHOLE = types.MappingProxyType({
    'stream': (RawAnswer((ONE, ONE)), ONE + ONE),
    'stream, mark': (RawAnswer((MARK, ONE)), MARK + ONE),
    'stream, comments': (
        RawAnswer((PING, ONE, PING[:4])),
        PING + ONE + PING[:4],
    ),
    'stream in chunks': (
        framed(CHUNKED, pieces=in_chunks(ONE, ONE, b'')),
        ONE + ONE,
    ),
    'stream, encoded': (
        framed(
            CHUNKED,
            'Content-Encoding: gzip',
            pieces=in_chunks(gzip.compress(ONE), b''),
        ),
        ONE,
    ),
    'no event in chunks': (framed(CHUNKED, pieces=in_chunks(b'')), b''),
    'no event, by length': (framed(LENGTH_0, pieces=()), b''),
    'plain': (plain(BODY), BODY),
    'plain, HTTP/1.0': (plain(BODY, status='HTTP/1.0 200 OK'), BODY),
    'plain, none': (plain(), b''),
})


# Guards against whole answers that are taken for broken ones.
async def test_whole_answers_are_served(services: RawServices) -> None:
    raws = {name: raw for name, (raw, _) in WHOLE.items()}
    seen = await ask_once_and_again(services, raws)
    assert seen == {
        name: both('200', body) for name, (_, body) in WHOLE.items()
    }


TYPES = (
    'text/event-stream',
    'Text/Event-Stream; charset=utf-8',
    '"text/event-stream"',
    'text/event-stream, x',
)


# Guards against half an event at the end of a stream whose type some servers
# write otherwise, and that reached its caller as complete.
async def test_a_stream_ends_outside_of_events_however_its_type_is_written(
    services: RawServices,
) -> None:
    raws = {
        f'{name} {last!r}': RawAnswer((ONE, last), (f'Content-Type: {name}',))
        for name in TYPES
        for last in (HALF, ONE)
    }
    seen = await ask_once_and_again(services, raws)
    broken, whole = both(BROKEN, ONE), both('200', ONE + ONE)
    assert seen == dict(zip(raws, (broken, whole) * len(TYPES), strict=True))


WITHOUT_EVENTS = types.MappingProxyType({
    'nothing': (RawAnswer(()), b''),
    'comments': (RawAnswer((PING, PING)), PING + PING),
    'a field without data': (RawAnswer((b'id: 1\n\n',)), b'id: 1\n\n'),
    'mark': (RawAnswer((MARK,)), b''),
})


# Guards against a stream that its target closed before the first event, and
# that reached its caller as complete.
async def test_a_stream_that_is_closed_without_an_event_is_broken_off(
    services: RawServices,
) -> None:
    raws = {name: raw for name, (raw, _) in WITHOUT_EVENTS.items()}
    seen = await ask_once_and_again(services, raws)
    assert seen == {
        name: both(BROKEN, body) for name, (_, body) in WITHOUT_EVENTS.items()
    }


ENDING = types.MappingProxyType({
    'stream': (RawAnswer((ONE, ONE)), both(BROKEN, ONE + ONE)),
    'plain': (plain(BODY), (LOST, AGAIN)),
    'plain, none': (plain(), (LOST, AGAIN)),
    'by its length': (
        RawAnswer((BODY,), (*PLAIN, f'Content-Length: {len(BODY)}')),
        both('200', BODY),
    ),
    'in chunks': (
        framed(CHUNKED, pieces=in_chunks(ONE, b'')),
        both('200', ONE),
    ),
})


# Guards against an answer without framing that is complete for its caller,
# though its target ended behind an event or in a plain body.
@pytest.mark.parametrize(
    'delay_s', [0, 0.005], ids=['listener first', 'connection first']
)
async def test_an_answer_without_framing_whose_target_ends_is_broken_off(
    services: RawServices, delay_s: float
) -> None:
    raws = {name: raw for name, (raw, _) in ENDING.items()}
    seen = await ask_once_and_again(
        services, raws, is_ending=True, delay_s=delay_s
    )
    assert seen == {name: expected for name, (_, expected) in ENDING.items()}


# Guards against an answer without framing that its target stopped at the time
# limit that it was told, and which its caller takes for a whole one; and
# against a whole one that is broken off as it took as long, or longer.
async def test_an_answer_that_ends_at_its_time_limit_is_broken_off(
    services: RawServices,
) -> None:
    stream = RawAnswer((ONE,), pause_s=1.2)
    by_path = {
        '/once/stream': RawService([stream]),
        '/once/untold': RawService([stream]),
        '/once/longer': RawService([attrs.evolve(stream, pause_s=3.5)]),
        '/once/plain': RawService([plain(BODY, pause_s=0.95)]),
        '/once/early': RawService([plain(BODY)]),
    }
    await services.open(by_path)
    limits = dict.fromkeys(by_path, {'Mimosa-Deadline-S': '1'})
    limits |= {'/once/untold': {}, '/once/early': {'Mimosa-Deadline-S': '20'}}
    seen = await asyncio.gather(
        *(services.ask(path, headers=limits[path]) for path in by_path)
    )
    assert seen[:3] == [(BROKEN, ONE), ('200', ONE), ('200', ONE)]
    assert seen[3] in {LOST, ('504', b'may-have-run')}
    assert seen[4] == ('200', BODY)


# Guards against an answer without framing that ends behind the end of its VM,
# whose address still accepts connections; a VM that leaves may end it.
@pytest.mark.parametrize(
    ('state', 'expected'), [('gone', (BROKEN, ONE)), ('leaving', ('200', ONE))]
)
async def test_an_answer_that_ends_behind_its_vm_is_broken_off(
    services: RawServices, state: str, expected: Seen
) -> None:
    service = RawService([RawAnswer((ONE,), pause_s=POLLED_S)])
    await services.open({'/once/x': service})
    asked = asyncio.create_task(services.ask('/once/x'))
    cluster = services.entry.cluster
    vms = [
        {'address': address, 'data_centre': 'dc1', 'state': state}
        for address in service.addresses
    ]

    async def is_running() -> bool:
        return bool(service.paths)

    await wait_until(is_running)
    await cluster.control(cluster.platform, vms=vms)
    assert await asked == expected


# Guards against a part of an answer that is kept for a key, and given again to
# a resend as the whole.
async def test_an_answer_that_is_not_shown_whole_is_not_kept(
    services: RawServices,
) -> None:
    by_path = {
        '/once/ending': RawService([plain(BODY)], is_ending=True),
        '/once/whole': RawService([plain(BODY)]),
    }
    await services.open(by_path)
    seen = [
        await services.ask(path, headers={'Idempotency-Key': path})
        for path in by_path
        for _ in range(2)
    ]
    in_doubt = (str(HTTPStatus.CONFLICT.value), b'may-have-run')
    assert seen == [LOST, in_doubt, *both('200', BODY)]
    assert [len(service.paths) for service in by_path.values()] == [1, 1]


# Guards against a head without a body that is taken for an answer that ends
# with its connection.
async def test_an_answer_without_a_body_needs_no_end(
    services: RawServices,
) -> None:
    ending = functools.partial(RawService, is_ending=True)
    by_path = {
        '/once/head': ending([RawAnswer(())]),
        '/once/plain': ending([plain()]),
        '/once/204': ending([plain(status='HTTP/1.1 204 No Content')]),
        '/once/304': ending([plain(status='HTTP/1.1 304 Not Modified')]),
    }
    await services.open(by_path)
    methods = ('HEAD', 'HEAD', 'POST', 'GET')
    seen = [
        await services.ask(path, method=method)
        for path, method in zip(by_path, methods, strict=True)
    ]
    assert [status for status, _ in seen] == ['200', '200', '204', '304']


FOREIGN = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Request-Id: other\r\n\r\ndata: foreign\n\n'
)
BARE = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: 2\n\n'
JOINED = types.MappingProxyType({
    'inside an event': RawAnswer((ONE, HALF, FOREIGN)),
    'behind an event': RawAnswer((ONE, FOREIGN)),
    'in one piece': RawAnswer((ONE + HALF + FOREIGN,)),
    'without an id': RawAnswer((ONE, HALF, BARE)),
    'inside its head': RawAnswer((ONE, HALF, FOREIGN[:60])),
    'in a chunk': framed(
        CHUNKED, pieces=(*in_chunks(ONE), b'ffff\r\n', FOREIGN)
    ),
})
JOINED_PLAIN = types.MappingProxyType({
    'closed': plain(BODY, FOREIGN),
    'closed inside its head': plain(BODY, FOREIGN[:60]),
    'fills its length': RawAnswer(
        (BODY, FOREIGN), (*PLAIN, 'Content-Length: 40')
    ),
})


# Guards against the bytes of another answer that reach a caller as a part of
# this one.
async def test_an_answer_in_which_another_begins_is_broken_off(
    services: RawServices,
) -> None:
    seen = await ask_once_and_again(services, {**JOINED, **JOINED_PLAIN})
    plain_seen = {name: seen.pop(name) for name in JOINED_PLAIN}
    assert plain_seen == dict.fromkeys(JOINED_PLAIN, (LOST, AGAIN))
    # An event that came in one packet with the other answer is lost with it.
    allowed = {(BROKEN, ONE), (BROKEN, b'')}
    assert {
        answer for answers in seen.values() for answer in answers
    } <= allowed


CODINGS = (
    'Transfer-Encoding: gzip, chunked',
    'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
    'Transfer-Encoding: gzip',
)


# Guards against bytes that a target encoded for the way, and that callers got
# without the name of the coding.
async def test_an_answer_with_another_transfer_coding_is_broken_off(
    services: RawServices,
) -> None:
    raws = {
        f'{kind[0]} {coding}': RawAnswer(in_chunks(ONE, b''), (*kind, coding))
        for kind in (PLAIN, ('Content-Type: text/event-stream',))
        for coding in CODINGS
    }
    seen = await ask_once_and_again(services, raws)
    assert seen == dict.fromkeys(raws, (LOST, AGAIN))


# Guards against answers with the usual codings that are broken off.
async def test_an_answer_with_a_usual_transfer_coding_is_served(
    services: RawServices,
) -> None:
    chunks = RawAnswer(
        in_chunks(BODY, b''), (*PLAIN, 'Transfer-Encoding: Chunked ')
    )
    identity = RawAnswer((BODY,), (*PLAIN, 'Transfer-Encoding: identity'))
    raws = {'chunks': chunks, 'identity': identity}
    seen = await ask_once_and_again(services, raws)
    assert seen == dict.fromkeys(raws, both('200', BODY))


# Guards against a part of a stream that a caller without chunks takes for the
# whole, as a router that ends closes its connection.
async def test_a_stream_without_framing_is_reset_by_the_end_of_a_router(
    services: RawServices,
) -> None:
    by_path = {
        '/once/whole': RawService([RawAnswer((ONE,))]),
        '/once/killed': RawService([RawAnswer((ONE,), pause_s=3)]),
    }
    await services.open(by_path)
    reader, writer = await services.send_as_http_1_0('/once/whole')
    with contextlib.closing(writer):
        assert (await reader.read()).endswith(b'\r\n\r\n%s' % ONE)
    reader, writer = await services.send_as_http_1_0('/once/killed')
    with contextlib.closing(writer):
        await reader.readuntil(ONE)
        await services.entry.router.process.kill()
        with pytest.raises(ConnectionResetError):
            await reader.read()
