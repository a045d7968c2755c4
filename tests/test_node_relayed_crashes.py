"""What a node that sends through another one takes for signs of a crash."""

import asyncio
from http import HTTPStatus
from pathlib import Path

from standins.agency.world import open_agency
from tests.test_node_processes import until, until_served

BODY = b'a popular request'
CALLERS = 6


# Guards against content that is refused as if it crashed targets, though they
# answered: a node without a path to them took each relayed answer for a sign.
async def test_relayed_answers_are_no_signs_of_a_crash(tmp_path: Path) -> None:
    async with open_agency(tmp_path) as world:
        for number in range(CALLERS):
            await world.add_replica(f'ledger-{number}', service='ledger')
        await world.add_node('node-1')
        asked = await world.add_node('cut-off', module='tests.cut_off_node')
        for node in world.nodes:
            await until_served(world, node)
        await until(lambda: bool(asked.events('path_lost')))

        async def ask(number: int) -> int:
            async with world.request(
                asked, '/post/x', f'r-{number}', BODY
            ) as resp:
                return int(resp.status)

        statuses = await asyncio.gather(*map(ask, range(CALLERS)))
        assert set(statuses) == {HTTPStatus.OK}
        await until(lambda: len(asked.events('call_answered')) >= CALLERS)
        assert asked.events('call_via_relay')
        assert not asked.events('target_end_seen')
        assert await ask(CALLERS) == HTTPStatus.OK
