"""Authenticates operators and turns errors into answers."""

import types
import uuid
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any

from absl import logging
from aiohttp import hdrs, web

from mimosaworks.admin.answers import error_response
from mimosaworks.admin.operators import find_operator
from mimosaworks.errors import (
    ErrorKind,
    RequestError,
    RunState,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.events import Event, log_event

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

OPERATOR = web.RequestKey('operator', str)
_BEARER = 'Bearer '
_HTTP_ERROR_KINDS = types.MappingProxyType({
    HTTPStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
})


def authenticate(operators: Mapping[str, str]) -> Any:
    """Return a middleware that lets in operators only, by bearer token."""

    @web.middleware
    async def check(req: web.Request, handler: Handler) -> web.StreamResponse:
        token = req.headers.get(hdrs.AUTHORIZATION, '')
        name = None
        if token.startswith(_BEARER):
            name = find_operator(operators, token.removeprefix(_BEARER))
        if name is None:
            log_event(Event.OPERATOR_REFUSED, remote=req.remote, path=req.path)
            raise RequestError(
                ErrorKind.UNAUTHENTICATED, 'an operator token is required'
            )
        req[OPERATOR] = name
        return await handler(req)

    return check


@web.middleware
async def answer_errors(
    req: web.Request, handler: Handler
) -> web.StreamResponse:
    """Answer every error with the body and headers of its kind."""
    request_id = uuid.uuid4().hex
    try:
        resp = await handler(req)
    except Exception as exc:
        return error_response(_request_error(exc), request_id)
    resp.headers['X-Request-Id'] = request_id
    return resp


def _request_error(exc: Exception) -> RequestError:
    if isinstance(exc, RequestError):
        return exc
    if isinstance(exc, StoreUnavailableError):
        return RequestError(ErrorKind.STORE_UNAVAILABLE, str(exc))
    if isinstance(exc, StoreInDoubtError):
        return RequestError(
            ErrorKind.STORE_UNAVAILABLE,
            f'{exc}: read the configuration to see whether it was changed',
            run_state=RunState.MAY_HAVE_RUN,
        )
    if isinstance(exc, web.HTTPException):
        kind = _HTTP_ERROR_KINDS.get(
            HTTPStatus(exc.status), ErrorKind.BAD_REQUEST
        )
        return RequestError(kind, exc.reason)
    logging.exception('unexpected error')
    return RequestError(ErrorKind.INTERNAL, 'unexpected error, see the log')
