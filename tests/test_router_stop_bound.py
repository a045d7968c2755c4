"""Proofs that a planned stop of a router ends in the time that it is given."""

import asyncio
import contextlib
import itertools
import json
import signal
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from http import HTTPStatus
from pathlib import Path

import pytest
from aiohttp import ClientConnectorError, web

from mimosaworks.entities import Route, Target
from standins.addresses import reserve_address
from standins.serving import serve_app, split_address
from tests.harness import Cluster, wait_until
from tests.harness_entry import (
    CALLER_KEY,
    CHAT,
    PLOTS,
    ROUTER_FLAGS,
    Answer,
    Entry,
    chat,
)

AGE_S = 0.5  # of ROUTER_FLAGS
DRAIN_S = 10.0
# What installation.md asks to give SIGTERM before SIGKILL.
STOP_S = AGE_S + DRAIN_S
ENDLESS_S = 60
PERIOD_S = 0.02
EVENTS = 2000
EVENT = b'data: %s\n\n' % (b'x' * 65536)


@pytest.fixture
async def stoppable(cluster: Cluster, tmp_path: Path) -> AsyncIterator[Entry]:
    """A router without targets, with a short drain."""
    journals = tmp_path / 'journals'
    journals.mkdir()
    router = await cluster.start_program(
        'router', *ROUTER_FLAGS, f'--drain-s={DRAIN_S}', '--body-timeout-s=60'
    )
    yield Entry(cluster, router, journals)


async def _stop(entry: Entry) -> None:
    """Stop the router; raise TimeoutError beyond the time that it has."""
    entry.router.process.terminate()
    async with asyncio.timeout(STOP_S):
        assert await entry.router.process.wait() == 0


async def _running_call(
    entry: Entry, headers: dict[str, str]
) -> 'asyncio.Task[Answer]':
    """Return a call of the service that has begun to run."""
    call = asyncio.create_task(entry.call(PLOTS, b'x', headers=headers))

    async def is_running() -> bool:
        return len(entry.runs()) == 1

    await wait_until(is_running)
    return call


async def _send(
    entry: Entry, path: str, body: bytes = b'', length: int = 0
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request on a connection of its own; length is the stated one."""
    reader, writer = await asyncio.open_connection(
        *split_address(entry.router.address)
    )
    writer.write(_head(path, length or len(body)))
    writer.write(body)
    return reader, writer


def _head(path: str, length: int) -> bytes:
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: x',
        f'Authorization: Bearer {CALLER_KEY}',
        f'Content-Length: {length}',
        '\r\n',
    )
    return '\r\n'.join(lines).encode()


@contextlib.asynccontextmanager
async def _flood(entry: Entry) -> AsyncGenerator[None, None]:
    """Open the entry with a target that streams more than is ever read."""

    async def answer(req: web.Request) -> web.StreamResponse:
        await req.read()
        resp = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
        await resp.prepare(req)
        for _ in range(EVENTS):
            await resp.write(EVENT)
        return resp

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', answer)
    address = reserve_address()
    async with contextlib.AsyncExitStack() as stack:
        await serve_app(stack, app, address)
        await entry.open(
            Route('flood', '/flood', 'flood', 'service'),
            Target('flood', f'http://{address}', 'flood', 'service'),
        )
        yield


# Guards against a stop without an end: claimed requests were waited for as
# long as new ones came.
async def test_a_stop_ends_while_new_claimed_requests_come(
    stoppable: Entry,
) -> None:
    await stoppable.add_service('s1')
    await stoppable.open()
    seen: Counter[tuple[int, str]] = Counter()

    async def call(number: int) -> None:
        headers = {'X-Sleep-S': '0.1', 'Idempotency-Key': f'key-{number}'}
        with contextlib.suppress(ClientConnectorError):
            answer = await stoppable.call(PLOTS, b'x', headers=headers)
            seen[answer.status, answer.run] += 1

    async def keep_calling() -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if not stoppable.router.process.is_running():
                    return
                group.create_task(call(number))
                await asyncio.sleep(PERIOD_S)

    calling = asyncio.create_task(keep_calling())
    await asyncio.sleep(AGE_S)
    await _stop(stoppable)
    await calling
    # None was cut, and what came too late was told so.
    assert set(seen) <= {
        (HTTPStatus.OK, ''),
        (HTTPStatus.SERVICE_UNAVAILABLE, 'not-run'),
    }


# Guards against a stop that waits for a caller's connection twice ten
# seconds longer than its time.
async def test_a_caller_that_does_not_read_does_not_hold_a_stop(
    stoppable: Entry,
) -> None:
    async with _flood(stoppable):
        _, writer = await _send(stoppable, '/flood')
        await asyncio.sleep(AGE_S)
        await _stop(stoppable)
        writer.close()


# Guards against a stop that reads the rest of a refused body for ten
# seconds, and against an upload cut without an answer.
async def test_an_upload_without_an_end_is_refused_at_the_end_of_a_stop(
    stoppable: Entry,
) -> None:
    await stoppable.add_service('s1')
    await stoppable.open()
    reader, writer = await _send(stoppable, PLOTS, b'x', length=1000)
    await asyncio.sleep(PERIOD_S)
    await _stop(stoppable)
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'Mimosa-Run: not-run' in answer
    assert b'"stopping"' in answer
    assert not stoppable.runs()


# Guards against requests cut at the end of a stop without an answer.
@pytest.mark.parametrize('claim', [{}, {'Idempotency-Key': 'one'}])
async def test_a_call_that_outlasts_a_stop_is_told_that_it_may_have_run(
    stoppable: Entry, claim: dict[str, str]
) -> None:
    await stoppable.add_service('s1')
    await stoppable.open()
    headers = {'X-Sleep-S': str(ENDLESS_S), 'Mimosa-Deadline-S': '100', **claim}
    call = await _running_call(stoppable, headers)
    await _stop(stoppable)
    answer = await call
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert answer.run == 'may-have-run'
    assert answer.fields()['error']['code'] == 'stopping'
    assert 'process_cutting' in stoppable.router.process.read_log()


# Guards against streams cut at the end of a stop without an error event.
async def test_a_stream_that_outlasts_a_stop_ends_with_an_error_event(
    stoppable: Entry,
) -> None:
    await stoppable.add_engine('e1', '--step-s=0.05')
    await stoppable.open()
    body = chat('x', stream=True, max_tokens=1000)
    call = asyncio.create_task(stoppable.call(CHAT, body))
    await asyncio.sleep(AGE_S)
    await _stop(stoppable)
    answer = await call
    last = answer.body.decode().strip().split('\n\n')[-1].splitlines()
    assert last[0] == 'event: error'
    error = json.loads(last[1].removeprefix('data: '))['error']
    assert (error['code'], error['run']) == ('stopping', 'may-have-run')


# Guards against requests lost on a kept connection: the answer of a stream
# didn't tell that the router closes it.
async def test_a_stream_begun_during_a_stop_tells_that_its_connection_closes(
    stoppable: Entry,
) -> None:
    await stoppable.add_engine('e1')
    await stoppable.open()
    stoppable.router.process.terminate()
    await asyncio.sleep(AGE_S / 2)
    answer = await stoppable.call(CHAT, chat('x', stream=True))
    assert answer.body.endswith(b'data: [DONE]\n\n')
    assert answer.headers['Connection'] == 'close'


# Guards against requests lost on a kept connection: it was closed after a
# stream that hadn't told so.
async def test_a_request_behind_a_stream_that_a_stop_found_is_answered(
    stoppable: Entry,
) -> None:
    await stoppable.add_engine('e1', '--step-s=0.05')
    await stoppable.add_service('s1')
    await stoppable.open()
    body = json.dumps(chat('x', stream=True, max_tokens=20)).encode()
    reader, writer = await _send(stoppable, CHAT, body)
    async with asyncio.timeout(STOP_S):
        first = await reader.readuntil(b'\r\n\r\n')
        stoppable.router.process.terminate()
        await reader.readuntil(b'\r\n0\r\n\r\n')
        await asyncio.sleep(PERIOD_S)
        writer.write(_head(PLOTS, 0))
        rest = await reader.read()
    writer.close()
    assert b'Connection: close' not in first
    _, _, second = rest.partition(b'HTTP/1.1 ')
    # It came in time, or was told that it came too late.
    assert second[:3] in {b'200', b'503'}
    assert b'Connection: close' in second


# Guards against requests cut by a second signal during a stop.
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
async def test_a_second_signal_cuts_no_request_of_a_stop(
    stoppable: Entry, number: signal.Signals
) -> None:
    await stoppable.add_service('s1')
    await stoppable.open()
    call = await _running_call(stoppable, {'X-Sleep-S': '1'})
    stopping = asyncio.create_task(_stop(stoppable))
    await asyncio.sleep(AGE_S / 2)
    stoppable.router.process.child.send_signal(number)
    answer = await call
    assert answer.status == HTTPStatus.OK
    await stopping


# Guards against requests cut when a router's terminal is closed.
async def test_a_hang_up_stops_a_router_as_planned(stoppable: Entry) -> None:
    await stoppable.add_service('s1')
    await stoppable.open()
    call = await _running_call(stoppable, {'X-Sleep-S': '1'})
    stoppable.router.process.child.send_signal(signal.SIGHUP)
    answer = await call
    assert answer.status == HTTPStatus.OK
    assert await stoppable.router.process.wait() == 0
