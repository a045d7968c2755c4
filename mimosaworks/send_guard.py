"""Checks a request once more when its connection is ready to be used."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
import attrs


@attrs.define
class SendGuard:
    """Travels with one attempt; the trace below calls it.

    check raises an error when the request must not be sent any more.
    is_sending is set when bytes may begin to leave.
    """

    check: Callable[[], None]
    is_sending: bool = False

    def begin_sending(self) -> None:
        """Check, then note that bytes may leave from now on."""
        self.forbid_repeat()
        self.check()
        self.is_sending = True

    def forbid_repeat(self) -> None:
        """Raise ServerDisconnectedError if the request was sent before.

        aiohttp repeats requests without a body where a kept connection is
        closed. The target may have run the first of them, or crashed.
        """
        if self.is_sending:
            raise aiohttp.ServerDisconnectedError(
                'the connection was closed after the request was sent'
            )


async def _on_connecting(
    _session: aiohttp.ClientSession, context: SimpleNamespace, _event: Any
) -> None:
    guard = context.trace_request_ctx
    if guard is not None:
        guard.forbid_repeat()


async def _on_connected(
    _session: aiohttp.ClientSession, context: SimpleNamespace, _event: Any
) -> None:
    guard = context.trace_request_ctx
    if guard is not None:
        guard.begin_sending()


def guard_trace() -> aiohttp.TraceConfig:
    """Return a trace that calls the SendGuard of each request.

    The hooks run after a connection was made or taken from the pool and
    before the first byte of the request is written, so a process that was
    paused while it connected checks its view again. No connection is made
    for a request that was sent already.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_on_connecting)
    trace.on_connection_create_end.append(_on_connected)
    trace.on_connection_reuseconn.append(_on_connected)
    return trace
