"""Error answers to callers."""

from aiohttp import web

from mimosaworks.errors import RequestError
from mimosaworks.serving import error_fields, error_headers

COLD_HEADER = 'Mimosa-Cold'


def error_response(exc: RequestError, request_id: str) -> web.Response:
    """Return the answer for an error, with run state and Retry-After."""
    return web.json_response(
        error_fields(exc, request_id),
        status=exc.answer.status.value,
        headers=error_headers(exc, request_id),
    )
