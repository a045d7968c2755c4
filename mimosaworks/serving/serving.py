"""Serves aiohttp applications and waits for a planned stop."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import ClientSession, web

from mimosaworks.bounded_answers import AnswerBounds, BoundedConnector
from mimosaworks.bounded_heads import BoundedAppRunner
from mimosaworks.events import Event, log_event

SHUTDOWN_TIMEOUT_S = 10.0
PROMPT_SHUTDOWN_S = 0.05  # of a server whose requests were seen to their end


async def serve_app(
    app: web.Application,
    address: str,
    stack: contextlib.AsyncExitStack,
    *,
    cancels_on_hang_up: bool = False,
    shutdown_s: float = SHUTDOWN_TIMEOUT_S,
    **server_options: Any,
) -> web.AppRunner:
    """Serve an application at host:port until the stack is closed.

    cancels_on_hang_up cancels a handler when its caller disconnects.
    shutdown_s (above 0) bounds the wait for handlers; connections that are left
    then are aborted. server_options are those of BoundedAppRunner.
    """
    runner = BoundedAppRunner(
        app,
        access_log=None,
        shutdown_timeout=shutdown_s,
        handler_cancellation=cancels_on_hang_up,
        **server_options,
    )
    await runner.setup()
    stack.push_async_callback(_close, runner, shutdown_s)
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def open_session(stack: contextlib.AsyncExitStack) -> ClientSession:
    """Return a session with bounded answers that tells whole from lost ones."""
    connector = BoundedConnector(AnswerBounds().answer_bytes)
    session = ClientSession(connector=connector)
    return await stack.enter_async_context(session)


async def _close(runner: web.AppRunner, timeout_s: float) -> None:
    # aiohttp gives handlers this time twice: as they are, and once more when
    # they are cancelled. It doesn't wait for those without a connection.
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeout_s, _abort, runner)
    with contextlib.ExitStack() as stack:
        stack.callback(timer.cancel)
        await runner.cleanup()


def _abort(runner: web.AppRunner) -> None:
    connections = runner.server.connections if runner.server else ()
    log_event(Event.CONNECTIONS_ABORTED, count=len(connections))
    for conn in connections:
        if conn.transport is not None:
            conn.transport.abort()


def stop_event(
    on_hangup: Callable[[], None] | None = None,
) -> asyncio.Event:
    """Return an event that SIGTERM, SIGINT and SIGHUP set.

    A program that reads its settings again on SIGHUP gives on_hangup, which
    is called instead. A SIGHUP that was blocked until now is handled.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, on_hangup or stopping.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    return stopping


def start_task(
    work: Coroutine[Any, Any, None], stack: contextlib.AsyncExitStack
) -> None:
    """Run a task until the stack is closed; its failure ends the process.

    A task that fails takes what it owned with it, so the process stops
    instead of going on without it.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(_stop_on_failure)
    stack.push_async_callback(_cancel, task)


def _stop_on_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        signal.raise_signal(signal.SIGTERM)


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
