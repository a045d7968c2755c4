"""Pauses between renewals, and such that are cut short."""

import asyncio

import pytest

from mimosaworks.node.interruptible_sleep import InterruptibleSleep

LEAST_S = 0.02
LONGEST_S = 1.0


async def pause_s(pause: InterruptibleSleep) -> float:
    """Return how long a pause takes."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    await pause.sleep(LONGEST_S)
    return loop.time() - begun_s


async def test_a_pause_ends_in_its_time() -> None:
    assert await pause_s(InterruptibleSleep(LEAST_S)) >= LONGEST_S


# Guards against an end that the store hears of with the next renewal only: the
# holder may be lost before it.
@pytest.mark.parametrize('wait_s', [0, LEAST_S * 2])
async def test_a_pause_is_cut_short_once(wait_s: float) -> None:
    pause = InterruptibleSleep(LEAST_S)
    asyncio.get_running_loop().call_later(wait_s, pause.wake)
    assert LEAST_S <= await pause_s(pause) < LONGEST_S
    assert await pause_s(pause) >= LONGEST_S
