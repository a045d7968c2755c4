"""Ends of answers that callers read slowly."""

import asyncio
from typing import Any

import attrs
import pytest

from mimosaworks.errors import ErrorKind, RequestError
from mimosaworks.node.event_buffer import PlainBuffer
from mimosaworks.node.relayed_stream import RelayedStream
from mimosaworks.relay.attempt_error import CallerGoneError
from mimosaworks.relay.caller_stream import CallerStream

SHORT_S = 0.02


@attrs.define(eq=False)
class SlowAnswer:
    """An answer whose caller does not read its end."""

    prepared: bool = True
    written: list[bytes] = attrs.field(factory=list)

    async def write(self, chunk: bytes) -> None:
        self.written.append(chunk)

    async def write_eof(self) -> None:
        self.written.append(b'end')
        await asyncio.Event().wait()


@attrs.define(eq=False)
class Transport:
    """Notes whether it was aborted."""

    is_aborted: bool = False

    def abort(self) -> None:
        self.is_aborted = True


@attrs.define(eq=False)
class Caller:
    """A request with its connection."""

    transport: Transport = attrs.field(factory=Transport)


# Guards against a second answer behind a whole one: the time of a request whose
# caller reads slowly was over while the end was written.
async def test_an_end_that_is_not_written_is_no_end_of_the_answer() -> None:
    out: Any = SlowAnswer()
    passed = RelayedStream(out, PlainBuffer())
    req: Any = Caller()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(SHORT_S):
            await passed.finish(req)
    assert not passed.is_complete


# Guards against an error event behind the end of an answer, when a router's
# stop cuts a request whose caller reads slowly.
async def test_no_error_event_follows_the_end_of_an_answer() -> None:
    req: Any = Caller()
    out: Any = SlowAnswer()
    stream = CallerStream(req, 'r1', resp=out)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(SHORT_S):
            await stream.finish()
    with pytest.raises(CallerGoneError):
        async with asyncio.timeout(SHORT_S):
            await stream.finish_with_error(
                RequestError(ErrorKind.STOPPING, 'the router stops')
            )
    assert out.written == [b'end']
    assert req.transport.is_aborted
