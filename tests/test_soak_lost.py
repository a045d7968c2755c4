"""The soak tells lost requests from those that a stop may cut."""

import types
from typing import Any

import pytest

from bench.soak_load import Seen, Sent
from bench.soak_lost import broken_stops
from bench.soak_spans import STORE, SoakSpans, Span, Stop

NODE = ('node-1', 7)
TERM_S = 100.0
GRACE_S = 8.0
GONE_S = TERM_S + 7.5
LATE_S = TERM_S + 3.5  # sent later than 3 s after SIGTERM
EARLY_S = TERM_S + 2.5
LAST_S = TERM_S + 7.0  # in the last sixth of the grace
NAME = 'caller-1'
ADMITTED = f'{{"event":"call_admitted","request_id":"{NAME}","route":"chat"}}'


def find(
    at_s: float,
    ended_s: float,
    *spans: Span,
    log: str = '',
    was_killed: bool = False,
    **changes: Any,
) -> list[str]:
    """Return what is found where one request is cut.

    changes may name its status, its limit_s, when it was written and whether
    a target has it.
    """
    births = {NAME: 1} if changes.get('has_arrived', True) else {}
    target = types.SimpleNamespace(name='engine', births=births)
    process = types.SimpleNamespace(read_log=lambda: log)
    world: Any = types.SimpleNamespace(
        bounds={'grace-s': GRACE_S},
        replicas={'engine': target},
        runner=types.SimpleNamespace(started=[process]),
        crashed_s=[],
        crashed_by=[],
        crash_down_s=1.0,
    )
    status = changes.get('status', 0)
    load: Any = types.SimpleNamespace(
        seen=[
            Seen(
                NAME,
                '/chat/',
                status,
                written_s=changes.get('written_s', 0),
                ended_s=ended_s,
            )
        ],
        sent={NAME: Sent(NODE, at_s, changes.get('limit_s', 12.0))},
    )
    stops = [Stop(NODE, TERM_S, GONE_S, was_killed)]
    return list(broken_stops(world, load, SoakSpans(list(spans), stops)))


@pytest.mark.parametrize(
    ('at_s', 'ended_s'),
    [
        (LATE_S, LAST_S),
        (EARLY_S, TERM_S + 5),  # before the last sixth of the grace
        (TERM_S - 1, TERM_S + 1),
    ],
)
def test_a_request_that_a_stop_cuts_is_lost(
    at_s: float, ended_s: float
) -> None:
    assert len(find(at_s, ended_s)) == 1


def test_an_early_request_may_be_cut_at_the_end_of_the_grace() -> None:
    assert not find(EARLY_S, LAST_S)


def test_a_request_that_was_answered_is_not_lost() -> None:
    assert not find(LATE_S, LAST_S, status=503)


def test_a_request_that_crosses_a_close_is_not_lost() -> None:
    assert not find(LATE_S, LAST_S, has_arrived=False)


@pytest.mark.parametrize(('took_s', 'lost'), [(0.1, 0), (0.5, 1)])
def test_a_request_that_was_read_is_lost_after_a_moment(
    took_s: float, lost: int
) -> None:
    found = find(LATE_S, LATE_S + took_s, log=ADMITTED, has_arrived=False)
    assert len(found) == lost


@pytest.mark.parametrize(('waited_s', 'lost'), [(0.1, 0), (0.3, 1)])
def test_that_moment_begins_with_its_last_byte(
    waited_s: float, lost: int
) -> None:
    ended_s = LATE_S + 0.5
    found = find(
        LATE_S,
        ended_s,
        log=ADMITTED,
        has_arrived=False,
        written_s=ended_s - waited_s,
    )
    assert len(found) == lost


def test_a_request_whose_time_is_over_is_not_lost() -> None:
    assert not find(TERM_S - 1, TERM_S + 1, limit_s=2.0)


@pytest.mark.parametrize(
    ('span', 'lost'),
    [
        (Span('node-1', LATE_S - 2.9, LATE_S - 2.8), 0),
        (Span('node-1', LATE_S - 3.5, LATE_S - 3.1), 1),
        (Span('node-1', TERM_S, GONE_S, is_planned=True), 1),
        (Span('node-2', TERM_S, GONE_S), 1),
        (Span(STORE, LATE_S, LATE_S + 0.1), 1),
        (Span('engine', LATE_S, LATE_S + 0.1), 0),
        (Span('engine', LATE_S - 1, LATE_S - 0.1), 1),
        (Span('ledger', TERM_S, GONE_S), 1),
    ],
)
def test_only_faults_of_its_node_or_target_excuse_a_loss(
    span: Span, lost: int
) -> None:
    assert len(find(LATE_S, LAST_S, span)) == lost


@pytest.mark.parametrize(
    ('spans', 'broken'),
    [
        ([], 1),
        ([Span('node-1', TERM_S + 1, TERM_S + 2)], 0),
        ([Span('node-2', TERM_S + 1, TERM_S + 2)], 1),
    ],
)
def test_a_node_ends_within_its_grace_unless_it_was_disturbed(
    spans: list[Span], broken: int
) -> None:
    found = find(LATE_S, LAST_S, *spans, status=200, was_killed=True)
    assert len(found) == broken
