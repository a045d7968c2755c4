"""Serves one stand-in's application until it is told to stop."""

import asyncio
import signal
from collections.abc import Awaitable
from contextlib import AsyncExitStack

import click
import uvloop
from absl import logging
from aiohttp import web

MAX_BODY_BYTES = 67_108_864
STOP_TIMEOUT_S = 1.0


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of HOST:PORT; raises click.UsageError."""
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise click.UsageError(f'{address!r} is not HOST:PORT')
    return host, int(port)


async def serve_app(
    stack: AsyncExitStack, app: web.Application, address: str
) -> None:
    """Serve an application at HOST:PORT until the stack closes.

    A handler whose client hangs up is cancelled.
    """
    host, port = split_address(address)
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=STOP_TIMEOUT_S,
    )
    stack.push_async_callback(runner.cleanup)
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()


async def wait_for_stop(name: str, address: str) -> None:
    """Log that the stand-in runs, and return on SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    logging.info('%s listens on %s', name, address)
    await stopped.wait()


async def serve_until_stopped(
    app: web.Application, name: str, address: str
) -> None:
    """Serve an application at HOST:PORT until SIGTERM or SIGINT."""
    async with AsyncExitStack() as stack:
        await serve_app(stack, app, address)
        await wait_for_stop(name, address)


def run(program: Awaitable[None]) -> None:
    """Run a stand-in's main coroutine on uvloop, with its log on stderr."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    uvloop.run(_completed(program))


async def _completed(program: Awaitable[None]) -> None:
    await program
