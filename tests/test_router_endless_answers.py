"""Targets whose bytes never end, at a real router."""

import asyncio
import contextlib
import types
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import aiohttp
import psutil
import pytest

from mimosaworks.entities import Route, Target
from standins.agency.endless import EndlessTarget
from tests.harness import wait_until
from tests.harness_entry import (
    CHAT,
    PLOTS,
    READINGS,
    Entry,
    chat,
)

MB = 1000000
GROWTH_MB = 100
CALLERS = 20
CALLS_MEANWHILE = 5
TARGETS = 8
POLL_S = 0.01
ALONE = '/alone'
REPORT = '/report'
DEADLINE = types.MappingProxyType({'Mimosa-Deadline-S': '2'})
LIMIT = aiohttp.ClientTimeout(total=10)
GENERATION = b'{"generation": "g"}'
LARGE = b'whole' * 2000000
ANSWER = b'{"usage": {"completion_tokens": 1}}'


def megabytes(entry: Entry) -> float:
    process = psutil.Process(entry.router.process.child.pid)
    return float(process.memory_info().rss) / MB


async def ask(entry: Entry, path: str, number: int) -> Any:
    """Return an answer's status, 0 if it is broken off, -1 if it goes on."""
    body = chat(f'{number}') if path == CHAT else b'x'
    headers = {} if path == ALONE else DEADLINE
    try:
        answer = await entry.call(path, body, headers=headers, timeout=LIMIT)
    except TimeoutError:
        return -1
    except aiohttp.ClientError:
        return 0
    return 0 if b'event: error\n' in answer.body else answer.status


async def ask_many(entry: Entry, path: str) -> tuple[set[int], float, set[int]]:
    """Return statuses, the growth of the router and statuses meanwhile."""
    usual = megabytes(entry)
    most = usual
    numbers = range(CALLERS)
    asked = [asyncio.ensure_future(ask(entry, path, one)) for one in numbers]
    done = asyncio.ensure_future(asyncio.wait(asked))
    meanwhile = asyncio.ensure_future(_ask_alone(entry))
    while not (done.done() and meanwhile.done()):
        most = max(most, megabytes(entry))
        await asyncio.sleep(POLL_S)
    return {await one for one in asked}, most - usual, await meanwhile


async def _ask_alone(entry: Entry) -> set[int]:
    return {await ask(entry, ALONE, one) for one in range(CALLS_MEANWHILE)}


async def open_targets(
    entry: Entry,
    stack: contextlib.AsyncExitStack,
    targets: list[EndlessTarget],
    pool: str,
) -> None:
    """Open the targets of one pool, and one of another with whole answers."""
    sound = EndlessTarget('body', sound={ALONE: ANSWER, READINGS: LARGE})
    entities = []
    for number, opened in enumerate((*targets, sound)):
        await opened.open(stack)
        of_pool = 'alone' if opened is sound else pool
        kind = 'engine' if of_pool == 'models' else 'service'
        url = f'http://{opened.address}'
        entities.append(Target(f'endless-{number}', url, of_pool, kind))
    await entry.open(Route('alone', ALONE, 'alone', 'service'), *entities)
    if pool == 'models':
        await entry.announce([target.name for target in entities[:-1]])
        await wait_until(lambda: _has_tokens(entry))


async def _has_tokens(entry: Entry) -> bool:
    return bool(await ask(entry, CHAT, CALLERS) != HTTPStatus.TOO_MANY_REQUESTS)


@pytest.fixture
async def stack() -> AsyncIterator[contextlib.AsyncExitStack]:
    async with contextlib.AsyncExitStack() as opened:
        yield opened


# Guards against a target that writes without end: the router keeps all of it,
# runs out of memory and ends with all its requests.
@pytest.mark.parametrize(
    ('kind', 'path'),
    [
        ('body', PLOTS),
        ('chunks', READINGS),
        ('event', PLOTS),
        ('interim', PLOTS),
        ('header', PLOTS),
        ('event', CHAT),
        ('chunks', CHAT),
        ('missing', CHAT),
    ],
)
async def test_many_answers_without_end_are_broken_off(
    entry: Entry, stack: contextlib.AsyncExitStack, kind: str, path: str
) -> None:
    sound = {REPORT: GENERATION}
    target = EndlessTarget(kind, sound=sound)
    pool = 'models' if path == CHAT else 'plots'
    await open_targets(entry, stack, [target], pool)
    statuses, growth_mb, meanwhile = await ask_many(entry, path)
    # None of the router's own refusals either, but for the time limit.
    assert statuses <= {0, 502, 504}
    assert growth_mb < GROWTH_MB
    assert meanwhile == {200}

    async def is_closed() -> bool:
        return 0 < target.asked[path] <= target.closed

    await wait_until(is_closed)


# Guards against reports without end of several engines, which the router keeps.
async def test_reports_without_end_are_cut(
    entry: Entry, stack: contextlib.AsyncExitStack
) -> None:
    targets = [
        EndlessTarget('chunks', sound={CHAT: ANSWER}) for _ in range(TARGETS)
    ]
    await open_targets(entry, stack, targets, 'models')
    statuses, growth_mb, meanwhile = await ask_many(entry, CHAT)
    assert statuses == {200}
    assert growth_mb < GROWTH_MB
    assert meanwhile == {200}
    assert sum(target.asked[REPORT] for target in targets)


# Guards against a bound that breaks off whole answers of the usual sizes.
async def test_large_whole_answers_are_served(
    entry: Entry, stack: contextlib.AsyncExitStack
) -> None:
    target = EndlessTarget('body', sound={READINGS: LARGE})
    await open_targets(entry, stack, [target], 'plots')
    asked = [entry.call(READINGS, b'x') for _ in range(CALLERS)]
    answers = await asyncio.gather(*asked)
    assert {answer.body for answer in answers} == {LARGE}
    assert {answer.headers['Content-Length'] for answer in answers} == {
        f'{len(LARGE)}'
    }
