"""Late copies of answers in front of those to orders and reports."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator

import attrs
import pytest

from mimosaworks.node.sessions import open_engine_calls
from mimosaworks.platform import EngineCalls, OrderAnswer, TargetOrder
from standins.addresses import reserve_address
from standins.serving import split_address

MOST = 1000000
LENGTH = re.compile(rb'(?i)content-length: *(\d+)')
ORDER = TargetOrder(
    is_load=True,
    model='m1',
    adapter='',
    expected_orders=2,
    holder='n1',
    fence=4,
)


def _answer(status: int, body: bytes) -> bytes:
    head = f'HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


REPORT = _answer(200, b'{"sequence": 2, "born": 7}')
ACCEPTED = _answer(202, b'{}')


@attrs.define(eq=False)
class RepeatingTarget:
    """Sends an answer once more where the next one on a connection follows."""

    to_order: bytes
    address: str = attrs.field(factory=reserve_address)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        latest = b''
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = LENGTH.search(head)
                await reader.readexactly(int(length[1]) if length else 0)
                own = self.to_order if head.startswith(b'POST') else REPORT
                writer.write(latest + own)
                latest = own


@pytest.fixture
async def calls() -> AsyncIterator[EngineCalls]:
    async with contextlib.AsyncExitStack() as stack:
        yield await open_engine_calls(stack, MOST)


# Guards against a refused load that counts as done, and a refused unload whose
# memory is taken for free, as an earlier report's 200 is read as the answer.
async def test_a_refused_order_counts_as_refused(calls: EngineCalls) -> None:
    target = RepeatingTarget(_answer(409, b''))
    server = await asyncio.start_server(
        target.serve, *split_address(target.address)
    )
    async with server:
        await calls.report('t1', target.address)
        answer = await calls.order('t1', target.address, ORDER)
    assert answer is OrderAnswer.CONFLICT


# Guards against an order's answer that is read as a report without orders and
# models: the order counts as refused and is sent again.
async def test_a_report_is_not_that_of_an_order(calls: EngineCalls) -> None:
    target = RepeatingTarget(ACCEPTED)
    server = await asyncio.start_server(
        target.serve, *split_address(target.address)
    )
    async with server:
        await calls.order('t1', target.address, ORDER)
        report = await calls.report('t1', target.address)
    assert (report.orders, report.born) == (2, 7)
