"""Error answers to callers."""

import math

from aiohttp import web

from mimosaworks.errors import RequestError

RUN_HEADER = 'Mimosa-Run'
REQUEST_ID_HEADER = 'X-Request-Id'
COLD_HEADER = 'Mimosa-Cold'


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


def error_response(exc: RequestError, request_id: str) -> web.Response:
    """Return the answer for an error, with run state and Retry-After."""
    headers = {
        RUN_HEADER: exc.run_state.value,
        REQUEST_ID_HEADER: request_id,
    }
    if exc.retry_after_s is not None:
        headers['Retry-After'] = str(max(math.ceil(exc.retry_after_s), 1))
    return web.json_response(
        error_fields(exc, request_id),
        status=exc.answer.status.value,
        headers=headers,
    )
