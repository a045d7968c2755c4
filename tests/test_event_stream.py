"""Tests of finding the ends of events."""

import itertools
import re

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from mimosaworks.event_stream import EventCutter, EventScanner, split_events

PARTS = (
    b'id: 1',
    b'data: piece',
    b': ping',
    b':',
    b'\xef\xbb\xbf',
    b'\n',
    b'\n',
    b'\r\n',
    b'\r\n',
    b'\r',
)
LINE_END = re.compile(rb'\r\n|\r|\n')
streams = st.lists(st.sampled_from(PARTS), max_size=12).map(b''.join)


def is_inside_event(stream: bytes) -> bool:
    """Return the verdict on a whole stream that is split at its lines."""
    *ended, last = LINE_END.split(stream.removeprefix(b'\xef\xbb\xbf'))
    is_inside = False
    for line in ended:
        is_inside = is_inside if line.startswith(b':') else bool(line)
    return is_inside or (bool(last) and not last.startswith(b':'))


# Guards against a verdict that depends on how a stream was cut into chunks, and
# against line ends that are not known.
@settings(derandomize=True, deadline=None, database=None, max_examples=500)
@given(streams, st.lists(st.integers(0, 60), max_size=6))
@example(b'data: x\r\n\r\n', [8, 10])
@example(b'\xef\xbb\xbf: ping', [1, 2, 3])
@example(b': c\ry\n\n', [4, 5, 6])
def test_the_end_is_found_whatever_the_chunks_are(
    stream: bytes, cuts: list[int]
) -> None:
    scanner = EventScanner()
    edges = [0, *sorted(cuts), len(stream)]
    for start, end in zip(edges, edges[1:], strict=False):
        scanner.feed(stream[start:end])
        if start <= end <= len(stream):
            assert scanner.is_inside_event == is_inside_event(stream[:end])


# Guards against bytes that are lost, a part of an event that is passed on
# before the event has ended, and an event that waits for the next one.
@settings(derandomize=True, deadline=None, database=None, max_examples=500)
@given(streams, st.integers(0, 60))
def test_only_whole_events_are_passed_on(stream: bytes, cut: int) -> None:
    cutter = EventCutter()
    passed = cutter.feed(stream[:cut])
    assert not is_inside_event(passed)
    passed += cutter.feed(stream[cut:])
    assert not is_inside_event(passed)
    assert cutter.is_inside_event == is_inside_event(stream)
    contents = [event.content for event in split_events(passed)]
    assert b''.join(contents) == passed
    held = cutter.take_rest()
    assert b'' not in LINE_END.split(held)[:-1]
    assert passed + held == stream


# Guards against an event that waits for the next one.
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_an_event_is_passed_on_with_its_last_byte(line_end: bytes) -> None:
    cutter = EventCutter()
    event = line_end.join((b'id: 1', b'data: piece', b'', b''))
    for _ in range(3):
        assert cutter.feed(event[:-1]) in {b'', event[:-1]}
        cutter.feed(event[-1:])
        assert cutter.held == 0
    assert not cutter.is_inside_event


# Guards against a verdict that depends on how a stream was cut into chunks, and
# against comments and fields alone that count as an event.
@settings(derandomize=True, deadline=None, database=None, max_examples=500)
@given(streams, st.lists(st.integers(0, 60), max_size=6))
@example(b'\xef\xbb\xbfdata: x\r\n\r\n', [1, 4, 9, 11])
@example(b'id: 1\ndata: %s\ndat\n\n' % bytes(range(64, 99)), [9, 12, 40])
@example(b'id: 1\ndat: data\n\n', [11, 12])
def test_an_event_that_is_passed_on_is_found(
    stream: bytes, cuts: list[int]
) -> None:
    passing, cutting = EventCutter(), EventCutter()
    edges = [0, *sorted(cuts), len(stream)]
    for start, end in itertools.pairwise(edges):
        assert passing.pass_on(stream[start:end]) == stream[start:end]
    whole = cutting.feed(stream).removeprefix(b'\xef\xbb\xbf')
    has_data = any(event.has_data for event in split_events(whole))
    assert passing.has_passed_event == has_data
