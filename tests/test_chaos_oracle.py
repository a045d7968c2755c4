"""Each promise's check tells a record that breaks it from one that doesn't."""

import json
import math
import types
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
import pytest

from bench.chaos_ask import ChaosAsk
from bench.chaos_call import ChaosCall
from bench.chaos_keys import ChaosKeys
from bench.chaos_oracle import PROMISES, violations
from bench.chaos_plan import ROUTERS
from bench.chaos_record import ChaosRecord
from bench.chaos_system import ENGINE_BYTES, ChaosSystem
from bench.chaos_unit import ChaosUnit
from bench.chaos_watch import ChaosWatch, SeenRun
from mimosaworks.entities import Catalogue
from mimosaworks.members.member_id import MemberId
from standins.engine.tokens import expected_token

STATS = types.MappingProxyType({
    'peak_bytes': 0,
    'overcommits': 0,
    'history': (),
})
POST = ChaosAsk('c1', 0, 0, 'narrow', 'narrow', 4)
CHAT = attrs.evolve(
    POST, model='model-0', max_tokens=2, is_stream=True, workspace='wide'
)
MEMBER = MemberId('127.0.0.1:1', 'boot')
READY = ((0, 'reserved', 'model-1'), (1, 'ready', 'model-1'))


def make_record(*calls: ChaosCall) -> ChaosRecord:
    """Return a record of these calls in which nothing else happened."""
    system = ChaosSystem(mock.Mock(), ChaosWatch(mock.Mock(), Path()))
    names = [f'router{rank}' for rank in range(ROUTERS)]
    names += ['engine0', 'engine1', 'engine2']
    for name in names:
        system.units[name] = ChaosUnit(name, mock.Mock(), mock.Mock())
    keys = ChaosKeys('', {'narrow': 'secret'})
    return ChaosRecord(1, list(calls), [], system, keys, {}, Catalogue())


def call(ask: ChaosAsk, body: str = '', **told: Any) -> ChaosCall:
    """Return a call that was answered after a second."""
    headers = {'X-Request-Id': 'r1', **told.pop('headers', {})}
    told = {'status': 200, 'first_s': 11, **told}
    return ChaosCall(ask, 10, 11, headers=headers, body=body.encode(), **told)


def run(record: ChaosRecord, *ids: str, at_s: float = 10.5) -> ChaosRecord:
    """Return the record with runs of these request ids."""
    record.system.watch.runs.extend(SeenRun(at_s, 's', one) for one in ids)
    return record


def answer(ask: ChaosAsk) -> str:
    return f'{{"sha256": "{ask.digest()}", "request_id": "r1"}}'


def stream(*ranks: int, end: str = 'data: [DONE]\n') -> str:
    return '\n'.join([*map(chunk, ranks), end])


def chunk(rank: int) -> str:
    text = expected_token(CHAT.model, '', CHAT.prompt, rank)
    choice = {'delta': {'content': text}}
    fields = json.dumps({'id': 'r1', 'choices': [choice]})
    return f'data: {fields}'


def refused(code: str) -> ChaosCall:
    body = f'{{"error": {{"code": "{code}"}}}}'
    return call(POST, body, status=503, headers={'Mimosa-Run': 'not-run'})


def with_watch(**fields: Any) -> ChaosRecord:
    record = make_record()
    for name, content in fields.items():
        setattr(record.system.watch, name, content)
    return record


def with_keys(record: ChaosRecord, **fields: Any) -> ChaosRecord:
    return attrs.evolve(record, keys=attrs.evolve(record.keys, **fields))


def costly(tokens: int) -> ChaosRecord:
    ask = attrs.evolve(CHAT, workspace='narrow', max_tokens=tokens)
    body = '{"error": {"code": "deadline_exceeded"}}'
    return run(make_record(call(ask, body, status=504)), 'r1')


OK_POST = call(POST, answer(POST))
OTHER_CLAIM = attrs.evolve(POST, name='c2', claim='claim')
CLAIMED = attrs.evolve(POST, claim='claim')
TWICE = (
    call(CLAIMED, answer(CLAIMED)),
    call(
        OTHER_CLAIM,
        answer(OTHER_CLAIM),
        headers={'X-Request-Id': 'r2', 'Idempotency-Replayed': 'true'},
    ),
)
STRAY = (('engine0', 2.0, {**STATS, 'history': READY}),)
HELD = (
    make_record(),
    run(make_record(OK_POST), 'r1'),
    make_record(refused('rate_exceeded')),
    make_record(call(CHAT, stream(0, 1))),
    make_record(call(CHAT, stream(0, end='data: {"error": {}}\n'))),
    run(make_record(*TWICE), 'r1'),
    costly(100),
    with_watch(boots=STRAY, intents=[(0.5, 0.9, {('engine0', 'model-1')})]),
    with_watch(boots=STRAY, intents=[(1.5, 2.1, set())]),
    with_watch(boots=STRAY, versions=[(MEMBER, 1), (MEMBER, 2)]),
)
BROKEN = (
    (0, run(make_record(OK_POST), 'r1', 'r1')),
    (0, run(make_record(*TWICE), 'r1', 'r2')),
    (1, run(make_record(refused('rate_exceeded')), 'r1')),
    (2, make_record(call(POST, answer(POST), first_s=16.5))),
    (2, make_record(call(POST, status=0, fault='cut'))),
    (3, make_record(refused('unknown_route'))),
    (4, make_record(call(POST, answer(CLAIMED)))),
    (4, make_record(call(CHAT, stream(0, 0, 1)))),
    (4, make_record(call(CHAT, stream(0)))),
    (4, make_record(call(CHAT, stream(0, 1, end='')))),
    (5, with_watch(records={'r1': {'headers': {'X': 'secret'}}})),
    (6, with_keys(run(make_record(OK_POST), 'r1'), withdrawn={'narrow': 9})),
    (7, costly(200)),
    (8, with_watch(boots=[('engine0', 2.0, {**STATS, 'overcommits': 1})])),
    (
        8,
        with_watch(boots=[('e', 2, {**STATS, 'peak_bytes': ENGINE_BYTES + 1})]),
    ),
    (9, with_watch(boots=[*STRAY, ('engine1', 2.0, STRAY[0][2])])),
    (13, with_watch(boots=STRAY, intents=[(0.5, 0.9, set())])),
    (10, with_watch(versions=[(MEMBER, 2), (MEMBER, 1)])),
    (11, with_keys(make_record(), added={'lost'})),
    (12, attrs.evolve(make_record(), recovered_s={'router0': math.inf})),
)


@pytest.mark.parametrize('record', HELD)
def test_a_record_that_keeps_all_promises_passes(record: ChaosRecord) -> None:
    assert not violations(record)


@pytest.mark.parametrize(('rank', 'record'), BROKEN)
def test_a_record_that_breaks_a_promise_is_found(
    rank: int, record: ChaosRecord
) -> None:
    promise = list(PROMISES)[rank]
    assert {one.partition(':')[0] for one in violations(record)} == {promise}
