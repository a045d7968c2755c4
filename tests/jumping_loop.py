"""An event loop whose time jumps from timer to timer."""

import asyncio
import selectors
import time

import pytest


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Lets the time of the loop jump to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.passed_s: float = 0

    def select(self, timeout: float | None = None) -> 'object':
        """Wait for nothing."""
        self.passed_s += timeout or 0
        return super().select(0)


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits."""

    def __init__(self) -> None:
        self.jumping_selector = _JumpingSelector()
        super().__init__(self.jumping_selector)

    def time(self) -> float:
        """Return the seconds that have passed, by the timers."""
        return 1 + self.jumping_selector.passed_s


def loop_now_s() -> float:
    """Return the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()


def use_loop_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the processes' clock follow the running loop."""
    monkeypatch.setattr(time, 'clock_gettime', lambda _clock: loop_now_s())
