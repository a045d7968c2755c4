"""How a request's stay at a target ended."""

import enum


class CallOutcome(enum.Enum):
    """The value is on the wire between nodes and the holder."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    BROKEN = 'broken'
    OVERSIZED = 'oversized'  # more bytes came than an answer may have
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    CALLER_LEFT = 'caller_left'
    NOT_SENT = 'not_sent'  # the node had been told to leave the target out
