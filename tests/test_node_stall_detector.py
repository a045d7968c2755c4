"""When requests may have arrived that are read after a pause."""

import asyncio
from typing import cast

import pytest

from mimosaworks.node.stall_detector import (
    STALL_THRESHOLD_S,
    StallDetector,
)
from tests.jumping_loop import JumpingLoop, loop_now_s, use_loop_time

PAUSE_S = 1.2
HELD_S = 0.1  # too short for a stall
HOLDS = 5
READ_S = 0.005
IDLE_S = 1.0


def _pass_time(seconds: float) -> None:
    """Let time pass in which the process does not run."""
    loop = cast('JumpingLoop', asyncio.get_running_loop())
    loop.jumping_selector.passed_s += seconds


async def _play_pause(holds: int) -> tuple[float, list[float], bool]:
    """Pause a process, which is then held up again and again for a while.

    Returns the time of the pause, the earliest arrivals of requests that are
    read behind it, and whether one that is read later counts from then.
    """
    detector = StallDetector()
    checks = asyncio.create_task(detector.run_checks())
    await asyncio.sleep(IDLE_S)
    paused_s = loop_now_s()
    _pass_time(PAUSE_S)
    arrivals = [detector.earliest_arrival_s()]
    for _ in range(holds):
        _pass_time(HELD_S)
        await asyncio.sleep(READ_S)
        arrivals.append(detector.earliest_arrival_s())
    await asyncio.sleep(STALL_THRESHOLD_S)
    is_over = detector.earliest_arrival_s() == loop_now_s()
    checks.cancel()
    return paused_s, arrivals, is_over


# Guards against a request whose time was over in a pause and which runs, as the
# process had little processor time behind the pause and read it late.
@pytest.mark.parametrize('holds', [0, HOLDS])
def test_requests_that_waited_in_a_pause_count_from_it(
    holds: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_loop_time(monkeypatch)
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        paused_s, arrivals, is_over = runner.run(_play_pause(holds))
    assert max(arrivals) <= paused_s
    assert is_over
