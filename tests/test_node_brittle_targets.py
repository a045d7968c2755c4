"""Targets that crash when they turn away too many requests in a second."""

import asyncio
import itertools
import math
import types
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path
from typing import Any

import pytest
from multidict import CIMultiDict

from mimosaworks.dispatch import (
    Assignment,
    CallOutcome,
    Dispatcher,
    EnginePool,
    Job,
    PlainPool,
    Refusal,
    ResendBudgetConfig,
    ResendBudgets,
)
from mimosaworks.node.brittle_targets import BrittleTargets
from mimosaworks.node.dispatcher_setup import make_dispatcher
from mimosaworks.node.limit_monitor import LimitMonitor
from mimosaworks.node.limit_view import LimitView
from mimosaworks.node.standalone_shares import share_of_rejections
from mimosaworks.platform.headers import BRITTLE
from mimosaworks.wire import Beat, BrittleNote, LimitRow, NodeRow
from standins.agency.world import AgencyWorld, NodeHandle, open_agency
from tests.dispatch_world import (
    finish_steps,
    make_assignment_req,
    make_engine_cfg,
    make_entry,
    make_job,
    make_pool,
)
from tests.test_node_processes import holder_of, open_pair, read_stream, until

WINDOW_S = 1.0
MAX_TURNED_AWAY = 5
ROOM = 3
BURST = 40
EVENT_S = 0.1


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[AgencyWorld]:
    async with open_agency(tmp_path) as opened:
        yield opened


async def send_burst(
    world: AgencyWorld, *nodes: NodeHandle, name: str
) -> list[int]:
    """Send many requests for a model at once; return their statuses."""
    asked = [
        read_stream(world, node, '/chat/a', f'{name}-{number}', 'alpha')
        for number, node in zip(
            range(BURST), itertools.cycle(nodes), strict=False
        )
    ]
    return [status for status, _ in await asyncio.gather(*asked)]


def most_in_a_second(times_s: list[float]) -> int:
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


# Guards against nodes that go on sending to a full target which crashes when it
# has to turn too many requests away: from two nodes, and over a new holder that
# decides before it has heard of any node.
async def test_a_brittle_target_turns_few_requests_away(
    world: AgencyWorld,
) -> None:
    nodes = await open_pair(world)
    target = world.replicas['engine-1']
    target.event_s = EVENT_S
    target.brittle = MAX_TURNED_AWAY
    for node in nodes:
        status, _ = await read_stream(world, node, '/chat/a', 'warm', 'alpha')
        assert status == 200
    target.room = ROOM
    await until(lambda: bool(nodes[0].events('target_brittle')))
    statuses = await send_burst(world, *nodes, name='first')
    assert 200 in statuses
    await holder_of(*nodes).process.kill()
    left = nodes[int(nodes[1].process.is_running())]
    await until(lambda: holder_of(*nodes) is left)
    statuses = await send_burst(world, left, name='next')
    assert 200 in statuses
    assert most_in_a_second(target.turned_away_s) <= MAX_TURNED_AWAY


def make_dispatcher_of(pool: EnginePool | PlainPool) -> Dispatcher:
    return Dispatcher(
        ResendBudgets(ResendBudgetConfig(0.2, 50, 10)),
        rejection_limits=pool.rejection_limits,
        pools={'engines': pool},
    )


def report(dispatcher: Dispatcher, now: float, *notes: BrittleNote) -> None:
    """Report what targets said to the holder."""
    row = NodeRow('node-1', 'front:1', 'peer:1', 'north')
    heartbeat = Beat(row=row, fence=1, brittle=notes)
    LimitMonitor().record_announcements(dispatcher, heartbeat, now)


def submit_many(
    pool: EnginePool | PlainPool, model: str = '', now: float = 0
) -> tuple[list[Job], list[Job]]:
    """Submit a burst; return the jobs that were granted and those that wait."""
    granted: list[Job] = []
    waiting: list[Job] = []
    for _ in range(BURST):
        job = make_job(model, now=now)
        decision = pool.submit(job, now)
        if isinstance(decision, Assignment):
            granted.append(job)
        elif decision is None:
            waiting.append(job)
    return granted, waiting


def note(target: str, **fields: Any) -> BrittleNote:
    fields = {'is_brittle': True, 'most_per_s': MAX_TURNED_AWAY, **fields}
    return BrittleNote(target, **fields)


# Guards against more requests at once than a brittle target may turn away: the
# others wait until answers have begun, not at the target.
def test_few_requests_at_a_brittle_target_have_not_begun() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    report(make_dispatcher_of(pool), 0, note('t1'))
    granted, waiting = submit_many(pool, 'm0')
    assert 0 < len(granted) <= MAX_TURNED_AWAY / 2
    assert len(waiting) > len(granted)
    assert not pool.grant_waiting_jobs(0.05)
    for job in granted:
        pool.record_first_event(job, 0.1)
    assert len(pool.grant_waiting_jobs(0.1)) == len(granted)


# Guards against the burst of requests for which a brittle target has loaded a
# model: they were queued before it said that it is brittle.
def test_few_requests_begin_when_a_brittle_target_has_loaded_a_model() -> None:
    pool = make_pool(make_entry('t1'))
    _, waiting = submit_many(pool, 'm0')
    assert len(waiting) > MAX_TURNED_AWAY
    report(make_dispatcher_of(pool), 0, note('t1'))
    granted = finish_steps(pool, pool.targets['t1'], 0.5)
    assert 0 < len(granted) <= MAX_TURNED_AWAY / 2


# Guards against plain services, whose answers tell no first event: requests
# that were not turned away for a while don't count.
def test_few_requests_at_a_brittle_plain_target_are_new() -> None:
    pool = PlainPool()
    pool.apply_entries([make_entry('t1', service='ledger', slots=BURST)], 0)
    report(make_dispatcher_of(pool), 0, note('t1'))
    granted, waiting = submit_many(pool)
    assert 0 < len(granted) <= MAX_TURNED_AWAY / 2
    assert waiting
    assert not pool.grant_waiting_jobs(1.5)
    assert len(pool.grant_waiting_jobs(2.5)) == len(granted)


# Guards against a note that is lost as the new holder has not read the entries
# yet, and against a burst at a target that has not answered anybody: it is as
# brittle as the others of its service, until an answer says otherwise.
def test_a_target_is_as_brittle_as_others_of_its_service() -> None:
    pool = make_pool()
    dispatcher = make_dispatcher_of(pool)
    report(dispatcher, 0, note('t1'))
    entries = {name: make_entry(name, 'm0') for name in ('t1', 't2')}
    dispatcher.apply_entries(entries, 0)
    limits = dispatcher.rejection_limits
    assert limits.limits_by_target() == dict.fromkeys(entries, MAX_TURNED_AWAY)
    dispatcher.apply_entries(
        {**entries, 't3': make_entry('t3', service='ledger')}, 1
    )
    assert not limits.is_brittle('t3')


# Guards against the burst that a new holder grants before it has heard of any
# node: it knows what its own node was told by the last holder.
def test_a_new_holder_knows_brittle_targets_at_once() -> None:
    rows = {'t1': LimitRow('t1', math.inf, True, MAX_TURNED_AWAY)}
    dispatcher = make_dispatcher(
        ResendBudgets(ResendBudgetConfig(0.2, 50, 10)),
        LimitView(limit_rows=rows),
        BrittleTargets(list_rows=lambda: rows),
        0,
        is_informed=True,
    )
    pool = EnginePool(
        make_engine_cfg(), rejection_limits=dispatcher.rejection_limits
    )
    dispatcher.pools['engines'] = pool
    dispatcher.apply_entries({'t1': make_entry('t1', 'm0')}, 0)
    granted, _ = submit_many(pool, 'm0')
    assert 0 < len(granted) <= MAX_TURNED_AWAY / 2


# Guards against a burst after a loss of all nodes, when none knows the brittle
# targets: few are sent until the first answer, which may tell it.
@pytest.mark.parametrize('tells', [False, True])
def test_few_requests_are_sent_to_a_target_that_nobody_knows(
    tells: bool,
) -> None:
    dispatcher = make_dispatcher(
        ResendBudgets(ResendBudgetConfig(0.2, 50, 10)),
        LimitView(),
        BrittleTargets(),
        0,
        is_informed=False,
    )
    pool = PlainPool(rejection_limits=dispatcher.rejection_limits)
    pool.apply_entries([make_entry('t1', service='ledger', slots=BURST)], 0)
    dispatcher.pools['ledger'] = pool
    requests = [make_assignment_req() for _ in range(BURST)]
    decided = [dispatcher.submit(req, 0) for req in requests]
    granted = sum(isinstance(one, Assignment) for one in decided)
    assert 0 < granted <= MAX_TURNED_AWAY / 2
    if tells:
        report(dispatcher, 0.1, note('t1'))
    later = dispatcher.record_outcome(
        requests[0].call_id, CallOutcome.ANSWERED, 0.1, 0.1
    )
    expected = 1 if tells else BURST - granted
    assert len(later) == expected


# Guards against a new holder that waits for answers to requests, though its own
# reports have told it that a target is sound.
def test_a_report_shows_that_a_target_is_not_brittle() -> None:
    known = BrittleTargets()
    dispatcher = make_dispatcher(
        ResendBudgets(ResendBudgetConfig(0.2, 50, 10)),
        LimitView(),
        known,
        0,
        is_informed=False,
    )
    limits = dispatcher.rejection_limits
    assert limits.is_bounded('t1')
    known.read_other_headers('t1', CIMultiDict())
    assert not limits.is_bounded('t1')
    known.read_other_headers('t1', CIMultiDict({BRITTLE: '5'}))
    assert limits.is_bounded('t1')


# Guards against an old answer, which overtook that of a target that is brittle
# by now, and against a target that stays limited when it no longer is.
def test_only_an_answer_to_a_newer_request_ends_it() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    dispatcher = make_dispatcher_of(pool)
    calls = []
    for sent_s in (1, 3):
        req = make_assignment_req('m0', deadline_s=sent_s + 10)
        assert isinstance(dispatcher.submit(req, sent_s), Assignment)
        calls.append(req.call_id)
    limits = dispatcher.rejection_limits
    report(dispatcher, 2, note('t1'))
    for call, is_brittle in zip(calls, (True, False), strict=True):
        ended = note('t1', is_brittle=False, most_per_s=0, call=call)
        report(dispatcher, 4, ended)
        assert limits.is_brittle('t1') is is_brittle


# Guards against answers that end the pause of a full target: those of earlier
# requests come while it has no room.
def test_a_full_target_gets_nothing_for_a_second() -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    dispatcher = make_dispatcher_of(pool)
    earlier = make_assignment_req('m0')
    assert isinstance(dispatcher.submit(earlier, 4.5), Assignment)
    report(dispatcher, 5, note('t1', is_full=True))
    dispatcher.record_outcome(earlier.call_id, CallOutcome.ANSWERED, 0.6, 5.1)
    assert isinstance(pool.submit(make_job('m0', now=5.9), 5.9), Refusal)
    assert isinstance(pool.submit(make_job('m0', now=6), 6), Assignment)


# Guards against standalone nodes that each send a few: together they must keep
# to a part of what a target may turn away.
@pytest.mark.parametrize('most_per_s', [1, 5, 40, 1000])
@pytest.mark.parametrize('node_count', [1, 2, 7, 195])
def test_standalone_nodes_share_a_brittle_target(
    most_per_s: int, node_count: int
) -> None:
    names = [f'node-{number}' for number in range(node_count)]
    for target in ('t1', 't2', 't3'):
        shares = [
            share_of_rejections(most_per_s, target, name, names, node_count)
            for name in names
        ]
        assert 0 < sum(shares) <= max(most_per_s / 4, 1)


def read_head(known: BrittleTargets, sent: str, status: int = 200) -> None:
    """Read the head of an answer of t1 to a call with the id 'c'."""
    call = types.SimpleNamespace(call_ask=types.SimpleNamespace(call='c'))
    headers = CIMultiDict({BRITTLE: sent} if sent else {})
    resp = types.SimpleNamespace(headers=headers, status=status)
    known.read_response_head(call, 't1', resp)  # type: ignore[arg-type]


# Guards against a target that stays limited after the node that saw it say that
# it is brittle has ended: any node that sees it say no more reports that.
def test_each_node_knows_what_one_has_seen() -> None:
    rows = {'t1': LimitRow('t1', math.inf, True, MAX_TURNED_AWAY)}
    told: list[BrittleNote] = []
    known = BrittleTargets(on_note=told.append, list_rows=lambda: rows)
    assert known.make_notes() == (note('t1'),)
    read_head(known, f'{MAX_TURNED_AWAY}')
    read_head(known, '', HTTPStatus.MISDIRECTED_REQUEST)
    assert not told
    read_head(known, '')
    assert told == [BrittleNote('t1', is_brittle=False, call='c')]
    assert not known.known_limits()
    # The holder compares the answers: what it says holds once it has the note.
    row = NodeRow('node-1', 'front:1', 'peer:1', 'north')
    known.apply_reply(Beat(row=row, fence=1, brittle=tuple(told)))
    assert known.most_per_s('t1') == MAX_TURNED_AWAY


# Guards against a report and a log line for each answer while the holder runs a
# release that keeps no brittle targets.
def test_a_node_remembers_what_its_holder_does_not_keep() -> None:
    told: list[BrittleNote] = []
    known = BrittleTargets(on_note=told.append)
    row = NodeRow('node-1', 'front:1', 'peer:1', 'north')
    for _ in range(2):
        read_head(known, f'{MAX_TURNED_AWAY}')
        known.apply_reply(Beat(row=row, fence=1, brittle=tuple(told)))
    assert len(told) == 1
    read_head(known, '')
    known.apply_reply(Beat(row=row, fence=1, brittle=tuple(told)))
    assert not known.known_limits()
    assert len(told) == 2


def test_reports_tell_only_that_a_target_is_brittle() -> None:
    told: list[BrittleNote] = []
    known = BrittleTargets(on_note=told.append)
    known.read_other_headers('t1', CIMultiDict({BRITTLE: '5'}))
    known.read_other_headers('t1', CIMultiDict())
    assert told == [note('t1')]
    assert known.most_per_s('t1') == MAX_TURNED_AWAY
