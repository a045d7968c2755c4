"""Proofs that bytes behind an answer are no other request's answer."""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import attrs
import pytest

from mimosaworks.entities import Target
from standins.addresses import reserve_address
from standins.serving import split_address
from tests.harness import wait_until
from tests.harness_entry import ADAPTER, CHAT, PLOTS, READINGS, Entry, chat

CALLS = 40
PAUSES_S = (0.005, 0.045)
LATE_S = 0.03
ID_LINE = 'x-request-id: '
SIZE_LINE = 'content-length: '
REPORT = json.dumps({'generation': 'g1'}).encode()


@attrs.define
class _Copier:
    """A target that echoes bodies and sends a second answer behind each.

    The second one has a status and perhaps the id, delay_s seconds later.
    """

    status: int
    has_id: bool
    delay_s: float
    runs: Counter[bytes] = attrs.field(factory=Counter)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer requests of one connection until it is closed."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer_one(reader, writer)
        writer.close()

    async def _answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        body = await reader.readexactly(int(_field(head, SIZE_LINE) or 0))
        if head.startswith('get /report'):
            writer.write(_answer(HTTPStatus.OK, '', REPORT))
            return
        self.runs[body] += 1
        request_id = _field(head, ID_LINE)
        writer.write(_answer(HTTPStatus.OK, request_id, body))
        await asyncio.sleep(self.delay_s)
        again = body if self.status == HTTPStatus.OK else b''
        writer.write(
            _answer(self.status, request_id if self.has_id else '', again)
        )


def _field(head: str, start: str) -> str:
    for line in head.splitlines():
        if line.startswith(start):
            return line.removeprefix(start)
    return ''


def _answer(status: int, request_id: str, body: bytes) -> bytes:
    lines = [f'HTTP/1.1 {status} x', f'Content-Length: {len(body)}']
    if request_id:
        lines.append(f'X-Request-Id: {request_id}')
    if status != HTTPStatus.OK:
        lines.append('Mimosa-Run: not-run')
    return '\r\n'.join((*lines, '\r\n')).encode() + body


@pytest.fixture(params=(0, LATE_S), ids=('at-once', 'late'))
def delay_s(request: pytest.FixtureRequest) -> float:
    return float(request.param)


@pytest.fixture(params=(True, False), ids=('with-id', 'without-id'))
def has_id(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


@pytest.fixture(params=(HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE))
def status(request: pytest.FixtureRequest) -> int:
    return int(request.param)


@pytest.fixture
async def copiers(
    entry: Entry, delay_s: float, has_id: bool, status: int
) -> AsyncIterator[list[_Copier]]:
    """Two such targets, each an engine and a service of the entry."""
    made = [_Copier(status, has_id, delay_s) for _ in range(2)]
    targets: list[Any] = []
    async with contextlib.AsyncExitStack() as stack:
        for number, copier in enumerate(made):
            address = reserve_address()
            host, port = split_address(address)
            server = await asyncio.start_server(copier.serve, host, port)
            stack.callback(server.close)
            url = f'http://{address}'
            targets += [
                Target(f'm{number}', url, 'models'),
                Target(f'p{number}', url, 'plots', 'service'),
            ]
        await entry.open(*targets)
        await entry.announce(('m0', 'm1'))
        yield made


# Guards against bytes that a target sent behind an answer being taken for
# the next one's: another request's bytes, or a promise that it didn't run.
@pytest.mark.parametrize('path', [PLOTS, READINGS, CHAT])
async def test_a_second_answer_is_believed_for_no_other_request(
    entry: Entry, copiers: list[_Copier], path: str
) -> None:
    async def is_served() -> bool:
        answer = await entry.call(path, json.dumps(chat('first')).encode())
        return answer.status == HTTPStatus.OK

    await wait_until(is_served)
    for number in range(CALLS):
        body = json.dumps(chat(f'call {number}')).encode()
        answer = await entry.call(path, body)
        runs = sum(copier.runs[body] for copier in copiers)
        if answer.status == HTTPStatus.OK:
            assert answer.body == body
        if answer.run == 'not-run':
            assert not runs
        # A call that must run once, whatever it was answered.
        assert runs <= 1 or path != PLOTS
        await asyncio.sleep(PAUSES_S[number % 2])
    assert 'crash_suspected' not in entry.router.process.read_log()


async def test_a_refusal_on_a_kept_connection_is_believed_by_its_id(
    entry: Entry,
) -> None:
    await entry.add_engine('e1', '--preload-adapters=')
    await entry.open()
    kept = await entry.call(CHAT, chat('x'))
    assert kept.status == HTTPStatus.OK
    hurried = {'Mimosa-Deadline-S': '0.5'}
    body = chat('y', model=ADAPTER)
    refused = await entry.call(CHAT, body, headers=hurried)
    assert refused.run == 'not-run'
    log = entry.router.process.read_log()
    assert 'target answered 404' in log
    assert entry.runs() == [kept.request_id]
