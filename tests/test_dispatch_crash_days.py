"""Simulated days with a request that crashes targets, by kind of fault."""

import random
import types

import pytest

from tests.crash_day import REFUSAL_DELAY_S, CrashDay, DayFaults

DAY_S = 170.0
SEEDS = 8
# One less than the three that are allowed.
MAX_LATE_SENDS = 2
# Times without a holder that last as long as the longest election.
ELECTION_SPANS = tuple(
    (begin_s + 0.1, begin_s + 2.6) for begin_s in range(0, 170, 7)
)
FAULTS_BY_NAME = types.MappingProxyType({
    'calm': DayFaults(),
    'holder lost': DayFaults(killed_nodes='holder'),
    'all lost': DayFaults(killed_nodes='all'),
    'failures': DayFaults(failure_share=0.4),
    'callers leave': DayFaults(caller_timeout_s=0.03),
    'dark targets': DayFaults(keeps_connections=True),
    'late entries': DayFaults(entry_delay_s=(2.0, 9.0), store_lag_s=3.0),
    'silent store': DayFaults(store_outages=((5.0, 12.0), (40.0, 46.0))),
    'slow store': DayFaults(write_s=0.6, killed_nodes='holder'),
    'nodes alone': DayFaults(no_holder_spans=ELECTION_SPANS),
    'much at once': DayFaults(
        failure_share=0.2,
        caller_timeout_s=0.03,
        entry_delay_s=(2.0, 9.0),
        store_lag_s=3.0,
        write_s=0.3,
        store_outages=((20.0, 26.0),),
        killed_nodes='holder',
    ),
    'callers leave, nodes alone': DayFaults(
        caller_timeout_s=0.03, no_holder_spans=ELECTION_SPANS
    ),
})


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('fault_name', FAULTS_BY_NAME)
def test_a_crashing_request_is_contained_all_day(
    fault_name: str, seed: int
) -> None:
    day = CrashDay(FAULTS_BY_NAME[fault_name], random.Random(seed))  # noqa: S311
    day.play(DAY_S)
    assert len(day.crash_times_s) >= 3
    assert len(day.find_late_sends()) <= MAX_LATE_SENDS
    # Another request at the same targets is served until the end.
    assert day.sound_served_times_s[-1] > DAY_S - REFUSAL_DELAY_S
