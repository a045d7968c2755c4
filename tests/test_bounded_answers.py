"""Bounds on answers: of one, of all that are held, on kept connections."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from pathlib import Path

import psutil
import pytest
from aiohttp import ClientError, ClientSession, web

from mimosaworks.bounded_answers import (
    FRAMING_BYTES,
    HEAD_BYTES,
    BoundedConnector,
    HeldBytes,
    OversizedError,
    read_bounded,
)
from mimosaworks.errors import StoreInDoubtError
from mimosaworks.event_stream import EventCutter
from mimosaworks.platform import EngineCalls, TargetOrder
from mimosaworks.platform.engine_calls import REPORT_BYTES
from mimosaworks.platform.store import StoreClient
from standins.agency.endless import ANSWERS, EndlessTarget
from standins.agency.replica import Replica
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import until

MOST = 2 * HEAD_BYTES
LARGE = 20000000
ORDER = TargetOrder(True, 'alpha', '', 0, 'n1', 1)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


@contextlib.asynccontextmanager
async def open_bounded(
    answer_bytes: int,
) -> AsyncGenerator[ClientSession, None]:
    async with ClientSession(
        connector=BoundedConnector(answer_bytes)
    ) as session:
        yield session


async def serve_body(world: AgencyWorld, size: int) -> str:
    async def answer(_: web.Request) -> web.Response:
        return web.Response(body=b'x' * size, headers={'X-Server-Seal': 's'})

    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', answer)
    return await world.serve(app)


async def test_each_answer_on_a_kept_connection_counts_anew(
    world: AgencyWorld,
) -> None:
    address = await serve_body(world, MOST // 2)
    async with open_bounded(MOST) as session:
        for _ in range(6):
            async with session.get(f'http://{address}/') as resp:
                assert len(await resp.read()) == MOST // 2


async def test_a_body_within_its_bound_is_read_and_one_beyond_is_not(
    world: AgencyWorld,
) -> None:
    address = await serve_body(world, 1000)
    async with open_bounded(MOST) as session:
        async with session.get(f'http://{address}/') as resp:
            assert len(await read_bounded(resp, 1000)) == 1000
        async with session.get(f'http://{address}/') as resp:
            with pytest.raises(OversizedError, match='999 are allowed'):
                await read_bounded(resp, 999)


# Guards against an answer that is cut while nobody waits for its bytes and that
# then looks like one that its target broke off.
async def test_a_cut_answer_tells_so_to_a_slow_reader(
    world: AgencyWorld,
) -> None:
    target = EndlessTarget('chunks')
    await target.open(world.stack)
    async with (
        open_bounded(MOST) as session,
        session.get(f'http://{target.address}/', read_bufsize=MOST) as resp,
    ):
        await until(lambda: target.closed > 0)
        with pytest.raises(OversizedError):
            await resp.read()


@pytest.mark.parametrize('kind', sorted(ANSWERS))
async def test_reports_and_orders_without_end_are_cut(
    world: AgencyWorld, kind: str
) -> None:
    target = EndlessTarget(kind)
    await target.open(world.stack)
    async with open_bounded(MOST) as session:
        calls = EngineCalls(session)
        with pytest.raises((ClientError, TimeoutError)):
            await calls.report('t1', target.address)
        await calls.order('t1', target.address, ORDER)
    assert target.sent_bytes < MOST * 20


async def test_a_report_has_a_bound_of_its_own(world: AgencyWorld) -> None:
    address = await serve_body(world, REPORT_BYTES + 1)
    async with open_bounded(LARGE) as session:
        with pytest.raises(OversizedError):
            await EngineCalls(session).report('t1', address)


@pytest.mark.parametrize('kind', ['body', 'chunks', 'interim'])
async def test_the_store_is_in_doubt_when_its_answer_does_not_end(
    world: AgencyWorld, kind: str
) -> None:
    store = EndlessTarget(kind)
    await store.open(world.stack)
    seen: list[tuple[str, str]] = []
    async with open_bounded(MOST) as session:
        client = StoreClient(
            session,
            f'http://{store.address}',
            lambda call, outcome: seen.append((call, outcome)),
        )
        with pytest.raises(StoreInDoubtError, match='are allowed'):
            await client.commit([], [])
    assert ('commit', 'oversized') in seen


def test_answers_share_what_may_be_held() -> None:
    books = HeldBytes(one_bytes=60, all_bytes=100)
    with books.hold() as first:
        assert first.keep(60)
        assert not first.keep(61)
        with books.hold() as second:
            assert not second.keep(41)
            assert second.keep(40)
            assert first.keep(30)
            assert second.keep(60)
        assert books.held == 30
    assert books.held == 0


def test_an_event_without_end_is_held_piece_by_piece() -> None:
    cutter = EventCutter()
    for _ in range(100000):
        assert cutter.feed(b'x' * 10) == b''
    assert cutter.held == 1000000
    assert cutter.feed(b'\n') == b''
    assert len(cutter.feed(b'\nrest')) == 1000002
    assert cutter.held == len(b'rest')
    assert cutter.take_rest() == b'rest'


# Guards against targets that send nothing but framing: many at once keep a VM
# busy until the time limits of the requests.
@pytest.mark.parametrize('kind', ['extension', 'extensions', 'zeros'])
async def test_framing_without_a_body_is_cut_early(
    world: AgencyWorld, kind: str
) -> None:
    target = EndlessTarget(kind)
    await target.open(world.stack)
    async with (
        open_bounded(LARGE) as session,
        session.get(f'http://{target.address}/') as resp,
    ):
        with pytest.raises(OversizedError):
            await resp.read()
    assert target.sent_bytes < LARGE / 2


# Guards against honest bodies in small chunks that are cut for their framing.
async def test_a_body_in_chunks_of_one_byte_is_read(
    world: AgencyWorld,
) -> None:
    size = FRAMING_BYTES // 3

    async def answer(req: web.Request) -> web.StreamResponse:
        resp = web.StreamResponse()
        await resp.prepare(req)
        assert req.transport is not None
        req.transport.write(b'1;a=b\r\nx\r\n' * size)
        return resp

    app = web.Application()
    app.router.add_get('/', answer)
    address = await world.serve(app)
    async with (
        open_bounded(LARGE) as session,
        session.get(f'http://{address}/') as resp,
    ):
        assert await resp.read() == b'x' * size


# Guards against honest bodies that are cut, or held, because they are large.
async def test_a_large_body_passes_in_pieces(world: AgencyWorld) -> None:
    replica = Replica('large', 'ledger', 'north')
    replica.address = await serve_body(world, LARGE)
    replica.register(world.store)
    node = await world.add_node('node-1')
    process = psutil.Process(node.process.child.pid)
    statuses = []
    while 200 not in statuses:
        usual = process.memory_info().rss
        async with world.request(node, '/look/x', f'r-{len(statuses)}') as resp:
            statuses.append(resp.status)
            body = await resp.read()
    assert resp.headers['Content-Length'] == str(LARGE)
    assert len(body) == LARGE
    assert process.memory_info().rss < usual + LARGE / 2
