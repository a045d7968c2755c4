"""How one send of a request to a target ended."""

import enum
from http import HTTPStatus


class CallOutcome(enum.Enum):
    """Outcome of a send; values are on the wire between nodes and holder."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    # The target's own error answer went to the caller.
    ERRED = 'erred'
    BROKEN = 'broken'
    # The answer had more bytes than allowed.
    OVERSIZED = 'oversized'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    CALLER_LEFT = 'caller_left'
    # The node stopped before the end of the answer.
    NODE_STOPPED = 'node_stopped'
    # The node had received a notice not to use the target.
    NOT_SENT = 'not_sent'


# A complete answer went to the caller.
COMPLETE_OUTCOMES = frozenset((CallOutcome.ANSWERED, CallOutcome.ERRED))


def outcome_for_status(status: int) -> CallOutcome:
    """Return the outcome of a complete answer with this HTTP status."""
    if status >= HTTPStatus.BAD_REQUEST:
        return CallOutcome.ERRED
    return CallOutcome.ANSWERED
