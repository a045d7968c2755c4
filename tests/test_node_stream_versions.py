"""Streams go on only at the software version that began them."""

import types
from collections.abc import AsyncIterator, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import pytest

from mimosaworks.dispatch import Assignment, PlainPool, Refusal
from mimosaworks.node.attempt_error import AttemptError
from mimosaworks.node.standalone_chooser import StandaloneChooser
from mimosaworks.node.stream_versions import check_version
from standins.agency.replica import EVENTS
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.dispatch_world import make_entry, make_job, make_pool
from tests.test_node_local_choice import choose, make_ask
from tests.test_node_processes import until_served

WHOLE_EVENTS = 2
PIECE = b'data: piece'
OLD = 'v1'
NEW = 'v1.1'


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def open_fleet(
    world: AgencyWorld, versions: Mapping[str, Any], nodes: int = 1
) -> list[NodeHandle]:
    """Start targets of these versions and nodes; engine-1 has the model."""
    await world.add_replica('ledger-1', service='ledger', slots=6)
    for name, version in versions.items():
        model = 'alpha' if name == 'engine-1' else 'beta'
        await world.add_replica(name, models={model: set()}, version=version)
    started = [
        await world.add_node(f'node-{number}') for number in range(nodes)
    ]
    for node in started:
        await until_served(world, node)
    return started


async def read_pieces(
    world: AgencyWorld, node: NodeHandle, request_id: str, **extra: str
) -> tuple[int, int]:
    """Return the status and the number of pieces that a caller gets."""
    received = bytearray()
    status = 0
    async with world.request(
        node,
        '/draft/x',
        request_id,
        X_Model='alpha',
        X_Token_Counts='1000,20',
        **extra,
    ) as resp:
        status = resp.status
        try:
            async for chunk in resp.content.iter_any():
                received.extend(chunk)
        except aiohttp.ClientError:
            assert received.count(PIECE) < EVENTS
    return status, received.count(PIECE)


def ran(world: AgencyWorld, request_id: str) -> list[str]:
    """Return the names of the targets that ran a request."""
    return [
        name
        for name, replica in world.replicas.items()
        if request_id in replica.runs
    ]


# Guards against a stream that another software version of the service resumes
# within one answer, and against one that breaks off though its own one serves.
@pytest.mark.parametrize(
    ('others', 'resumed_at'),
    [
        ({'engine-2': NEW}, []),
        ({'engine-2': ''}, []),
        ({'engine-2': 7}, []),
        ({'engine-2': NEW, 'engine-3': OLD}, ['engine-3']),
    ],
)
async def test_a_broken_stream_is_resumed_at_its_own_version_only(
    world: AgencyWorld, others: dict[str, Any], resumed_at: list[str]
) -> None:
    nodes = await open_fleet(world, {'engine-1': OLD, **others})
    world.replicas['engine-1'].breaks_after = WHOLE_EVENTS
    _, pieces = await read_pieces(world, nodes[0], 'broken')
    assert ran(world, 'broken') == ['engine-1', *resumed_at]
    expected = EVENTS if resumed_at else WHOLE_EVENTS
    assert pieces == expected


# Guards against a stream that is resumed though nobody knows what began it.
async def test_a_stream_of_an_unknown_version_is_not_resumed(
    world: AgencyWorld,
) -> None:
    nodes = await open_fleet(world, {'engine-1': '', 'engine-2': ''})
    world.replicas['engine-1'].breaks_after = WHOLE_EVENTS
    _, pieces = await read_pieces(world, nodes[0], 'broken')
    assert pieces == WHOLE_EVENTS
    assert ran(world, 'broken') == ['engine-1']


# Guards against a choice of another version by the holder, for a request that
# waits and loses its target, for one of a plain service, and standalone.
def test_requests_for_a_version_are_assigned_to_its_targets_only() -> None:
    old = make_entry('t1', 'm0', software_version=OLD)
    new = make_entry('t2', 'm0', software_version=NEW)
    unknown = make_entry('t3', 'm0')
    pool = make_pool(old, new, unknown)
    decided = pool.submit(make_job('m0', software_version=OLD), 0)
    assert isinstance(decided, Assignment)
    assert (decided.target, decided.software_version) == ('t1', OLD)
    waiting = make_job('m5', software_version=OLD)
    assert pool.submit(waiting, 0) is None
    assert waiting.target == 't1'
    displaced = pool.apply_entries([new, unknown], 1)
    assert displaced == [waiting]
    pool.remove_job(waiting)
    assert isinstance(pool.submit(waiting, 1), Refusal)

    plain = PlainPool()
    plain.apply_entries((old, new, unknown), 0)
    decided = plain.submit(make_job(software_version=NEW), 0)
    assert isinstance(decided, Assignment)
    assert decided.target == 't2'
    assert isinstance(plain.submit(make_job(software_version='v2'), 0), Refusal)

    for version, target in ((OLD, 't1'), (NEW, 't2')):
        call_ask = make_ask('m0', software_version=version)
        alone = choose(StandaloneChooser(), call_ask, old, new, unknown)
        assert isinstance(alone, Assignment)
        assert (alone.target, alone.software_version) == (target, version)
    call_ask = make_ask('m0', software_version='v2')
    alone = choose(StandaloneChooser(), call_ask, old, new, unknown)
    assert isinstance(alone, Refusal)


# Guards against a send to another version right before the first byte: the
# holder may run an earlier release, the target may have started anew.
@pytest.mark.parametrize(
    ('begun', 'assigned', 'entry', 'is_sent'),
    [
        (None, OLD, NEW, True),
        (OLD, OLD, OLD, True),
        (OLD, OLD, None, True),
        (OLD, '', OLD, False),
        (OLD, NEW, OLD, False),
        (OLD, OLD, NEW, False),
        (OLD, OLD, '', False),
        ('', '', '', False),
    ],
)
def test_the_last_check_compares_the_version(
    begun: str | None, assigned: str, entry: str | None, is_sent: bool
) -> None:
    call: Any = types.SimpleNamespace(stream_version=begun)
    assignment = Assignment('t1', 't1:1', 5, software_version=assigned)
    targets = {}
    if entry is not None:
        targets['t1'] = attrs.evolve(make_entry('t1'), software_version=entry)
    if is_sent:
        check_version(call, assignment, targets)
        return
    with pytest.raises(AttemptError, match='software version') as caught:
        check_version(call, assignment, targets)
    assert caught.value.is_not_run
