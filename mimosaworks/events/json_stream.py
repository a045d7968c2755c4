"""Writes events as JSON lines from a thread of its own."""

import contextlib
import json
import math
import queue
import threading
from collections.abc import Generator, Mapping
from typing import IO

import attrs

from mimosaworks.events.event import Event

QUEUED_LINES = 2000  # about 600 KB; more are dropped and counted
FLUSH_S = 0.3  # longest wait for the reader of the pipe at a stop
LINES_PER_S = 100  # of one event; see FAILURE_LINES_PER_S
FAILURE_LINES_PER_S = 300  # of an event that tells of a failure
DROPPED = 'dropped'
MS_PER_S = 1000


@attrs.define
class _Window:
    """Lines of one event in the present second.

    dropped_before counts those that were left out in the last one.
    """

    second: int = 0
    written: int = 0
    dropped: int = 0
    dropped_before: int = 0

    def begin(self, second: int) -> bool:
        """Follow the time; tell whether lines were left out before."""
        if second == self.second:
            return False
        self.dropped_before = self.dropped
        self.second = second
        self.written = 0
        self.dropped = 0
        return bool(self.dropped_before)


@attrs.define(eq=False)
class JsonStream:
    """Takes lines without ever waiting for the reader of the output.

    dropped counts the lines that were left out since the start.
    """

    output: IO[str]
    failures: frozenset[Event] = frozenset()
    dropped: int = 0
    _lines: 'queue.Queue[str | None]' = attrs.field(
        factory=lambda: queue.Queue(QUEUED_LINES)
    )
    _windows: dict[Event, _Window] = attrs.field(factory=dict)

    def write(
        self, event: Event, fields: Mapping[str, object], now: float
    ) -> None:
        """Queue one line; now is Unix time in seconds."""
        window = self._windows.setdefault(event, _Window())
        line: dict[str, object] = {
            # Not rounded up into the next second, whose lines it bounds.
            't': math.floor(now * MS_PER_S) / MS_PER_S,
            'e': event.value,
            'event': event.name.lower(),
        }
        if window.begin(int(now)):
            line[DROPPED] = window.dropped_before
        is_failure = event in self.failures
        limit = FAILURE_LINES_PER_S if is_failure else LINES_PER_S
        if window.written >= limit:
            self._drop(window)
            return
        window.written += 1
        line.update(fields)
        try:
            self._lines.put_nowait(_render(line))
        except queue.Full:
            self._drop(window)

    def run(self) -> None:
        """Write queued lines until stop is called; runs in a thread."""
        line = self._lines.get()
        while line is not None:
            self._write_line(line)
            line = self._lines.get()
        self._write_line('')

    def stop(self) -> None:
        """Let the thread end after the lines that are queued."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)

    def _write_line(self, line: str) -> None:
        """Write a line; an empty one only flushes those before it."""
        try:
            self._write_batch(line)
        except (OSError, ValueError):
            # The reader of the output has gone: nobody can be told.
            self.dropped += 1

    def _write_batch(self, line: str) -> None:
        if line:
            self.output.write(f'{line}\n')
        if not line or self._lines.empty():
            self.output.flush()

    def _drop(self, window: _Window) -> None:
        window.dropped += 1
        self.dropped += 1


@contextlib.contextmanager
def open_json_stream(
    output: IO[str], failures: frozenset[Event]
) -> Generator[JsonStream, None, None]:
    """Yield a stream; the lines that are queued at the end are written."""
    stream = JsonStream(output, failures)
    thread = threading.Thread(target=stream.run, daemon=True)
    thread.start()
    try:
        yield stream
    finally:
        stream.stop()
        thread.join(FLUSH_S)


def _render(line: Mapping[str, object]) -> str:
    rounded = {
        name: round(field, 4) if isinstance(field, float) else field
        for name, field in line.items()
    }
    return json.dumps(rounded, default=str, separators=(',', ':'))
