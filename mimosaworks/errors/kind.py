"""The closed list of error kinds that a caller can be answered with."""

import enum


@enum.unique
class ErrorKind(enum.Enum):
    """Names one reason for a refusal or failure; the value is on the wire."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_MODEL = 'unknown_model'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    KEY_WITHDRAWN = 'key_withdrawn'
    CONFIG_STALE = 'config_stale'
    RATE_EXCEEDED = 'rate_exceeded'
    REQUEST_TOO_COSTLY = 'request_too_costly'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    MODEL_NOT_READY = 'model_not_ready'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    TARGET_ANSWER_LOST = 'target_answer_lost'
    CRASH_SUSPECT = 'crash_suspect'
    IDEMPOTENCY_IN_PROGRESS = 'idempotency_in_progress'
    IDEMPOTENCY_IN_DOUBT = 'idempotency_in_doubt'
    IDEMPOTENCY_MISMATCH = 'idempotency_mismatch'
    STORE_UNAVAILABLE = 'store_unavailable'
    STOPPING = 'stopping'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not_found'
    INVALID_CHANGE = 'invalid_change'
    INTERNAL = 'internal'
