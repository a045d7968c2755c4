"""The text that an engine generates, as a pure function of the request."""

import hashlib
from collections.abc import Mapping
from typing import Any

TOKEN_CHARS = 8


def expected_token(model: str, adapter: str, prompt: str, index: int) -> str:
    """Return one token, with its trailing space."""
    seed = '\x1f'.join((model, adapter, prompt, str(index)))
    digest = hashlib.sha256(seed.encode()).hexdigest()
    token = digest[:TOKEN_CHARS]
    return f'{token} '


def expected_text(
    model: str, adapter: str, prompt: str, count: int, start: int = 0
) -> str:
    """Return the tokens from start up to and without count, joined."""
    return ''.join(
        expected_token(model, adapter, prompt, index)
        for index in range(start, count)
    )


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the prompt of a chat or completion body.

    Raises KeyError or TypeError when the body is neither.
    """
    messages = body.get('messages')
    if messages is None:
        return str(body['prompt'])
    return '\n'.join(str(part['content']) for part in messages)
