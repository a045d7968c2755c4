"""Tests of running a tool that has child processes."""

import asyncio
import contextlib
import os
import signal

import pytest

from standins.running import run_tool


def test_sigterm_cancels_the_tool_so_that_it_cleans_up() -> None:
    cleaned: list[bool] = []

    async def tool() -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(cleaned.append, True)
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(60)

    with pytest.raises(asyncio.CancelledError):
        run_tool(tool())
    assert cleaned
