"""Proofs of what a refusal says, and that a call runs at most once."""

import asyncio
import itertools
import random
import types
from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from tests.harness import in_turn, wait_until
from tests.harness_entry import CHAT, PLOTS, READINGS, Answer, Entry, chat

SEED = 20261203
ROUNDS = 12
CALLERS = 4
SETTLE_S = 0.5
PATHS = (CHAT, PLOTS, READINGS)
ALL_WELL = types.MappingProxyType({
    'cut': False,
    'freeze': False,
    'delay_s': 0,
    'drop_replies': 0,
    'drop_to_upstream': False,
    'drop_to_client': False,
})
FAULTS = (
    {'cut': True},
    {'freeze': True},
    {'drop_replies': 2},
    {'drop_to_upstream': True},
    {'drop_to_client': True},
    {'delay_s': 0.05},
)


def _body(path: str) -> Any:
    return chat('x') if path == CHAT else b'x'


async def _call(entry: Entry, path: str, rng: random.Random) -> Answer:
    headers = {
        'Mimosa-Deadline-S': str(rng.choice((0.3, 0.6))),
        'X-Sleep-S': str(rng.choice((0, 0.05))),
    }
    return await entry.call(path, _body(path), headers=headers)


def _start_calls(
    entry: Entry, rng: random.Random
) -> list['asyncio.Task[Answer]']:
    return [
        asyncio.create_task(_call(entry, path, rng)) for path in PATHS * CALLERS
    ]


async def _one_round(entry: Entry, rng: random.Random) -> list[Answer]:
    calls = _start_calls(entry, rng)
    await asyncio.sleep(rng.uniform(0, 0.05))
    engine = rng.choice(list(entry.engines))
    service = rng.choice(list(entry.services))
    await entry.fault(engine, **rng.choice(FAULTS))
    await entry.fault(service, **rng.choice(FAULTS))
    calls += _start_calls(entry, rng)
    answers = await asyncio.gather(*calls)
    await entry.fault(engine, **ALL_WELL)
    await entry.fault(service, **ALL_WELL)
    return answers


async def _fault_all(entry: Entry, faults: Mapping[str, Any]) -> None:
    await asyncio.gather(
        *(entry.fault(name, **faults) for name in entry.proxies)
    )


async def _cut_round(entry: Entry, rng: random.Random) -> list[Answer]:
    """Return answers while no target can be reached: some are not-run."""
    await _fault_all(entry, {'cut': True})
    answers = await asyncio.gather(*_start_calls(entry, rng))
    await _fault_all(entry, ALL_WELL)
    return answers


async def _answers(entry: Entry) -> dict[str, list[Answer]]:
    """Return the answers of all rounds by path."""
    # Faults are drawn, not keys.
    rng = random.Random(SEED)  # noqa: S311
    rounds = await in_turn(_one_round(entry, rng) for _ in range(ROUNDS))
    rounds.append(await _cut_round(entry, rng))
    # Bytes that were held back may still reach a target.
    await asyncio.sleep(SETTLE_S)
    gathered = list(itertools.chain.from_iterable(rounds))
    count = len(PATHS)
    return {path: gathered[turn::count] for turn, path in enumerate(PATHS)}


def _ids(answers: list[Answer], run: str) -> set[str]:
    return {answer.request_id for answer in answers if answer.run == run}


async def test_a_request_that_ran_is_never_said_not_to_have_run(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1'),
        entry.add_engine('e2'),
        entry.add_service('s1'),
        entry.add_service('s2'),
    )
    await entry.open()
    answers = await _answers(entry)
    runs = Counter(entry.runs())
    for given in answers.values():
        # Each kind of answer has to come, or nothing was tested.
        assert _ids(given, 'not-run')
        assert not _ids(given, 'not-run') & set(runs)
        assert _ids(given, '') <= set(runs)
    assert _ids(answers[PLOTS], 'may-have-run')
    assert all(runs[answer.request_id] <= 1 for answer in answers[PLOTS])


async def test_only_a_call_that_may_be_repeated_is_sent_again(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.open()
    await entry.fault('s1', drop_replies=1)
    lost = await entry.call(PLOTS, b'x')
    assert lost.run == 'may-have-run'
    assert entry.runs() == [lost.request_id]
    await entry.fault('s1', drop_replies=1)
    repeated = await entry.call(READINGS, b'x')
    assert repeated.status == HTTPStatus.OK
    assert entry.runs().count(repeated.request_id) == 2


async def test_a_target_that_cannot_be_reached_gives_not_run(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1'),
        entry.add_service('s1'),
    )
    await entry.open()
    await entry.fault('e1', cut=True)
    await entry.fault('s1', cut=True)
    headers = {'Mimosa-Deadline-S': '0.5'}
    answers = await in_turn(
        entry.call(path, _body(path), headers=headers) for path in (CHAT, PLOTS)
    )
    assert {answer.run for answer in answers} == {'not-run'}
    assert not entry.runs()


async def test_a_call_that_may_not_be_repeated_survives_a_kill_unrepeated(
    entry: Entry,
) -> None:
    first = await entry.add_service('s1')
    await entry.add_service('s2')
    await entry.open()
    calls = [
        asyncio.create_task(
            entry.call(PLOTS, b'x', headers={'X-Sleep-S': '0.5'})
        )
        for _ in range(8)
    ]

    async def are_running() -> bool:
        return len(entry.runs()) == len(calls)

    await wait_until(are_running)
    await first.process.kill()
    answers = await asyncio.gather(*calls)
    assert max(Counter(entry.runs()).values()) == 1
    assert {answer.run for answer in answers} == {'', 'may-have-run'}
    for answer in answers:
        was_answered = answer.status == HTTPStatus.OK
        assert was_answered == (not answer.run)


async def test_a_model_that_the_engine_lacks_is_tried_elsewhere(
    entry: Entry,
) -> None:
    await asyncio.gather(
        entry.add_engine('e1', '--preload=other=1', '--preload-adapters='),
        entry.add_engine('e2'),
    )
    await entry.open()
    answers = await in_turn(
        entry.call(CHAT, chat(f'prompt {turn}')) for turn in range(6)
    )
    assert {answer.status for answer in answers} == {HTTPStatus.OK}


async def test_a_service_that_answers_503_may_have_run_and_is_not_asked_again(
    entry: Entry,
) -> None:
    await entry.add_service('s1')
    await entry.add_service('s2')
    await entry.open()
    answer = await entry.call(PLOTS, b'x', headers={'X-Status': '503'})
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert answer.run != 'not-run'
    assert entry.runs() == [answer.request_id]
