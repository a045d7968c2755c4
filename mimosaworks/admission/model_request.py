"""Parses the JSON body of a model request."""

import json
from typing import Any

import attrs

from mimosaworks.entities import Catalogue, Model
from mimosaworks.errors import ErrorKind, RequestError

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 1000000
BYTES_PER_TOKEN = 4


@attrs.frozen
class ModelRequest:
    """The model, adapter and size of a model request.

    adapter is empty for the bare model. cost_tokens is the number of prompt
    tokens (estimated from bytes) plus max_tokens. prompt_prefix is the start
    of the prompt, for cache affinity.
    """

    model: Model
    adapter: str
    max_tokens: int
    cost_tokens: int
    is_stream: bool
    prompt_prefix: str


def parse_model_request(catalogue: Catalogue, body: bytes) -> ModelRequest:
    """Return the parsed body of a model request.

    Raises RequestError BAD_REQUEST for an invalid body, and UNKNOWN_MODEL
    when neither a model nor an adapter has the name.
    """
    fields = _parse_body(body)
    model, adapter = _find_model(catalogue, fields)
    max_tokens = _read_max_tokens(fields)
    return ModelRequest(
        model=model,
        adapter=adapter,
        max_tokens=max_tokens,
        cost_tokens=len(body) // BYTES_PER_TOKEN + max_tokens,
        is_stream=fields.get('stream') is True,
        prompt_prefix=_read_prompt_prefix(fields),
    )


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f'body is not JSON: {exc}'
        ) from exc
    if not isinstance(fields, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, 'body is not a JSON object')
    return fields


def _find_model(
    catalogue: Catalogue, fields: dict[str, Any]
) -> tuple[Model, str]:
    name = fields.get('model')
    if not isinstance(name, str):
        raise RequestError(
            ErrorKind.BAD_REQUEST, 'field model must be a string'
        )
    adapter = catalogue.adapter.get(name)
    model = catalogue.model.get(adapter.model if adapter else name)
    if model is None:
        raise RequestError(ErrorKind.UNKNOWN_MODEL, f'no model {name}')
    return model, name if adapter else ''


def _read_max_tokens(fields: dict[str, Any]) -> int:
    requested_tokens = fields.get(
        'max_completion_tokens', fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    )
    is_int = isinstance(requested_tokens, int) and not isinstance(
        requested_tokens, bool
    )
    if not is_int or not 0 < requested_tokens <= MAX_MAX_TOKENS:
        raise RequestError(
            ErrorKind.BAD_REQUEST, 'field max_tokens must be a positive integer'
        )
    return int(requested_tokens)


def _read_prompt_prefix(fields: dict[str, Any]) -> str:
    messages = fields.get('messages')
    if isinstance(messages, list) and messages:
        return json.dumps(messages[0])
    prompt = fields.get('prompt', '')
    return prompt if isinstance(prompt, str) else json.dumps(prompt)
