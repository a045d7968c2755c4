"""What a soak takes for a whole answer without framing."""

import random
from typing import cast

import pytest

from bench.soak_load import OK, Seen
from bench.soak_spans import SoakSpans
from bench.soak_unframed import WHOLE, SoakUnframed
from standins.agency.event_text import event_text
from standins.agency.replica import EVENTS
from standins.agency.world import AgencyWorld

SAID = b'echo soak-1'
EVENT = event_text(EVENTS, SAID)
FIRST = b''.join(event_text(number, SAID) for number in range(1, EVENTS))
ENDS = (('soak-1', WHOLE),)


def is_whole(body: bytes) -> bool:
    unframed = SoakUnframed(
        cast('AgencyWorld', None),
        SoakSpans(),
        cast('random.Random', None),
        ENDS,
    )
    seen = Seen('soak-1', '/draft/', OK, body, SAID)
    return all(one.is_whole() for one in unframed.undress([seen]))


# Guards against a soak that takes broken answers for whole ones, since it does
# not compare line ends and comments.
@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (FIRST + EVENT, True),
        ((FIRST + EVENT).replace(b'\n', b'\r\n'), True),
        (b'%s: ping\n%s' % (FIRST.replace(b'\n', b'\r\n'), EVENT), True),
        (FIRST, False),
        (FIRST + EVENT[:-1], False),
        (FIRST + EVENT.replace(b'\n', b'\r\n')[:-2], False),
        (FIRST + EVENT + EVENT, False),
        (FIRST + EVENT[:12] + EVENT, False),
        (EVENT + FIRST, False),
        (b'%s%s: pi' % (FIRST, EVENT), False),
        (FIRST + event_text(EVENTS, b'echo soak-2'), False),
    ],
)
def test_only_line_ends_and_comments_are_free(
    body: bytes, expected: bool
) -> None:
    assert is_whole(body) is expected
