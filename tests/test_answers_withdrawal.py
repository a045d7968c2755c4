"""Proofs that withdrawn keys and leaving targets get no new work."""

import asyncio
from http import HTTPStatus

from mimosaworks.entities import Change
from tests.harness import in_turn, wait_until
from tests.harness_entry import PLOTS, Entry

CALLS = 10
# Each goes to one of two idle targets by chance. Once in a thousand times, none
# of ten goes to a target that still gets work; of forty, once in 10**12.
CALLS_UNTIL_SURE = 40


async def test_a_withdrawn_key_is_refused_on_a_kept_connection(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    slow = {'X-Sleep-S': '4'}
    running = asyncio.create_task(entry.call(PLOTS, b'x', headers=slow))
    assert (await entry.call(PLOTS, b'x')).status == HTTPStatus.OK
    await entry.change(Change('key', 'camp-key'))

    async def is_refused() -> bool:
        answer = await entry.call(PLOTS, b'x')
        return answer.status == HTTPStatus.UNAUTHORIZED

    await wait_until(is_refused)
    ran = len(entry.runs())
    answers = await in_turn(entry.call(PLOTS, b'x') for _ in range(CALLS))
    assert {answer.run for answer in answers} == {'not-run'}
    assert len(entry.runs()) == ran
    # What ran before the withdrawal is answered.
    assert (await running).status == HTTPStatus.OK


# Guards against a router that goes on to use a target whose VM leaves.
async def test_a_leaving_target_gets_no_new_work(entry: Entry) -> None:
    await asyncio.gather(entry.add_service('s1'), entry.add_service('s2'))
    await entry.open()
    address = entry.proxies['s1'].address
    vms = [{'address': address, 'data_centre': 'dc1', 'state': 'leaving'}]
    await entry.cluster.control(entry.cluster.platform, vms=vms)

    async def count(service: str) -> int:
        node = entry.services[service]
        counts = await entry.cluster.get_json(node, '/counts')
        return len(counts['requests'])

    async def has_left() -> bool:
        before = await count('s1')
        calls = (entry.call(PLOTS, b'x') for _ in range(CALLS_UNTIL_SURE))
        await in_turn(calls)
        return await count('s1') == before

    await wait_until(has_left)
    before = await count('s1')
    answers = await in_turn(entry.call(PLOTS, b'x') for _ in range(CALLS))
    assert {answer.status for answer in answers} == {HTTPStatus.OK}
    assert await count('s1') == before
