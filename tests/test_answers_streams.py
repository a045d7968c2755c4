"""Proofs about streamed answers when an engine or a caller goes away."""

import asyncio
import functools
from http import HTTPStatus
from typing import Any

from standins.engine.tokens import expected_text
from tests.harness import Node, in_turn, wait_until
from tests.harness_entry import (
    CHAT,
    MODEL,
    Answer,
    Entry,
    chat,
    chunks,
    streamed_text,
)

PROMPT = 'a long permit file'
TOKENS = 60
SLOW = '--step-s=0.02'
DONE = b'data: [DONE]\n\n'


async def _most_tokens(entry: Entry, engine: Node) -> int:
    """Return the most tokens that an engine has sent of one stream.

    One that is killed does not send what it has only generated.
    """
    stats = await entry.cluster.get_json(engine, '/stats')
    records = stats['requests'].values()
    return max((record['sent'] for record in records), default=0)


async def _has_tokens(entry: Entry, engine: Node, tokens: int) -> bool:
    return await _most_tokens(entry, engine) >= tokens


async def _busy(entry: Entry, tokens: int) -> Node:
    """Return the engine that has sent this many tokens of a stream."""
    found: list[Node] = []

    async def has_tokens() -> bool:
        counts = await in_turn(
            _most_tokens(entry, engine) for engine in entry.engines.values()
        )
        for engine, count in zip(entry.engines.values(), counts, strict=True):
            if count >= tokens:
                found.append(engine)
        return bool(found)

    await wait_until(has_tokens)
    return found[0]


async def _has_running(entry: Entry, count: int) -> bool:
    running = [node.process.is_running() for node in entry.engines.values()]
    return running.count(True) == count


async def _stream(entry: Entry) -> 'asyncio.Task[Answer]':
    body = chat(PROMPT, stream=True, max_tokens=TOKENS)
    return asyncio.create_task(entry.call(CHAT, body))


async def test_a_stream_goes_on_elsewhere_with_each_token_once(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1', SLOW),
        entry.add_engine('e2', SLOW),
    )
    await entry.open()
    stream = await _stream(entry)
    engine = await _busy(entry, 5)
    await engine.process.kill()
    answer = await stream
    assert streamed_text(answer.body) == expected_text(
        MODEL, '', PROMPT, TOKENS
    )
    indexes = [chunk['index'] for chunk in chunks(answer.body)]
    assert indexes == list(range(TOKENS))
    assert answer.body.endswith(DONE)
    assert len(entry.runs()) == 2


async def test_a_caller_cannot_steer_what_an_engine_resumes(
    entry: Entry,
) -> None:
    await entry.add_engine('e1')
    await entry.open()
    headers = {'X-Resume-From': '2'}
    body = chat(PROMPT, stream=True)
    answer = await entry.call(CHAT, body, headers=headers)
    indexes = [chunk['index'] for chunk in chunks(answer.body)]
    assert indexes == [0, 1, 2, 3]


async def test_a_stream_that_cannot_go_on_ends_with_an_error(
    entry: Entry,
) -> None:
    await entry.add_engine('e1', SLOW)
    await entry.open()
    body = chat(PROMPT, stream=True, max_tokens=TOKENS)
    headers = {'Mimosa-Deadline-S': '3'}
    stream = asyncio.create_task(entry.call(CHAT, body, headers=headers))
    engine = await _busy(entry, 5)
    await engine.process.kill()
    answer = await stream
    got = chunks(answer.body)
    error = got.pop()['error']
    assert error['run'] == 'may-have-run'
    assert DONE not in answer.body
    text = ''.join(chunk['choices'][0]['delta']['content'] for chunk in got)
    assert text == expected_text(MODEL, '', PROMPT, len(got))
    assert 5 <= len(got) < TOKENS


async def test_a_stream_whose_second_engine_refuses_ends_with_an_error(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1', SLOW),
        entry.add_engine('e2', '--preload=other=1', '--preload-adapters='),
    )
    await entry.open()
    await entry.announce(('e1',))
    body = chat(PROMPT, stream=True, max_tokens=TOKENS)
    headers = {'Mimosa-Deadline-S': '3'}
    stream = asyncio.create_task(entry.call(CHAT, body, headers=headers))
    engine = await _busy(entry, 5)
    await entry.announce(('e1', 'e2'))
    await engine.process.kill()
    answer = await stream
    got = chunks(answer.body)
    assert got.pop()['error']['run'] == 'may-have-run'
    assert [chunk['index'] for chunk in got] == list(range(len(got)))
    assert DONE not in answer.body
    assert b'HTTP/1.1' not in answer.body


async def test_a_resume_that_is_answered_whole_ends_with_an_error(
    entry: Entry,
) -> None:
    await entry.add_engine('e1', SLOW)
    # A plain service answers a resume with 200 and a body of its own.
    entry.engines['e2'] = await entry.add_service('e2')
    entry.services.clear()
    await entry.open()
    await entry.announce(('e1',))
    body = chat(PROMPT, stream=True, max_tokens=TOKENS)
    headers = {'Mimosa-Deadline-S': '3'}
    stream = asyncio.create_task(entry.call(CHAT, body, headers=headers))
    await wait_until(lambda: _has_tokens(entry, entry.engines['e1'], 5))
    await entry.announce(('e1', 'e2'))
    await entry.engines['e1'].process.kill()
    answer = await stream
    got = chunks(answer.body)
    assert got.pop()['error']['run'] == 'may-have-run'
    assert [chunk['index'] for chunk in got] == list(range(len(got)))
    assert b'sha256' not in answer.body


async def test_a_stream_that_an_engine_ends_early_goes_on_elsewhere(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1', SLOW),
        entry.add_engine('e2', SLOW),
    )
    await entry.open()
    stream = await _stream(entry)
    engine = await _busy(entry, 5)
    request_id = entry.runs()[0]
    path = f'/requests/{request_id}'
    async with entry.cluster.http.delete(engine.url + path) as told:
        assert told.status == HTTPStatus.NO_CONTENT
    answer = await stream
    assert streamed_text(answer.body) == expected_text(
        MODEL, '', PROMPT, TOKENS
    )
    assert answer.body.endswith(DONE)


async def test_a_caller_that_hangs_up_ends_the_work_at_the_engine(
    entry: Entry,
) -> None:
    engine = await entry.add_engine('e1', SLOW)
    await entry.open()
    whole = asyncio.create_task(entry.call(CHAT, chat('w', max_tokens=9999)))
    stream = asyncio.create_task(
        entry.call(CHAT, chat('s', max_tokens=9999, stream=True))
    )

    async def records() -> list[Any]:
        runs = entry.runs()
        stats = await entry.cluster.get_json(engine, '/stats')
        return [stats['requests'][run] for run in runs]

    async def are_generating() -> bool:
        tokens = [record['tokens'] for record in await records()]
        return len(tokens) == 2 and all(tokens)

    async def are_cancelled() -> bool:
        cancelled = [record['cancelled'] for record in await records()]
        return all(cancelled)

    await wait_until(are_generating)
    whole.cancel()
    stream.cancel()
    await wait_until(are_cancelled)


async def test_a_request_that_crashes_its_engine_is_refused_after_two(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1'),
        entry.add_engine('e2'),
        entry.add_engine('e3'),
    )
    # A proxy would accept the connections that a dead engine refuses.
    entry.urls = {name: node.url for name, node in entry.engines.items()}
    await entry.open()
    headers = {'Mimosa-Deadline-S': '6'}
    answers = await in_turn(
        entry.call(CHAT, chat('CRASH-ME'), headers=headers) for _ in range(3)
    )
    assert answers[-1].status == HTTPStatus.UNPROCESSABLE_ENTITY
    assert answers[-1].fields()['error']['code'] == 'crash_suspect'
    # A process that has ended is known to have only once it was reaped.
    await wait_until(functools.partial(_has_running, entry, 1))
    assert (await entry.call(CHAT, chat('fine'))).status == HTTPStatus.OK
    assert await _has_running(entry, 1)
