"""What a model request asks for, read from its JSON body."""

import json
from typing import Any

import attrs

from mimosaworks.entities import Catalogue, Model
from mimosaworks.errors import ErrorKind, RequestError

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 1000000
BYTES_PER_TOKEN = 4


@attrs.frozen
class ModelCall:
    """A model request: model, adapter (or empty), size and manner.

    cost_tokens is prompt tokens (estimated from bytes) plus max_tokens.
    prompt_prefix is the start of the prompt, for cache affinity.
    """

    model: Model
    adapter: str
    max_tokens: int
    cost_tokens: int
    is_stream: bool
    prompt_prefix: str


def read_model_call(catalogue: Catalogue, body: bytes) -> ModelCall:
    """Return what the body asks for.

    Raises RequestError BAD_REQUEST for a broken body and UNKNOWN_MODEL when
    neither a model nor an adapter has the name.
    """
    fields = _parse(body)
    model, adapter = _find_model(catalogue, fields)
    max_tokens = _max_tokens(fields)
    return ModelCall(
        model=model,
        adapter=adapter,
        max_tokens=max_tokens,
        cost_tokens=len(body) // BYTES_PER_TOKEN + max_tokens,
        is_stream=fields.get('stream') is True,
        prompt_prefix=_prompt_prefix(fields),
    )


def _parse(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f'body is not JSON: {exc}'
        ) from exc
    if not isinstance(fields, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, 'body is not an object')
    return fields


def _find_model(
    catalogue: Catalogue, fields: dict[str, Any]
) -> tuple[Model, str]:
    name = fields.get('model')
    if not isinstance(name, str):
        raise RequestError(ErrorKind.BAD_REQUEST, 'field model must be text')
    adapter = catalogue.adapter.get(name)
    model = catalogue.model.get(adapter.model if adapter else name)
    if model is None:
        raise RequestError(ErrorKind.UNKNOWN_MODEL, f'no model {name}')
    return model, name if adapter else ''


def _max_tokens(fields: dict[str, Any]) -> int:
    asked = fields.get(
        'max_completion_tokens', fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    )
    is_int = isinstance(asked, int) and not isinstance(asked, bool)
    if not is_int or not 0 < asked <= MAX_MAX_TOKENS:
        raise RequestError(
            ErrorKind.BAD_REQUEST, 'field max_tokens must be a positive int'
        )
    return int(asked)


def _prompt_prefix(fields: dict[str, Any]) -> str:
    messages = fields.get('messages')
    if isinstance(messages, list) and messages:
        return json.dumps(messages[0])
    prompt = fields.get('prompt', '')
    return prompt if isinstance(prompt, str) else json.dumps(prompt)
