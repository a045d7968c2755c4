"""Proofs that no target sees a caller's key."""

import asyncio
import json
import types
from collections.abc import Mapping
from http import HTTPStatus

from tests.harness import in_turn
from tests.harness_entry import (
    CALLER_KEY,
    CHAT,
    OPEN,
    PLOTS,
    Answer,
    Entry,
    chat,
)

NOTHING = types.MappingProxyType({'Authorization': ''})
WAYS = (
    ({'Authorization': f'Bearer {CALLER_KEY}'}, ''),
    ({'Authorization': f'bearer  {CALLER_KEY}'}, ''),
    ({'X-Api-Key': CALLER_KEY, **NOTHING}, ''),
    (NOTHING, f'?api_key={CALLER_KEY}'),
    (NOTHING, f'?a=1&API_KEY={CALLER_KEY}&b=2'),
    (NOTHING, f'?api%5Fkey={CALLER_KEY}'),
    (
        {'X-Api-Key': CALLER_KEY, 'Cookie': f'key={CALLER_KEY}'},
        f'?key={CALLER_KEY}',
    ),
)


async def _call(
    entry: Entry, path: str, headers: Mapping[str, str], query: str
) -> Answer:
    body = chat('x') if path == CHAT else b'x'
    return await entry.call(path + query, body, headers=headers)


async def test_no_target_sees_a_key_in_header_or_query(entry: Entry) -> None:
    engine, service = await asyncio.gather(
        entry.add_engine('e1'), entry.add_service('s1')
    )
    await entry.open()
    answers = await in_turn(
        _call(entry, path, headers, query)
        for path in (CHAT, PLOTS, OPEN)
        for headers, query in WAYS
    )
    assert {answer.status for answer in answers} == {HTTPStatus.OK}
    assert len(entry.runs()) == len(answers)
    seen = json.dumps([
        await entry.cluster.get_json(engine, '/stats'),
        await entry.cluster.get_json(service, '/counts'),
    ])
    assert CALLER_KEY not in seen
    assert CALLER_KEY not in entry.router.process.read_log()


async def test_other_parameters_are_sent_on(entry: Entry) -> None:
    service = await entry.add_service('s1')
    await entry.open()
    query = f'?a=1&api_key={CALLER_KEY}&b=x%20y%2Fz&c=&d'
    answer = await entry.call(PLOTS + query, b'x')
    counts = await entry.cluster.get_json(service, '/counts')
    seen = counts['requests'][answer.request_id]
    assert seen['query'] == 'a=1&b=x%20y%2Fz&c=&d'
