"""Runs a tool that starts child processes."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

Result = TypeVar('Result')


def run_tool(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine; SIGTERM cancels it, so that its children are stopped.

    Without this, a tool that is ended leaves the processes that it started.
    """
    return uvloop.run(_cancelled_by_term(work))


async def _cancelled_by_term(work: Coroutine[Any, Any, Result]) -> Result:
    task = asyncio.create_task(work)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
