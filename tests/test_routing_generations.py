"""Tests of the names that crashes get."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from aiohttp.web import Application, Request, Response, json_response

from mimosaworks.entities import Target
from mimosaworks.routing.generations import Generations


class DyingEngine:
    """Answers its first report late, and breaks off all later ones."""

    def __init__(self) -> None:
        """Start with no report asked for."""
        self.asked = 0
        self.url = ''
        self.may_answer = asyncio.Event()

    async def report(self, req: Request) -> Response:
        """Answer with the generation, or close the connection."""
        self.asked += 1
        if self.asked == 1:
            await self.may_answer.wait()
            return json_response({'generation': 7})
        assert req.transport is not None
        req.transport.abort()
        return Response()


@pytest.fixture
async def engine() -> AsyncIterator[DyingEngine]:
    app = Application()
    engine = DyingEngine()
    app.router.add_get('/report', engine.report)
    async with TestServer(app) as server:
        engine.url = str(server.make_url(''))
        yield engine


async def test_a_crash_found_while_its_engine_is_asked_keeps_its_name(
    engine: DyingEngine,
) -> None:
    """The engine ends between its report and a request's answer.

    Pattern: the first request to an engine crashes it, and a second one
    meets a kept connection to it; two names would make one crash two.
    """
    target = Target(name='e1', url=engine.url, pool='chat')
    async with aiohttp.ClientSession() as session:
        generations = Generations(session)
        learning = asyncio.create_task(generations.learn(target))
        while not engine.asked:
            await asyncio.sleep(0)
        first = asyncio.create_task(generations.find_crash(target))
        # Without an order between the two, the crash is found by now.
        await asyncio.wait((first,), timeout=0.2)
        engine.may_answer.set()
        await learning
        assert await first == await generations.find_crash(target)
