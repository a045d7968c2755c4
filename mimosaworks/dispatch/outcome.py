"""How a request's stay at a target ended."""

import enum
from http import HTTPStatus


class CallOutcome(enum.Enum):
    """The value is on the wire between nodes and the holder."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    ERRED = 'erred'  # an error of the target's own went to the caller
    BROKEN = 'broken'
    OVERSIZED = 'oversized'  # more bytes came than an answer may have
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    CALLER_LEFT = 'caller_left'
    NODE_STOPPED = 'node_stopped'  # the node ended before the answer did
    NOT_SENT = 'not_sent'  # the node had been told to leave the target out


# A whole answer went to the caller.
WHOLE = frozenset((CallOutcome.ANSWERED, CallOutcome.ERRED))


def outcome_of(status: int) -> CallOutcome:
    """Return the outcome of a whole answer with an HTTP status."""
    if status >= HTTPStatus.BAD_REQUEST:
        return CallOutcome.ERRED
    return CallOutcome.ANSWERED
