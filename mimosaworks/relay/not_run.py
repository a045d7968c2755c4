"""Recognizes answers by which a target says that it did not run a request."""

import json
from http import HTTPStatus

from aiohttp import ClientResponse

from mimosaworks.errors import RunState
from mimosaworks.relay.answers import RUN_HEADER

MODEL_NOT_LOADED = 'model_not_loaded'
_REFUSALS = frozenset((
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


async def says_not_run(resp: ClientResponse) -> bool:
    """Tell whether the target refused before it ran anything.

    That is by the run header, by status 429 or 503, or by an engine's error
    code for a model that it does not hold.
    """
    if resp.headers.get(RUN_HEADER) == RunState.NOT_RUN.value:
        return True
    if resp.status in _REFUSALS:
        return True
    if resp.status != HTTPStatus.NOT_FOUND:
        return False
    return _error_code(await resp.read()) == MODEL_NOT_LOADED


def _error_code(body: bytes) -> object:
    try:
        return json.loads(body)['error']['code']
    except (ValueError, KeyError, TypeError):
        return None
