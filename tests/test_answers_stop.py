"""Proofs that a planned stop of a router cuts no request."""

import asyncio
from http import HTTPStatus

import aiohttp

from standins.engine.tokens import expected_text
from tests.harness import wait_until
from tests.harness_entry import (
    CHAT,
    MODEL,
    PLOTS,
    Entry,
    chat,
    streamed_text,
)

TOKENS = 100
CALLERS = 4


async def test_a_stop_under_load_cuts_no_request(entry: Entry) -> None:
    await asyncio.gather(
        entry.add_engine('e1', '--step-s=0.02'),
        entry.add_service('s1'),
    )
    await entry.open()
    stopping = asyncio.Event()
    answered: list[int] = []

    async def stream(number: int) -> None:
        prompt = f'stream {number}'
        body = chat(prompt, stream=True, max_tokens=TOKENS)
        answer = await entry.call(CHAT, body)
        expected = expected_text(MODEL, '', prompt, TOKENS)
        assert streamed_text(answer.body) == expected
        assert answer.body.endswith(b'data: [DONE]\n\n')

    async def repeat_calls() -> None:
        # Callers keep the address for the directory's age: 0.5 s here.
        while not stopping.is_set():
            headers = {'X-Sleep-S': '0.05'}
            answer = await entry.call(PLOTS, b'x', headers=headers)
            answered.append(answer.status)

    streams = [asyncio.create_task(stream(turn)) for turn in range(CALLERS)]
    calls = [asyncio.create_task(repeat_calls()) for _ in range(CALLERS)]
    await asyncio.sleep(0.5)
    entry.router.process.terminate()
    await asyncio.sleep(0.3)
    stopping.set()
    await asyncio.gather(*streams, *calls)
    assert set(answered) == {HTTPStatus.OK}
    assert await entry.router.process.wait() == 0


async def test_a_stopping_router_leaves_the_directory(entry: Entry) -> None:
    await entry.open()
    other = await entry.cluster.start_program('router')

    async def entries() -> set[str]:
        listed = await entry.cluster.get_json(other, '/v1/entries')
        return {one['address'] for one in listed['entries']}

    async def are_both_listed() -> bool:
        both = {entry.router.address, other.address}
        return await entries() == both

    async def is_one_listed() -> bool:
        return await entries() == {other.address}

    await wait_until(are_both_listed)
    entry.router.process.terminate()
    await wait_until(is_one_listed)
    assert await entry.router.process.wait() == 0
    try:
        await entry.call(PLOTS, b'x')
    except aiohttp.ClientConnectorError:
        return
    raise AssertionError('a stopped router still listens')
