"""What is logged of models' weights and of their loads."""

from typing import Any

import pytest

from mimosaworks.dispatch.store_load_scheduler import REGISTRATION_SETTLE_S
from mimosaworks.events import Event
from mimosaworks.node import weights_monitor as module
from mimosaworks.node.weights_monitor import (
    WEIGHTS_CHECK_INTERVAL_S,
    WeightsMonitor,
    log_store_load_end,
    log_store_load_start,
)
from tests.dispatch_world import make_entry, make_job, make_pool

Line = tuple[Event, dict[str, Any]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[Line]:
    written: list[Line] = []
    monkeypatch.setattr(
        module,
        'log_event',
        lambda event, **facts: written.append((event, facts)),
    )
    return written


def test_a_last_copy_is_logged_as_it_goes_and_as_it_returns(
    lines: list[Line],
) -> None:
    pool = make_pool(
        make_entry('t1', 'm0', on_disk=('m0', 'm1')),
        make_entry('t2', on_disk=('m0',)),
    )
    watch = WeightsMonitor()
    watch.log_changes(
        {'engines': pool}, REGISTRATION_SETTLE_S + WEIGHTS_CHECK_INTERVAL_S
    )
    (event, facts) = lines.pop()
    assert event is Event.WEIGHTS_COUNTED
    assert facts['absent'] == sorted(f'm{one}' for one in range(2, 12))
    pool.apply_entries(
        (
            make_entry('t1', 'm0', on_disk=('m0', 'm5')),
            make_entry('t2', on_disk=()),
        ),
        1,
    )
    watch.log_changes(
        {'engines': pool}, REGISTRATION_SETTLE_S + 2 * WEIGHTS_CHECK_INTERVAL_S
    )
    assert [event for event, _ in lines] == [
        Event.WEIGHTS_FOUND,
        Event.WEIGHTS_LOST,
    ]
    _, lost = lines[-1]
    assert (lost['model'], lost['cause']) == ('m1', 'evicted')
    assert (lost['target'], lost['added']) == ('t1', ['m5'])
    pool.apply_entries((make_entry('t2', on_disk=()),), 2)
    watch.log_changes(
        {'engines': pool}, REGISTRATION_SETTLE_S + 3 * WEIGHTS_CHECK_INTERVAL_S
    )
    assert {facts['cause'] for _, facts in lines[2:]} == {'target_gone'}
    assert [facts['model'] for _, facts in lines[2:]] == ['m0', 'm5']


def test_nothing_is_counted_before_the_first_target(lines: list[Line]) -> None:
    pool = make_pool()
    watch = WeightsMonitor()
    watch.log_changes(
        {'engines': pool}, REGISTRATION_SETTLE_S + WEIGHTS_CHECK_INTERVAL_S
    )
    assert not lines


def test_looks_closer_together_write_nothing(lines: list[Line]) -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=('m0',)))
    watch = WeightsMonitor()
    watch.log_changes(
        {'engines': pool}, REGISTRATION_SETTLE_S + WEIGHTS_CHECK_INTERVAL_S
    )
    pool.apply_entries((make_entry('t1', on_disk=('m1',)),), 1)
    watch.log_changes(
        {'engines': pool},
        REGISTRATION_SETTLE_S + WEIGHTS_CHECK_INTERVAL_S * 1.5,
    )
    assert len(lines) == 1


def test_a_wanted_model_that_is_not_loaded_shows_while_there_is_room(
    lines: list[Line],
) -> None:
    pool = make_pool(make_entry('t1', 'm0', on_disk=('m0',)))
    job = make_job('m5', first_event_deadline_s=1)
    pool.submit(job, 0)
    watch = WeightsMonitor()
    watch.log_changes(
        {'engines': pool}, REGISTRATION_SETTLE_S + WEIGHTS_CHECK_INTERVAL_S
    )
    event, facts = lines[-1]
    assert event is Event.STORE_LOAD_HELD_UP
    assert (facts['model'], facts['wanted'], facts['fitting']) == ('m5', 1, 1)


def test_a_load_from_the_weight_store_tells_copies_and_width(
    lines: list[Line],
) -> None:
    pool = make_pool(
        make_entry('t1', on_disk=('m1',)), make_entry('t2', on_disk=('m1',))
    )
    target = pool.targets['t1']
    pool.store_loads.reserve_load(target, 0)
    log_store_load_start('engines', pool, target, 'm1')
    pool.store_loads.concurrency.complete_load('t1', 6, 6)
    log_store_load_end('engines', pool, target, 'm1', is_done=True)
    (_, begun), (_, ended) = lines
    assert (begun['copies'], begun['at_once']) == (2, 1)
    assert (ended['at_once'], ended['is_done']) == (0, True)
