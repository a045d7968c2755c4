"""What a soak takes for a whole answer without framing."""

import asyncio
import functools
import math
import random
from pathlib import Path
from typing import cast

import aiohttp
import pytest

from bench.soak_load import OK, Seen
from bench.soak_spans import SoakSpans
from bench.soak_turns import draw_in_turn
from bench.soak_unframed import (
    CUT,
    GONE_PLAIN,
    LATE_ENDS,
    LATE_PLAIN,
    PLAIN_ENDS,
    RESUMED_ENDS,
    STREAM_ENDS,
    WHOLE,
    SoakUnframed,
)
from standins.agency.event_text import event_text
from standins.agency.replica import EVENTS
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import until

DRAFT = '/draft/'
LOOK = '/look/'
SAID = b'echo soak-1'
EVENT = event_text(EVENTS, SAID)
FIRST = b''.join(event_text(number, SAID) for number in range(1, EVENTS))
ENDS = (('soak-1', WHOLE),)


def is_whole(body: bytes, path: str = DRAFT) -> bool:
    unframed = SoakUnframed(
        cast('AgencyWorld', None),
        SoakSpans(),
        cast('random.Random', None),
        ENDS,
    )
    seen = Seen('soak-1', path, OK, body, SAID)
    return all(one.is_whole() for one in unframed.undress([seen]))


# Guards against a soak that takes broken answers for whole ones, since it does
# not compare line ends and comments.
@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (FIRST + EVENT, True),
        ((FIRST + EVENT).replace(b'\n', b'\r\n'), True),
        (b'%s: ping\n%s' % (FIRST.replace(b'\n', b'\r\n'), EVENT), True),
        (FIRST, False),
        (FIRST + EVENT[:-1], False),
        (FIRST + EVENT.replace(b'\n', b'\r\n')[:-2], False),
        (FIRST + EVENT + EVENT, False),
        (FIRST + EVENT[:12] + EVENT, False),
        (EVENT + FIRST, False),
        (b'%s%s: pi' % (FIRST, EVENT), False),
        (FIRST + event_text(EVENTS, b'echo soak-2'), False),
    ],
)
def test_only_line_ends_and_comments_are_free(
    body: bytes, expected: bool
) -> None:
    assert is_whole(body) is expected


PIECES = tuple(event_text(number, SAID) for number in range(1, EVENTS + 1))
PLAIN = {*PLAIN_ENDS, LATE_PLAIN} - {WHOLE}
SEED = 8
DRAWS = 20


def drawn(rng: random.Random, end: str) -> bytes:
    """Return the body that a target sends with such an end."""
    unframed = SoakUnframed(cast('AgencyWorld', None), SoakSpans(), rng)
    if end in PLAIN:
        return b''.join(unframed.draw_body((SAID,), end))
    return b''.join(unframed.draw_events(PIECES, end))


# Guards against ends that cut nothing, so that a soak would find nothing, and
# against whole answers that it cuts.
@pytest.mark.parametrize(
    'end', sorted({*STREAM_ENDS, *RESUMED_ENDS, *PLAIN_ENDS, *LATE_ENDS})
)
def test_only_whole_answers_are_whole(end: str) -> None:
    rng = random.Random(SEED)  # noqa: S311 -- no secrets
    path = LOOK if end in PLAIN else DRAFT
    for _ in range(DRAWS):
        body = drawn(rng, end)
        assert is_whole(body, path) is (end == WHOLE), body


TARGET = 'ledger-1'
SEEDS = range(50)
TURNS = 3


# Guards against a soak that shows nothing, as its few answers without framing
# had other ends than those that a target cuts.
@pytest.mark.parametrize(
    ('first', 'ends'),
    [
        (PIECES[0], STREAM_ENDS),
        (PIECES[1], RESUMED_ENDS),
        (SAID, PLAIN_ENDS),
    ],
    ids=['stream', 'resumed', 'plain'],
)
def test_each_turn_of_ends_has_all_and_begins_with_a_cut(
    first: bytes, ends: tuple[str, ...]
) -> None:
    for seed in SEEDS:
        rng = random.Random(seed)  # noqa: S311 -- no secrets
        unframed = SoakUnframed(
            cast('AgencyWorld', None),
            SoakSpans(),
            rng,
            used=frozenset((TARGET,)),
        )
        for _ in range(TURNS):
            turn = [unframed.draw_end(TARGET, first, math.inf) for _ in ends]
            assert turn[0] in CUT
            assert sorted(turn) == sorted(ends)


# Guards against a soak whose cut answers are all of one kind in all seeds.
def test_any_cut_may_come_first() -> None:
    firsts = set()
    for seed in SEEDS:
        rng = random.Random(seed)  # noqa: S311 -- no secrets
        firsts.add(next(draw_in_turn(rng, STREAM_ENDS, CUT)))
    assert firsts == CUT & set(STREAM_ENDS)


# Guards against a target that is still there when its answer ends, so that
# nothing could tell this end from a whole one.
async def test_a_target_is_gone_when_its_answer_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('bench.soak_unframed.PLAIN_ENDS', (GONE_PLAIN,))
    rng = random.Random(SEED)  # noqa: S311 -- no secrets
    async with open_agency(tmp_path) as world:
        replica = await world.add_replica(TARGET, service='ledger')
        unframed = SoakUnframed(
            world, SoakSpans(), rng, used=frozenset((TARGET,))
        )
        replica.writer = unframed.write
        ask = functools.partial(
            world.session.post,
            f'http://{replica.address}/look/x',
            headers={
                'X-Request-Id': 'soak-1',
                'X-Deadline': '4000',
                'X-Expect-Instance': TARGET,
            },
            data=SAID,
        )
        async with ask() as resp:
            assert not is_whole(await resp.read(), LOOK)
        with pytest.raises(aiohttp.ClientConnectorError):
            await ask()
        await until(lambda: replica.born == 2)


# Guards against a target that is back at once, by the start that follows an
# earlier end of it: nothing could tell its end from that of a whole answer.
@pytest.mark.parametrize('is_reset', [True, False])
async def test_a_target_that_ends_again_stays_away_for_its_time(
    tmp_path: Path, is_reset: bool
) -> None:
    async with open_agency(tmp_path) as world:
        replica = await world.add_replica(TARGET, service='ledger')
        first = asyncio.create_task(world.crash(TARGET, 0.2, is_reset=is_reset))
        await asyncio.sleep(0.1)
        second = asyncio.create_task(
            world.crash(TARGET, 0.5, is_reset=is_reset)
        )
        await first
        with pytest.raises(aiohttp.ClientConnectorError):
            await world.session.get(f'http://{replica.address}/v1/report')
        await second
        async with world.session.get(
            f'http://{replica.address}/v1/report'
        ) as resp:
            assert (await resp.json())['born'] == 3
