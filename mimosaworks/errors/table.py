"""The table from error kind to status, run state and Retry-After."""

import types
from collections.abc import Mapping
from http import HTTPStatus

import attrs

from mimosaworks.errors.kind import ErrorKind
from mimosaworks.errors.run_state import RunState


@attrs.frozen
class ErrorAnswer:
    """What a caller is told for one error kind.

    retry_after_s is the default in seconds; None where coming back does not
    help.
    """

    status: HTTPStatus
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: int | None = None


_MAY = RunState.MAY_HAVE_RUN
_NOT = RunState.NOT_RUN

ERROR_ANSWERS: Mapping[ErrorKind, ErrorAnswer] = types.MappingProxyType({
    ErrorKind.BAD_REQUEST: ErrorAnswer(HTTPStatus.BAD_REQUEST),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(HTTPStatus.NOT_FOUND),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(HTTPStatus.NOT_FOUND),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(HTTPStatus.UNAUTHORIZED),
    ErrorKind.FORBIDDEN: ErrorAnswer(HTTPStatus.FORBIDDEN),
    ErrorKind.KEY_WITHDRAWN: ErrorAnswer(HTTPStatus.UNAUTHORIZED),
    ErrorKind.CONFIG_STALE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 3
    ),
    ErrorKind.RATE_EXCEEDED: ErrorAnswer(HTTPStatus.TOO_MANY_REQUESTS, _NOT, 1),
    ErrorKind.REQUEST_TOO_COSTLY: ErrorAnswer(HTTPStatus.TOO_MANY_REQUESTS),
    ErrorKind.QUEUE_FULL: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 1),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 2
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        HTTPStatus.GATEWAY_TIMEOUT, _MAY, 1
    ),
    ErrorKind.MODEL_NOT_READY: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 5
    ),
    ErrorKind.NO_TARGET: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 2),
    ErrorKind.TARGET_FAILED: ErrorAnswer(HTTPStatus.BAD_GATEWAY, _MAY),
    ErrorKind.TARGET_ANSWER_LOST: ErrorAnswer(HTTPStatus.BAD_GATEWAY, _MAY),
    ErrorKind.CRASH_SUSPECT: ErrorAnswer(HTTPStatus.UNPROCESSABLE_ENTITY),
    ErrorKind.IDEMPOTENCY_IN_PROGRESS: ErrorAnswer(
        HTTPStatus.CONFLICT, _MAY, 1
    ),
    ErrorKind.IDEMPOTENCY_IN_DOUBT: ErrorAnswer(HTTPStatus.CONFLICT, _MAY),
    ErrorKind.IDEMPOTENCY_MISMATCH: ErrorAnswer(
        HTTPStatus.UNPROCESSABLE_ENTITY
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 5
    ),
    ErrorKind.STOPPING: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _NOT, 1),
    ErrorKind.CONFLICT: ErrorAnswer(HTTPStatus.PRECONDITION_FAILED),
    ErrorKind.NOT_FOUND: ErrorAnswer(HTTPStatus.NOT_FOUND),
    ErrorKind.INVALID_CHANGE: ErrorAnswer(HTTPStatus.UNPROCESSABLE_ENTITY),
    ErrorKind.INTERNAL: ErrorAnswer(HTTPStatus.INTERNAL_SERVER_ERROR, _MAY),
})
