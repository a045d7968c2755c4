"""Tests of the place at which a stream is resumed."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosaworks.node.event_buffer import EventBuffer
from mimosaworks.node.stream_place import (
    MAX_ID_BYTES,
    MAX_UNNUMBERED_BYTES,
    OtherEventError,
    StreamPlace,
)

ASIDE = b'data: aside\n\n'
OTHER = b'data: other\n\n'
LONG = b'1' * 5000


def numbered(event_id: bytes) -> bytes:
    return b'id: %s\ndata: piece\n\n' % event_id


def begun(*event_ids: bytes, place: bytes = b'') -> EventBuffer:
    buffer = EventBuffer(True, StreamPlace(place))
    buffer.begin_run()
    for event_id in event_ids:
        assert buffer.feed(numbered(event_id)) == numbered(event_id)
    return buffer


# Guards against a target that starts a stream over instead of resuming it, and
# of which the caller has a part.
@pytest.mark.parametrize(
    ('before', 'again'),
    [
        ((b'1', b'2'), b'1'),
        ((b'1', b'2', b'3'), b'2'),
        ((b'9', b'10'), b'9'),
        ((b'a', b'b'), b'a'),
        ((b'a', b'b'), b'b'),
        ((b'2', LONG), b'3'),
        ((b'2', LONG), LONG),
    ],
)
def test_a_run_with_an_id_from_before_is_no_resumption(
    before: tuple[bytes, ...], again: bytes
) -> None:
    buffer = begun(*before)
    buffer.begin_run()
    assert buffer.feed(OTHER) == b''
    with pytest.raises(OtherEventError):
        buffer.feed(numbered(again))
    buffer.begin_run()
    next_id = b'2%s' % LONG
    assert buffer.feed(ASIDE + numbered(next_id)) == ASIDE + numbered(next_id)


# Guards against the same behind the place that the caller asked for, and a
# stream whose ids do not grow that is not resumed.
def test_ids_may_fall_unless_they_grew_before() -> None:
    buffer = begun(place=b'7')
    buffer.begin_run()
    assert buffer.feed(ASIDE) == ASIDE
    buffer.begin_run()
    with pytest.raises(OtherEventError):
        buffer.feed(numbered(b'1'))
    falling = begun(b'10', b'9')
    falling.begin_run()
    assert falling.feed(numbered(b'8')) == numbered(b'8')


# Guards against events without an id that are kept without bound, and a stream
# that is resumed though its place is not known or can't be sent.
def test_a_place_is_known_up_to_a_bound_behind_an_id() -> None:
    buffer = begun()
    assert buffer.can_resume
    buffer.feed(ASIDE)
    assert not buffer.can_resume
    buffer.feed(numbered(b'1'))
    assert (buffer.can_resume, buffer.last_event_id) == (True, '1')
    for _ in range(MAX_UNNUMBERED_BYTES // len(ASIDE)):
        buffer.feed(ASIDE)
    assert buffer.can_resume
    buffer.feed(ASIDE)
    assert not buffer.can_resume
    buffer.feed(numbered(b'2') + ASIDE)
    assert buffer.can_resume
    for unsendable in (b'a\x01b', b'\x7f', b'x' * (MAX_ID_BYTES + 1)):
        buffer.feed(numbered(unsendable))
        assert not buffer.can_resume


# Guards against an event behind a new id that is taken for a repeated one, and
# against a repeated one that comes twice, or is lost.
def test_only_events_behind_the_last_id_may_be_repeated() -> None:
    buffer = begun(b'1')
    buffer.feed(ASIDE * 2)
    buffer.begin_run()
    assert buffer.feed(ASIDE + numbered(b'1')[:-1]) == b''
    buffer.begin_run()
    rest = numbered(b'2') + ASIDE
    assert buffer.feed(ASIDE * 2) + buffer.feed(rest) == rest
    for behind in (ASIDE * 2, b'', OTHER):
        buffer.begin_run()
        assert buffer.feed(behind) == b''
        if behind is OTHER:
            with pytest.raises(OtherEventError):
                buffer.flush()
        else:
            assert buffer.flush() == behind.removeprefix(ASIDE)


PIECES = (ASIDE, OTHER, b': ping\n', b': ping\n\n', b'\n', numbered(b'5'))


# Guards against verdicts on repeated events that depend on chunks, line ends
# or comments, and against events that are lost or come twice.
@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(
    st.lists(st.sampled_from(PIECES[:-1]), max_size=4),
    st.lists(st.sampled_from(PIECES), max_size=4),
    st.lists(st.integers(0, 150), max_size=6),
    st.sampled_from((b'\n', b'\r\n', b'\r')),
    st.sampled_from((b'', b': ping\n')),
)
def test_repeated_events_come_once_whatever_their_bytes_are(
    asides: list[bytes],
    rest: list[bytes],
    cuts: list[int],
    line_end: bytes,
    comment: bytes,
) -> None:
    buffer = begun(b'1')
    released = [buffer.feed(b''.join(asides))]
    buffer.begin_run()
    repeated = comment.join((b'', *asides, *rest)).replace(b'\n', line_end)
    edges = [0, *sorted(cuts), len(repeated)]
    for start, end in itertools.pairwise(edges):
        released.append(buffer.feed(repeated[start:end]))
    released.append(buffer.flush())
    seen = b''.join(released).replace(b'\r\n', b'\n').replace(b'\r', b'\n')
    for event in (ASIDE, OTHER, numbered(b'5')):
        count = (*asides, *rest).count(event)
        assert seen.count(event[:-1]) == count


# Guards against a place that the caller's own would not be.
@pytest.mark.parametrize(
    ('event', 'place'),
    [
        (b'id: a\0b\ndata: x\n\n', '1'),
        (b'id: 7\nid: a\0b\ndata: x\n\n', '7'),
        (b'id:\ndata: x\n\n', '1'),
        (b'ids: 7\ndata: x\n\n', '1'),
        (b'data: x\rid:7\r\r', '7'),
        ('id: é\ndata: x\n\n'.encode(), 'é'),
    ],
)
def test_the_place_is_the_last_id_that_counts(event: bytes, place: str) -> None:
    buffer = begun(b'1')
    buffer.feed(event)
    assert buffer.last_event_id == place
