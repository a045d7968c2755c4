"""Tests that a placer ignores unrequested answers on its connections."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from http import HTTPStatus

import pytest

from mimosaworks.placement.order import Order
from mimosaworks.placement.order_sender import OrderSender
from mimosaworks.placement.target_sessions import TargetSessions
from standins.addresses import reserve_address
from standins.serving import split_address

LATE_S = 0.03
ORDERS = 4
CHUNK_BYTES = 65536


def _report(generation: str) -> bytes:
    fields = {
        'generation': generation,
        'memory_bytes': 1,
        'used_bytes': 0,
        'models': {},
        'adapters': {},
        'orders': {},
        'running': 0,
        'queued': 0,
        'cached': {'memory': [], 'disk': []},
    }
    return json.dumps(fields).encode()


def _answer(status: int, body: bytes = b'') -> bytes:
    lines = (
        f'HTTP/1.1 {status} x',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        '\r\n',
    )
    return '\r\n'.join(lines).encode() + body


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request, then send another answer without a request."""
    with contextlib.suppress(ConnectionError):
        while asked := await reader.read(CHUNK_BYTES):
            if asked.startswith(b'GET'):
                writer.write(_answer(HTTPStatus.OK, _report('new')))
                late = _answer(HTTPStatus.OK, _report('old'))
            else:
                writer.write(_answer(HTTPStatus.ACCEPTED))
                late = _answer(HTTPStatus.INSUFFICIENT_STORAGE)
            await asyncio.sleep(LATE_S)
            writer.write(late)
    writer.close()


@pytest.fixture
async def url() -> AsyncIterator[str]:
    address = reserve_address()
    server = await asyncio.start_server(_serve, *split_address(address))
    yield f'http://{address}'
    server.close()


@pytest.fixture
async def sessions() -> AsyncIterator[TargetSessions]:
    async with contextlib.AsyncExitStack() as stack:
        yield await TargetSessions.open(stack)


# Guards against an accepted order that counts as refused for lack of memory,
# because a late answer to an earlier order is read as its answer.
async def test_each_order_gets_its_own_answer(
    url: str, sessions: TargetSessions
) -> None:
    sender = OrderSender(sessions.order_session, lambda _order, _now_s: True)
    seen = []
    for number in range(ORDERS):
        order = Order(
            f'o{number}', 'load', 'm', '', 'c', 1, 1, 't', url, 'intent'
        )
        seen.append(await sender.send_order(order))
        await asyncio.sleep(LATE_S * 2)
    assert set(seen) == {HTTPStatus.ACCEPTED}


# Guards against a late, outdated report that is used as the newest one.
async def test_each_report_is_the_one_that_was_asked_for(
    url: str, sessions: TargetSessions
) -> None:
    seen = []
    for _ in range(ORDERS):
        report = await sessions.report_reader.read_report(url)
        seen.append(None if report is None else report.generation)
        await asyncio.sleep(LATE_S * 2)
    assert set(seen) == {'new'}
