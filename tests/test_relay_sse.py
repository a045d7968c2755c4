"""Tests of counting a stream's events."""

import pytest
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


# Guards against a whole stream that is taken for a broken one, a resume at a
# wrong token, and bytes behind the closing event that reach the caller.
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
@pytest.mark.parametrize('rest', [b'', b': bye\n\n', b'data: x\n\n'])
@pytest.mark.parametrize(
    'start', [b'', b'\xef\xbb\xbf', b': ping\n\nid: 7\n\n']
)
def test_lines_end_as_the_format_has_it(
    start: bytes, rest: bytes, line_end: bytes
) -> None:
    text = b'%sdata:1\n: c\ndata\n\ndata: [DONE]\n\n' % start
    sent = text.replace(b'\n', line_end)
    for cut in range(len(sent) - 1):
        counter = EventCounter()
        passed = counter.feed(sent[:cut]) + counter.feed(sent[cut:] + rest)
        assert (passed, counter.tokens, counter.is_done) == (sent, 1, True)


# Guards against a run whose first bytes are joined to what the one before left,
# and against a mark that makes its first event unreadable.
@pytest.mark.parametrize('left', [b'', b': pi', b'data: 2\r', b'da', b'\r'])
@pytest.mark.parametrize('mark', [b'', b'\xef\xbb\xbf'])
def test_a_run_begins_anew(left: bytes, mark: bytes) -> None:
    counter = EventCounter()
    counter.feed(b'data: 1\n\n%s' % left)
    counter.begin_run()
    assert not counter.feed(b'%sdata: 2\n' % mark)
    assert counter.feed(b'\n') == b'data: 2\n\n'
    assert counter.tokens == 2


@settings(derandomize=True, deadline=None, database=None)
@given(st.integers(0, len(STREAM) - 1))
def test_a_stream_that_breaks_passes_whole_events_only(cut: int) -> None:
    counter = EventCounter()
    passed = counter.feed(STREAM[:cut])
    assert passed.count(b'\n\n') == counter.tokens
    assert not passed or passed.endswith(b'\n\n')
    assert not counter.is_done
    counter.begin_run()
    rest = b'data: again\n\n'
    assert counter.feed(rest) == rest
