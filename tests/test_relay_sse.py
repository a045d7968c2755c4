"""Tests of counting a stream's events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosaworks.relay.sse import EventCounter

STREAM = b''.join(b'data: {"index": %d}\n\n' % index for index in range(9)) + (
    b'data: [DONE]\n\n'
)


@settings(derandomize=True, deadline=None, database=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_the_bytes_and_the_count_do_not_depend_on_the_chunks(
    cuts: list[int],
) -> None:
    counter = EventCounter()
    edges = [0, *sorted(cuts), len(STREAM)]
    passed = b''.join(
        counter.feed(STREAM[start:end])
        for start, end in zip(edges, edges[1:], strict=False)
    )
    assert passed == STREAM
    assert counter.tokens == 9
    assert counter.is_done


@settings(derandomize=True, deadline=None, database=None)
@given(st.integers(0, len(STREAM) - 1))
def test_a_stream_that_breaks_passes_whole_events_only(cut: int) -> None:
    counter = EventCounter()
    passed = counter.feed(STREAM[:cut])
    assert passed.count(b'\n\n') == counter.tokens
    assert not passed or passed.endswith(b'\n\n')
    assert not counter.is_done
    counter.drop_rest()
    rest = b'data: again\n\n'
    assert counter.feed(rest) == rest
