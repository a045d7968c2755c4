"""Streams that break off, and what the next target answers."""

from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from standins.agency.replica import ERROR_TEXT
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import open_pair

WHOLE_EVENTS = 2
HEAD_MARK = b'HTTP/1.1'


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


# Guards against the text or the head of an error in the middle of a stream,
# and a broken stream that looks complete, when the next target fails.
@pytest.mark.parametrize(
    ('status', 'path'),
    [
        (400, '/draft/x'),
        (404, '/draft/x'),
        (500, '/draft/x'),
        (503, '/draft/x'),
        (500, '/chat/x'),
    ],
)
async def test_an_error_behind_a_begun_stream_is_no_part_of_it(
    world: AgencyWorld, status: int, path: str
) -> None:
    first, _ = await open_pair(world)
    failing = world.replicas['engine-2']
    failing.models['alpha'] = set()
    failing.fails_with = status
    world.replicas['engine-1'].breaks_after = WHOLE_EVENTS
    received = bytearray()
    async with world.request(
        first, path, 'broken', X_Model='alpha', X_Token_Counts='1000,20'
    ) as resp:
        assert resp.status == 200
        with pytest.raises(aiohttp.ClientError):
            async for chunk in resp.content.iter_any():
                received.extend(chunk)
    assert received.count(b'data: piece') == WHOLE_EVENTS
    assert ERROR_TEXT not in received
    assert HEAD_MARK not in received
    is_resumed = path.startswith('/draft')
    assert bool(failing.runs) is is_resumed
