"""Targets that send more than their answers, at real nodes."""

import asyncio
import collections
import itertools
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

import attrs
import pytest

from mimosaworks.node.frontend import REFUSED_RETRY_DELAY_S
from standins.agency.extra import Extra
from standins.agency.replica import FIRST_S
from standins.agency.world import AgencyWorld, open_agency
from tests.test_node_processes import until_served

LEDGERS = 4
NODES = 2
REQUESTS = 150
AT_ONCE = 10
LATE_S = 0.03
OWN = b'plain answer'
PROMISES = frozenset((408, 421, 429, 503))  # the request has not run
KINDS = ('named', 'bare', 'rejection', 'denial', 'garbage')
ONCE = '/post'
REPEATABLE = '/look'


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        for number in range(LEDGERS):
            await opened.add_replica(f'ledger-{number}', service='ledger')
        for number in range(NODES):
            await opened.add_node(f'node-{number}')
        for node in opened.nodes:
            await until_served(opened, node)
        yield opened


@attrs.define(eq=False)
class Seen:
    """What callers got: statuses by request, and bytes that aren't theirs."""

    statuses: dict[str, int] = attrs.field(factory=dict)
    foreign: list[bytes] = attrs.field(factory=list)

    def count(self, status: int) -> int:
        """Return the answers with a status."""
        return list(self.statuses.values()).count(status)

    def promised(self) -> set[str]:
        """Return the requests whose callers were told that they had not run."""
        return {
            name for name, status in self.statuses.items() if status in PROMISES
        }


async def ask_all(world: AgencyWorld, path: str, method: str) -> Seen:
    """Send requests with different contents, some at once."""
    seen = Seen()
    places = asyncio.Semaphore(AT_ONCE)

    async def ask(number: int) -> None:
        body = b'' if method == 'GET' else f'{number}'.encode()
        node = world.nodes[number % NODES]
        async with (
            places,
            world.request(
                node, f'{path}/{number}', f'c-{number}', body, method=method
            ) as resp,
        ):
            got = await resp.read()
            seen.statuses[f'c-{number}'] = resp.status
            if resp.status == HTTPStatus.OK and got != OWN:
                seen.foreign.append(got)

    await asyncio.gather(*map(ask, range(REQUESTS)))
    return seen


def send_extra(world: AgencyWorld, kind: str, after_s: float) -> None:
    """Have all targets send more behind each answer."""
    for replica in world.replicas.values():
        replica.extra = Extra(kind, after_s)


def count_runs(world: AgencyWorld) -> collections.Counter[str]:
    """Return how often each of the callers' requests ran."""
    ran = itertools.chain.from_iterable(
        replica.runs for replica in world.replicas.values()
    )
    return collections.Counter(name for name in ran if name.startswith('c-'))


def count_events(world: AgencyWorld, name: str) -> int:
    """Return how many lines of an event all nodes have written."""
    return sum(len(node.events(name)) for node in world.nodes)


# Guards against a late rejection or answer of another request, which had
# requests run twice, promised that they had not run, or went to callers.
@pytest.mark.parametrize('after_s', [0, LATE_S])
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('kind', KINDS)
async def test_extra_bytes_are_no_answer_to_a_request(
    world: AgencyWorld, kind: str, method: str, after_s: float
) -> None:
    send_extra(world, kind, after_s)
    seen = await ask_all(world, ONCE, method)
    runs = count_runs(world)
    assert not seen.foreign
    assert max(runs.values()) == 1
    assert not seen.promised() & runs.keys()
    if kind == 'named' or not after_s:
        assert seen.count(HTTPStatus.OK) == REQUESTS
    assert seen.count(HTTPStatus.OK) > REQUESTS / 2


# Guards against sound contents that are refused since targets sent answers of
# other requests, each of which was counted as an end of the target.
@pytest.mark.parametrize('kind', KINDS)
async def test_an_extra_answer_is_no_end_of_its_target(
    world: AgencyWorld, kind: str
) -> None:
    send_extra(world, kind, LATE_S)
    await ask_all(world, REPEATABLE, 'POST')
    assert count_events(world, 'target_end_seen') == 0
    assert count_events(world, 'content_suspected') == 0


# Guards against a late copy of the rejection of a request's first send that is
# taken for the answer to its second send: the caller was told "not run".
async def test_a_late_copy_of_its_own_rejection_is_not_believed(
    world: AgencyWorld,
) -> None:
    for replica in world.replicas.values():
        replica.reject_twice_s = REFUSED_RETRY_DELAY_S + FIRST_S / 2
    seen = await ask_all(world, ONCE, 'POST')
    runs = count_runs(world)
    assert max(runs.values()) == 1
    assert not seen.promised() & runs.keys()
    assert count_events(world, 'target_end_seen') == 0
