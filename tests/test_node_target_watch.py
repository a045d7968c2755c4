"""Each target that is left out shows in the log, once."""

from typing import Any

import pytest

from mimosaworks.events import Event
from mimosaworks.node import target_monitor as module
from mimosaworks.node.target_monitor import TargetMonitor
from tests.dispatch_world import make_entry, make_pool

Line = tuple[Event, dict[str, Any]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[Line]:
    logged: list[Line] = []
    monkeypatch.setattr(
        module,
        'log_event',
        lambda event, **facts: logged.append((event, facts)),
    )
    return logged


def test_a_target_is_logged_as_it_is_left_out_and_as_it_returns(
    lines: list[Line],
) -> None:
    pool = make_pool(make_entry('t1', 'm0'), make_entry('t2', 'm0'))
    watch = TargetMonitor()
    watch.log_changes({'engines': pool}, 0)
    assert not lines
    pool.targets['t1'].health.record_unreachable(1)
    watch.log_changes({'engines': pool}, 1)
    watch.log_changes({'engines': pool}, 1.05)
    (event, facts) = lines.pop()
    assert not lines
    assert event is Event.TARGET_SUSPECTED
    assert facts['target'] == 't1'
    assert facts['for_s'] > 0
    watch.log_changes({'engines': pool}, 1 + facts['for_s'])
    assert lines == [(Event.TARGET_TRUSTED, {'target': 't1'})]


def test_a_model_that_makes_way_is_logged_once(
    lines: list[Line],
) -> None:
    pool = make_pool(make_entry('t1', 'm0'))
    closed = pool.targets['t1'].models['m0']
    closed.drain_for_model = 'm5'
    closed.drain_until_s = 3
    watch = TargetMonitor()
    for now in (1, 2, 4):
        watch.log_changes({'engines': pool}, now)
    facts = {'target': 't1', 'model': 'm0', 'wanted': 'm5'}
    assert lines == [(Event.MODEL_CLOSED, facts)]
