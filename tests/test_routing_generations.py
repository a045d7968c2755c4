"""Tests of the ids of crashes."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from aiohttp.web import Application, Request, Response, json_response

from mimosaworks.entities import Target
from mimosaworks.routing.generation_tracker import GenerationTracker


class CrashingEngine:
    """An engine with a late first report, which then aborts connections."""

    def __init__(self) -> None:
        """Create the engine before any request for a report."""
        self.report_count = 0
        self.url = ''
        self.report_allowed = asyncio.Event()

    async def report(self, req: Request) -> Response:
        """Answer with the generation, or abort the connection."""
        self.report_count += 1
        if self.report_count == 1:
            await self.report_allowed.wait()
            return json_response({'generation': 7})
        assert req.transport is not None
        req.transport.abort()
        return Response()


@pytest.fixture
async def engine() -> AsyncIterator[CrashingEngine]:
    app = Application()
    engine = CrashingEngine()
    app.router.add_get('/report', engine.report)
    async with TestServer(app) as server:
        engine.url = str(server.make_url(''))
        yield engine


async def test_a_crash_found_while_its_engine_is_asked_keeps_its_name(
    engine: CrashingEngine,
) -> None:
    """Guards against two ids for one crash, which would count it twice.

    That happens when the first request to an engine crashes it while its
    generation is still being fetched, and a second request fails on a
    pooled connection to it.
    """
    target = Target(name='e1', url=engine.url, pool='chat')
    async with aiohttp.ClientSession() as session:
        generations = GenerationTracker(session)
        learning = asyncio.create_task(generations.fetch_if_unknown(target))
        while not engine.report_count:
            await asyncio.sleep(0)
        first = asyncio.create_task(generations.detect_crash(target))
        # Unless the two are serialized, the crash is detected by now.
        await asyncio.wait((first,), timeout=0.2)
        engine.report_allowed.set()
        await learning
        assert await first == await generations.detect_crash(target)
