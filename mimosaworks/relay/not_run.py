"""Recognizes answers by which a target says that it did not run a request."""

import json
from http import HTTPStatus

from mimosaworks.entities import Target
from mimosaworks.errors import RunState
from mimosaworks.relay.answer_body import AnswerBody
from mimosaworks.serving import RUN_HEADER

MODEL_NOT_LOADED = 'model_not_loaded'
ENGINE = 'engine'
_REFUSALS = frozenset((
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


async def says_not_run(body: AnswerBody, target: Target) -> bool:
    """Tell whether the target refused before it ran anything.

    That is by the run header; for an engine also by status 429 or 503, or by
    the error code for a model that it does not hold. A plain service may
    answer 503 after it has begun to run a call.
    """
    resp = body.resp
    if resp.headers.get(RUN_HEADER) == RunState.NOT_RUN.value:
        return True
    if target.kind != ENGINE:
        return False
    if resp.status in _REFUSALS:
        return True
    if resp.status != HTTPStatus.NOT_FOUND:
        return False
    return await body.read() and _error_code(body.part) == MODEL_NOT_LOADED


def _error_code(body: bytes) -> object:
    try:
        return json.loads(body)['error']['code']
    except (ValueError, KeyError, TypeError):
        return None
