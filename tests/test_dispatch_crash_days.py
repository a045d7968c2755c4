"""Whole days of a crashing content, each with one kind of trouble."""

import random
import types

import pytest

from tests.crash_day import CONTACT_S, CrashDay, Trouble

DAY_S = 170.0
SEEDS = 8
MOST_LATE = 2  # of the three that are allowed
# Without a holder for as long as an election takes at most.
ELECTIONS = tuple(
    (begin_s + 0.1, begin_s + 2.6) for begin_s in range(0, 170, 7)
)
TROUBLES = types.MappingProxyType({
    'calm': Trouble(),
    'holder lost': Trouble(lost='holder'),
    'all lost': Trouble(lost='all'),
    'failures': Trouble(failure_share=0.4),
    'callers leave': Trouble(leave_s=0.03),
    'dark targets': Trouble(is_dark=True),
    'late entries': Trouble(shown_s=(2.0, 9.0), stale_s=3.0),
    'silent store': Trouble(silent=((5.0, 12.0), (40.0, 46.0))),
    'slow store': Trouble(write_s=0.6, lost='holder'),
    'nodes alone': Trouble(alone=ELECTIONS),
    'much at once': Trouble(
        failure_share=0.2,
        leave_s=0.03,
        shown_s=(2.0, 9.0),
        stale_s=3.0,
        write_s=0.3,
        silent=((20.0, 26.0),),
        lost='holder',
    ),
    'callers leave, nodes alone': Trouble(leave_s=0.03, alone=ELECTIONS),
})


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('trouble', TROUBLES)
def test_a_crashing_content_is_sent_seldom_all_day(
    trouble: str, seed: int
) -> None:
    day = CrashDay(TROUBLES[trouble], random.Random(seed))  # noqa: S311
    day.play(DAY_S)
    assert len(day.ended_s) >= 3
    assert len(day.late()) <= MOST_LATE
    # Another content at the same targets is served to the end.
    assert day.served_s[-1] > DAY_S - CONTACT_S
