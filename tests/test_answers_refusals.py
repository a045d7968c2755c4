"""Proofs that faulty requests get clear errors and reach no target."""

import asyncio
import types
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

from tests.harness import Cluster, in_turn
from tests.harness_entry import BEARER, CHAT, PLOTS, Answer, Entry, chat

TOO_LARGE = b'x' * 100_001
NO_KEY = types.MappingProxyType({'Authorization': ''})
BAD_KEY = types.MappingProxyType({'Authorization': 'Bearer wrong'})
BAD_DEADLINE = types.MappingProxyType({'Mimosa-Deadline-S': 'soon'})
NONE = types.MappingProxyType({})
CASES: tuple[Any, ...] = (
    (PLOTS, TOO_LARGE, NONE, 413, 'body_too_large'),
    (CHAT, b'{"model"', NONE, 400, 'bad_request'),
    (CHAT, b'[]', NONE, 400, 'bad_request'),
    (CHAT, b'\xff\xfe', NONE, 400, 'bad_request'),
    (CHAT, chat('x', max_tokens=-1), NONE, 400, 'bad_request'),
    (CHAT, chat('x', model='absent'), NONE, 404, 'unknown_model'),
    ('/nowhere', b'', NONE, 404, 'unknown_route'),
    (PLOTS, b'x', NO_KEY, 401, 'unauthenticated'),
    (PLOTS, b'x', BAD_KEY, 401, 'unauthenticated'),
    (PLOTS, b'x', BAD_DEADLINE, 400, 'bad_request'),
)

BROKEN_HTTP = (
    b'POST /plots HTTP/1.1\r\nContent-Length: nine\r\n\r\n',
    b'POST /plots HTTP/1.1\r\nContent-Length: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    b'no http at all\r\n\r\n',
)


def _require(answer: Answer, status: int, code: str) -> None:
    assert answer.status == status
    assert answer.run == 'not-run'
    error = answer.fields()['error']
    assert error['code'] == code
    assert error['request_id'] == answer.request_id
    assert error['message']


async def test_faulty_requests_are_told_why_and_reach_no_target(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1'),
        entry.add_service('s1'),
    )
    await entry.open()
    answers = await in_turn(
        entry.call(path, body, headers=headers)
        for path, body, headers, _, _ in CASES
    )
    for case, answer in zip(CASES, answers, strict=True):
        _require(answer, *case[3:])
    assert not entry.runs()


async def _slow_body() -> AsyncIterator[bytes]:
    while True:
        yield b'x'
        await asyncio.sleep(0.05)


async def test_a_slow_sender_is_refused_after_the_time_for_bodies(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    async with entry.cluster.http.post(
        entry.router.url + PLOTS,
        data=_slow_body(),
        headers=BEARER,
    ) as resp:
        answer = Answer(resp.status, resp.headers, await resp.read())
    _require(answer, HTTPStatus.BAD_REQUEST, 'bad_request')
    assert not entry.runs()


async def _send_raw(entry: Entry, raw: bytes) -> bytes:
    host, _, port = entry.router.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    status = await reader.readline()
    writer.close()
    return status


async def test_broken_http_is_a_bad_request(entry: Entry) -> None:
    await entry.add_service('s1')
    await entry.open()
    statuses = await in_turn(_send_raw(entry, raw) for raw in BROKEN_HTTP)
    assert all(b' 400 ' in status for status in statuses)
    assert not entry.runs()


async def test_a_router_that_knows_no_configuration_yet_says_so(
    cluster: Cluster,
) -> None:
    await cluster.control(cluster.platform, outage=True)
    router = await cluster.start_program('router')
    async with cluster.http.post(router.url + PLOTS) as resp:
        answer = Answer(resp.status, resp.headers, await resp.read())
    _require(answer, 503, 'config_stale')
