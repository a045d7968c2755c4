"""Error answers over HTTP, to callers and operators alike."""

import math

from mimosaworks.errors import RequestError

RUN_HEADER = 'Mimosa-Run'
REQUEST_ID_HEADER = 'X-Request-Id'
RETRY_AFTER_HEADER = 'Retry-After'


def error_fields(exc: RequestError, request_id: str) -> dict[str, object]:
    """Return the JSON body of an error answer."""
    return {
        'error': {
            'code': exc.kind.value,
            'message': exc.message,
            'request_id': request_id,
            'run': exc.run_state.value,
        }
    }


def error_headers(exc: RequestError, request_id: str) -> dict[str, str]:
    """Return the header fields: run state, request id, when to come back.

    Retry-After is in whole seconds and at least one.
    """
    headers = {
        RUN_HEADER: exc.run_state.value,
        REQUEST_ID_HEADER: request_id,
    }
    if exc.retry_after_s is not None:
        seconds = max(math.ceil(exc.retry_after_s), 1)
        headers[RETRY_AFTER_HEADER] = str(seconds)
    return headers
