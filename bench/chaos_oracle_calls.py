"""Promises to callers, checked on the record of a chaos run."""

import json
from collections import Counter
from collections.abc import Iterator
from http import HTTPStatus

from bench.chaos_call import ChaosCall
from bench.chaos_plan import WORKSPACES
from bench.chaos_record import ChaosRecord
from standins.engine.tokens import expected_text, expected_token

LATE_S = 2.0
DONE = '[DONE]'
UNKNOWN = frozenset(('unknown_route', 'unknown_model', 'no_target'))


def runs_once(record: ChaosRecord) -> Iterator[str]:
    """Yield service calls and claims that ran more than once."""
    runs = record.runs_by_call()
    by_claim: Counter[str] = Counter()
    for call in record.calls:
        ask = call.ask
        by_claim[ask.claim] += runs[ask.name]
        count = runs[ask.name]
        if not ask.model and count > 1:
            yield f'service call {ask.name} ran {count} times'
    for claim, count in by_claim.items():
        if claim and count > 1:
            yield f'{claim} ran {count} times'


def not_run_is_true(record: ChaosRecord) -> Iterator[str]:
    """Yield calls that ran and were told not to have run."""
    runs = record.runs_by_call()
    for call in record.calls:
        if call.run == 'not-run' and runs[call.ask.name]:
            yield f'{call.label()} ran, yet was told not-run'


def answers_in_time(record: ChaosRecord) -> Iterator[str]:
    """Yield calls without an answer by the deadline and LATE_S.

    The answer's header counts, since a stream may go on after it. Time that
    the call's router was paused is added: it can't answer then. A connection
    error is an answer only when that router was killed.
    """
    for call in record.calls:
        router = record.system.routers()[call.ask.router]
        who = call.label()
        if call.fault and not router.was_down(call.sent_s, call.ended_s):
            yield f'{who}: {router.name} lived'
        at_s = call.first_s or call.ended_s
        late_s = at_s - call.sent_s - call.ask.deadline_s
        late_s -= router.paused_s(call.sent_s, at_s)
        if late_s > LATE_S:
            yield f'{who}: came {late_s:.2f} s late'


def refusals_are_true(record: ChaosRecord) -> Iterator[str]:
    """Yield calls that were refused by a configuration never in force.

    Routes, models and the workspaces' own keys were there all the time.
    """
    for call in record.calls:
        has_key = call.ask.key_name in WORKSPACES
        code = call.code()
        if code in UNKNOWN or (has_key and code == 'unauthenticated'):
            yield f'{call.label()}: this was never so'


def answers_are_own(record: ChaosRecord) -> Iterator[str]:
    """Yield answers that hold other bytes than the request's own."""
    for call in record.calls:
        problem = _problem(call) if call.is_ok else ''
        if problem:
            yield f'{call.label()}: {problem}'


def keys_stay_here(record: ChaosRecord) -> Iterator[str]:
    """Yield the names of keys that a target saw."""
    seen = record.system.watch.seen_text()
    for name, secret in record.keys.secrets.items():
        if secret in seen:
            yield f'a target saw key {name}'


def withdrawn_keys_rest(record: ChaosRecord) -> Iterator[str]:
    """Yield calls that ran with a key whose withdrawal was in force."""
    runs = record.runs_by_call()
    for call in record.calls:
        ask = call.ask
        gone_s = record.keys.withdrawn.get(ask.key_name)
        if gone_s is None or call.sent_s <= gone_s:
            continue
        if runs[ask.name] or call.status == HTTPStatus.OK:
            late_s = call.sent_s - gone_s
            yield f'{ask.name} ran {late_s:.2f} s after {ask.key_name} ended'


def _problem(call: ChaosCall) -> str:
    if not call.ask.model:
        return _post_problem(call)
    if call.ask.is_stream:
        return _stream_problem(call)
    return _chat_problem(call)


def _post_problem(call: ChaosCall) -> str:
    told = call.fields()
    if told['sha256'] != call.ask.digest():
        return 'the answer is for another body'
    if told['request_id'] != call.request_id and not call.is_replayed:
        return 'the answer is for another request id'
    return ''


def _chat_problem(call: ChaosCall) -> str:
    ask = call.ask
    told = call.fields()
    text = told['choices'][0]['message']['content']
    if text != expected_text(ask.model, '', ask.prompt, ask.max_tokens):
        return 'the answer is another text'
    if told['id'] != call.request_id:
        return 'the answer is for another request id'
    return ''


def _stream_problem(call: ChaosCall) -> str:
    ask = call.ask
    events = call.events()
    if not events:
        return 'the stream is empty'
    last = events.pop()
    for rank, event in enumerate(events):
        chunk = json.loads(event)
        text = chunk['choices'][0]['delta']['content']
        if text != expected_token(ask.model, '', ask.prompt, rank):
            return f'token {rank} is wrong, twice or left out'
        if chunk['id'] != call.request_id:
            return 'a token is for another request id'
    if last == DONE:
        is_whole = len(events) == ask.max_tokens
        return '' if is_whole else f'the stream ended after {len(events)}'
    is_error = 'error' in json.loads(last)
    return '' if is_error else 'the stream has no end'
