"""Proofs that the bytes of each answer belong to its own request."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator
from http import HTTPStatus
from typing import Any

from aiohttp import web

from mimosaworks.entities import Route, Target
from standins.addresses import reserve_address
from standins.engine.tokens import expected_text
from standins.serving import serve_app
from tests.harness import in_turn
from tests.harness_entry import (
    ADAPTER,
    CHAT,
    MODEL,
    Answer,
    Entry,
    chat,
    streamed_text,
)

CALLERS = 60
TOKENS = 4


class _Crossing:
    """A faulty target that answers each of two calls with the other's."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self._ids: list[str] = []
        self._both_came = asyncio.Event()

    @contextlib.asynccontextmanager
    async def serve(self, address: str) -> AsyncGenerator[None, None]:
        """Serve at HOST:PORT while the context is open."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._answer)
        async with contextlib.AsyncExitStack() as stack:
            await serve_app(stack, app, address)
            yield

    async def _answer(self, req: web.Request) -> web.Response:
        number = len(self._ids)
        self._ids.append(req.headers['X-Request-Id'])
        self.bodies.append(await req.read())
        if number:
            self._both_came.set()
        await self._both_came.wait()
        other = 1 - number
        headers = {'X-Request-Id': self._ids[other]}
        return web.Response(body=self.bodies[other], headers=headers)


def _text(answer: Answer, *, is_stream: bool) -> str:
    if is_stream:
        return streamed_text(answer.body)
    return str(answer.fields()['choices'][0]['message']['content'])


async def _ask(entry: Entry, number: int, **more: Any) -> bool:
    """Return whether an answer came; whatever came must be the caller's."""
    is_stream = number % 2 == 0
    adapter = ADAPTER if number % 3 == 0 else ''
    prompt = f'prompt {number}'
    body = chat(prompt, stream=is_stream, model=adapter or MODEL)
    answer = await entry.call(CHAT, body, **more)
    if answer.status != HTTPStatus.OK:
        return False
    expected = expected_text(MODEL, adapter, prompt, TOKENS)
    assert _text(answer, is_stream=is_stream) == expected
    return True


async def test_concurrent_callers_get_their_own_answers(entry: Entry) -> None:
    await asyncio.gather(
        entry.add_engine('e1'),
        entry.add_engine('e2'),
    )
    await entry.open()
    await entry.fault('e1', delay_s=0.03)
    asks = (_ask(entry, number) for number in range(CALLERS))
    assert all(await asyncio.gather(*asks))


async def test_an_answer_that_comes_late_reaches_no_other_caller(
    entry: Entry,
) -> None:
    await entry.add_engine('e1')
    await entry.open()
    assert await _ask(entry, 1)
    await entry.fault('e1', freeze=True)
    hurried = {'headers': {'Mimosa-Deadline-S': '0.4'}}
    late = (_ask(entry, number, **hurried) for number in range(100, 110))
    assert not any(await asyncio.gather(*late))
    await entry.fault('e1', freeze=False)
    asks = await in_turn(_ask(entry, number) for number in range(20))
    # The target may still be resting after the failures.
    assert any(asks)


async def test_an_answer_with_another_request_id_is_not_passed_on(
    entry: Entry,
) -> None:
    crossing = _Crossing()
    address = reserve_address()
    async with crossing.serve(address):
        await entry.open(
            Route('crossed', '/crossed', 'crossed', 'service'),
            Target('x', f'http://{address}', 'crossed', 'service'),
        )
        answers = await asyncio.gather(
            entry.call('/crossed', b'one'), entry.call('/crossed', b'two')
        )
    assert sorted(crossing.bodies) == [b'one', b'two']
    for answer in answers:
        assert answer.status == HTTPStatus.BAD_GATEWAY
        assert answer.run == 'may-have-run'
        assert b'one' not in answer.body
        assert b'two' not in answer.body
