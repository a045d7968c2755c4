"""The log's writer: limits a second, and readers that are slow or gone."""

import contextlib
import io
import json
import os
import time

from mimosaworks.events import Event, open_json_stream
from mimosaworks.events.json_stream import (
    FAILURE_LINES_PER_S,
    LINES_PER_S,
    QUEUED_LINES,
)

NOW = 1000.0


def test_a_line_is_json_with_number_name_and_fields() -> None:
    output = io.StringIO()
    with open_json_stream(output, frozenset()) as stream:
        stream.write(Event.CALL_SENT, {'target': 't1', 'left_s': 0.12345}, NOW)
    line = json.loads(output.getvalue())
    assert line == {
        't': NOW,
        'e': Event.CALL_SENT.value,
        'event': 'call_sent',
        'target': 't1',
        'left_s': 0.1235,
    }


def test_lines_of_an_event_are_bounded_and_the_rest_is_counted() -> None:
    output = io.StringIO()
    sent = 10 * LINES_PER_S
    with open_json_stream(output, frozenset()) as stream:
        for number in range(sent):
            stream.write(Event.CALL_SENT, {'number': number}, NOW)
        stream.write(Event.CALL_SENT, {'number': sent}, NOW + 1)
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    assert len(lines) == LINES_PER_S + 1
    assert lines[-1]['dropped'] == sent - LINES_PER_S
    assert stream.dropped == sent - LINES_PER_S


def test_failures_keep_more_lines_than_successes() -> None:
    output = io.StringIO()
    failures = frozenset((Event.CALL_REFUSED,))
    with open_json_stream(output, failures) as stream:
        for _ in range(10 * FAILURE_LINES_PER_S):
            stream.write(Event.CALL_REFUSED, {}, NOW)
            stream.write(Event.CALL_SENT, {}, NOW)
    written = output.getvalue()
    assert written.count('call_refused') == FAILURE_LINES_PER_S
    assert written.count('call_sent') == LINES_PER_S


def test_a_pipe_that_nobody_reads_delays_no_writer() -> None:
    reader, writer = os.pipe()
    begun_s = time.monotonic()
    output = os.fdopen(writer, 'w')
    with open_json_stream(output, frozenset()) as stream:
        for number in range(20 * QUEUED_LINES):
            stream.write(
                Event.CALL_SENT, {'text': 'x' * 200}, NOW + number // 100
            )
        taken_s = time.monotonic() - begun_s
        dropped = stream.dropped
    # The thread that waits for the pipe ends once nobody can read it; what
    # is buffered then can't be written when the output is closed.
    os.close(reader)
    with contextlib.suppress(BrokenPipeError):
        output.close()
    assert dropped > 10 * QUEUED_LINES
    assert taken_s < 10


def test_a_reader_that_has_gone_ends_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    output = os.fdopen(writer, 'w')
    with open_json_stream(output, frozenset()) as stream:
        stream.write(Event.CALL_SENT, {}, NOW)
        stream.write(Event.CALL_SENT, {}, NOW)
    assert stream.dropped >= 1
