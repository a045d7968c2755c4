"""Writes events as JSON lines from a thread of its own."""

import contextlib
import json
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


@attrs.define
class _Window:
    """Lines of one event in the present second."""

    second: int = 0
    written: int = 0
    dropped: int = 0


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
        skipped = 0
        if int(now) != window.second:
            skipped = window.dropped
            window.second = int(now)
            window.written = 0
            window.dropped = 0
        limit = (
            FAILURE_LINES_PER_S if event in self.failures else LINES_PER_S
        )
        if window.written >= limit:
            self._drop(window)
            return
        window.written += 1
        line = {'t': round(now, 3), 'e': event.value, 'event': _name(event)}
        if skipped:
            line[DROPPED] = skipped
        try:
            self._lines.put_nowait(_render({**line, **fields}))
        except queue.Full:
            self._drop(window)

    def run(self) -> None:
        """Write queued lines until stop is called; runs in a thread."""
        while True:  # noqa: WPS457 -- ends with the mark that stop queues
            line = self._lines.get()
            if line is None:
                return
            try:
                self._write_batch(line)
            except (OSError, ValueError):
                # The reader of the output has gone: nobody to tell.
                self.dropped += 1

    def stop(self) -> None:
        """Let the thread end after the lines that are queued."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)

    def _write_batch(self, line: str) -> None:
        self.output.write(f'{line}\n')
        if self._lines.empty():
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


def _name(event: Event) -> str:
    return event.name.lower()


def _render(line: Mapping[str, object]) -> str:
    rounded = {
        name: round(field, 4) if isinstance(field, float) else field
        for name, field in line.items()
    }
    return json.dumps(rounded, default=str, separators=(',', ':'))
