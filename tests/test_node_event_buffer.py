"""Tests of the place at which a stream is resumed."""

import pytest

from mimosaworks.node.event_buffer import (
    MAX_UNNUMBERED_BYTES,
    EventBuffer,
    OtherEventError,
)

ASIDE = b'data: aside\n\n'


def numbered(event_id: bytes) -> bytes:
    return b'id: %s\ndata: piece\n\n' % event_id


def begun(*event_ids: bytes, place: str = '') -> EventBuffer:
    buffer = EventBuffer(True, place)
    buffer.begin_run()
    for event_id in event_ids:
        assert buffer.feed(numbered(event_id)) == numbered(event_id)
    return buffer


# Guards against a target that starts a stream over instead of resuming it.
@pytest.mark.parametrize(
    ('before', 'again'),
    [
        ((b'1', b'2'), b'1'),
        ((b'1', b'2', b'3'), b'2'),
        ((b'9', b'10'), b'9'),
        ((b'a', b'b'), b'a'),
        ((b'a', b'b'), b'b'),
    ],
)
def test_a_run_with_an_id_from_before_is_no_resumption(
    before: tuple[bytes, ...], again: bytes
) -> None:
    buffer = begun(*before)
    buffer.begin_run()
    with pytest.raises(OtherEventError):
        buffer.feed(numbered(again))
    buffer.begin_run()
    assert buffer.feed(numbered(b'11')) == numbered(b'11')


# Guards against events without an id that are kept without bound, and a stream
# that is resumed though its place is not known.
def test_a_place_is_known_up_to_a_bound_behind_an_id() -> None:
    buffer = begun()
    assert buffer.can_resume
    buffer.feed(ASIDE)
    assert not buffer.can_resume
    buffer.feed(numbered(b'1'))
    assert (buffer.can_resume, buffer.last_event_id) == (True, '1')
    fitting = MAX_UNNUMBERED_BYTES // len(ASIDE)
    for _ in range(fitting):
        buffer.feed(ASIDE)
    assert buffer.can_resume
    buffer.feed(ASIDE)
    assert not buffer.can_resume
    buffer.feed(numbered(b'2') + ASIDE)
    assert buffer.can_resume
    assert begun(place='7').feed(ASIDE) == ASIDE


# Guards against an event behind a new id that is taken for a repeated one, and
# against a repeated one that comes twice.
def test_only_events_behind_the_last_id_may_be_repeated() -> None:
    buffer = begun(b'1')
    buffer.feed(ASIDE * 2)
    buffer.begin_run()
    assert buffer.feed(ASIDE) == b''
    assert buffer.feed(numbered(b'2') + ASIDE) == numbered(b'2') + ASIDE
    buffer.begin_run()
    assert buffer.feed(ASIDE * 2) == ASIDE


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
