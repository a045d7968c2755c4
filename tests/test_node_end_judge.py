"""Ends of connections that may have another reason than a whole answer."""

import asyncio
import contextlib
import json
import socket
from collections.abc import Generator
from typing import Any

import attrs
import pytest
from aiohttp import ClientSession

from mimosaworks.body_framing import ends_with_connection
from mimosaworks.clock import now_s
from mimosaworks.deployment import TargetEntry
from mimosaworks.node.conversions import target_entry_from, target_row_from
from mimosaworks.node.end_errors import (
    ExpiredAnswerError,
    LostTargetError,
    UnknownEndError,
)
from mimosaworks.node.end_judge import EXIT_S, EndJudge, SentRequest
from mimosaworks.platform import decode_entry
from mimosaworks.wire import TargetRow
from mimosaworks.wire.codec import decode, encode
from tests.dispatch_world import make_entry

MODULE = 'mimosaworks.node.end_judge'


@contextlib.contextmanager
def listen() -> Generator[str, None, None]:
    """Accept connections at an address."""
    with socket.create_server(('127.0.0.1', 0)) as sock:
        _, port = sock.getsockname()
        yield f'127.0.0.1:{port}'


def sent_to(address: str, left_s: float = 5) -> SentRequest:
    now = now_s()
    return SentRequest('engine-1', address, 7, now + left_s, now - 5)


def entry_at(name: str, address: str, incarnation: int) -> TargetEntry:
    return attrs.evolve(
        make_entry(name), address=address, incarnation=incarnation
    )


# Guards against an answer that counts as whole at the time limit of its request
# or behind it, also where that is short, and against short requests of which no
# answer would.
@pytest.mark.parametrize(
    ('given_s', 'left_s', 'is_reached'),
    [
        (4, 0.03, True),
        (4, -0.2, True),
        (4, 0.2, False),
        (0.1, 0.05, False),
        (0.1, 0.01, True),
        (0.09, 0.03, True),
        (0.07, 0.03, True),
        (0.05, 0.03, True),
        (0.07, 0.05, False),
    ],
)
async def test_an_end_at_the_time_limit_is_not_a_whole_answer(
    given_s: float, left_s: float, *, is_reached: bool
) -> None:
    with listen() as address:
        deadline_s = now_s() + left_s
        sent = SentRequest('x', address, 0, deadline_s, deadline_s - given_s)
        expected = (
            pytest.raises(ExpiredAnswerError)
            if is_reached
            else contextlib.nullcontext()
        )
        with expected:
            await EndJudge().check_end(sent)


# Guards against a process behind the target at its address that is taken for
# it, and against answers of targets that leave, or that the view lags behind.
async def test_an_end_is_judged_by_who_has_the_address() -> None:
    with listen() as address:
        for others, is_whole in (
            ([], True),
            ([entry_at('engine-1', address, 7)], True),
            ([entry_at('engine-1', address, 6)], True),
            ([entry_at('engine-1', address, 8)], False),
            ([entry_at('engine-2', address, 6)], True),
            ([entry_at('engine-2', address, 8)], False),
            ([entry_at('engine-2', '127.0.0.1:9', 8)], True),
        ):
            targets = {entry.name: entry for entry in others}
            judge = EndJudge(targets.copy)
            expected = (
                contextlib.nullcontext()
                if is_whole
                else pytest.raises(LostTargetError)
            )
            with expected:
                await judge.check_end(sent_to(address))


# Guards against a connection to the target behind answers without a body, whose
# end is not that of their connection.
@pytest.mark.parametrize(
    ('method', 'path', 'has_end'),
    [
        ('GET', '/200', True),
        ('POST', '/500', True),
        ('HEAD', '/200', False),
        ('GET', '/204', False),
        ('GET', '/304', False),
    ],
)
async def test_only_bodies_end_with_their_connection(
    method: str, path: str, *, has_end: bool
) -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 %s x\r\n\r\n' % path[1:].encode())
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    url = f'http://{host}:{port}{path}'
    async with (
        server,
        ClientSession() as session,
        session.request(method, url) as resp,
    ):
        assert ends_with_connection(resp) is has_end


# Guards against a notice of a target that nodes read otherwise than the holder,
# or that one without a notice gets, and against a later process under its name.
@pytest.mark.parametrize(
    ('changes', 'left_s', 'is_over'),
    [
        ({'state': 'draining', 'remaining-ms': 9000}, 0.2, True),
        ({'state': 'draining', 'remaining-ms': 9000}, -0.2, True),
        ({'state': 'draining', 'remaining-ms': 9000}, 5, False),
        ({'state': 'draining', 'remaining-ms': 'soon'}, -5, False),
        ({'state': 'draining', 'remaining-ms': 9000, 'born': 6}, -5, False),
        ({'state': 'draining'}, -5, False),
        ({'state': 'ready', 'remaining-ms': 9000}, -5, False),
    ],
)
async def test_an_end_at_the_end_of_a_notice_is_not_a_whole_answer(
    changes: dict[str, Any], left_s: float, *, is_over: bool
) -> None:
    with listen() as address:
        written = {
            'service': 'engines',
            'address': address,
            'zone': 'north',
            'slots': 1,
            'born': 7,
        } | changes
        read_s = now_s() + left_s - 9
        entry = decode_entry('engine-1', json.dumps(written).encode())
        read = attrs.evolve(entry, leaves_at_s=read_s + entry.leaves_at_s)
        row = decode(TargetRow, encode(target_row_from(read, read_s + 1)))
        for entry in (read, target_entry_from(row, read_s + 1)):
            expected = (
                pytest.raises(ExpiredAnswerError)
                if is_over
                else contextlib.nullcontext()
            )
            with expected:
                judge = EndJudge({'engine-1': entry}.copy)
                await judge.check_end(sent_to(address))


# Guards against a connection for each of many ends, against ends that a probe
# from before them confirms, and against a caller who leaves and takes the
# probe of the others along.
async def test_ends_share_the_next_probe(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    begun: list[asyncio.Future[bool]] = []

    def reaches(_address: str) -> asyncio.Future[bool]:
        begun.append(asyncio.get_running_loop().create_future())
        return begun[-1]

    async def begin(ends: int) -> list['asyncio.Task[None]']:
        tasks = [
            asyncio.create_task(judge.check_end(sent_to('a:1')))
            for _ in range(ends)
        ]
        await asyncio.sleep(2 * EXIT_S)
        return tasks

    monkeypatch.setattr(f'{MODULE}.reaches', reaches)
    judge = EndJudge()
    first = await begin(1)
    later = await begin(100)
    assert len(begun) == 1
    later.pop().cancel()
    begun[0].set_result(True)
    await first[0]
    await asyncio.sleep(0)
    assert not any(task.done() for task in later)
    begun[1].set_result(False)
    judged = await asyncio.gather(*later, return_exceptions=True)
    assert {type(exc) for exc in judged} == {LostTargetError}
    assert len(begun) == 2


# Guards against an answer that is broken off as the reply to one packet was
# lost, against an end that is confirmed without any, and against a target that
# counts as crashed as it did not reply.
@pytest.mark.parametrize(
    ('second', 'error'),
    [(True, None), (False, LostTargetError), (None, UnknownEndError)],
)
async def test_a_probe_without_a_reply_is_repeated_once(
    monkeypatch: pytest.MonkeyPatch,
    second: bool | None,
    error: type[Exception] | None,
) -> None:
    replies = [None, second]

    async def reaches(_address: str) -> bool | None:
        await asyncio.sleep(0.03)
        return replies.pop(0)

    monkeypatch.setattr(f'{MODULE}.PROBE_TIMEOUT_S', 0.02)
    monkeypatch.setattr(f'{MODULE}.reaches', reaches)
    with pytest.raises(error) if error else contextlib.nullcontext():
        await EndJudge().check_end(sent_to('a:1'))
    assert not replies


# Guards against a target at its connection limit that counts as crashed, and
# against content that is refused as it had an answer from there.
async def test_only_a_refusal_shows_that_a_target_has_ended() -> None:
    with socket.create_server(('127.0.0.1', 0), backlog=0) as sock:
        _, port = sock.getsockname()
        address = f'127.0.0.1:{port}'
        with contextlib.ExitStack() as stack:
            for _ in range(4):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(sock.getsockname())
            with pytest.raises(UnknownEndError):
                await EndJudge().check_end(sent_to(address))
    with pytest.raises(LostTargetError):
        await EndJudge().check_end(sent_to(address))


# Guards against an end that is confirmed by a target that had time to start
# again, as this process was paused before it read the end.
@pytest.mark.parametrize(('paused_s', 'is_whole'), [(1, True), (2, False)])
async def test_an_end_that_was_read_late_is_not_a_whole_answer(
    paused_s: float, *, is_whole: bool
) -> None:
    with listen() as address:
        judge = EndJudge(earliest_s=lambda: now_s() - paused_s)
        expected = (
            contextlib.nullcontext()
            if is_whole
            else pytest.raises(UnknownEndError)
        )
        with expected:
            await judge.check_end(sent_to(address))
