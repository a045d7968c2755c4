"""Reads from an engine's whole answer how many tokens it generated."""

import json


def read_completion_tokens(body: bytes, default: int) -> int:
    """Return usage.completion_tokens, or default where it is not told."""
    try:
        used = json.loads(body)['usage']['completion_tokens']
    except (ValueError, KeyError, TypeError):
        return default
    return used if isinstance(used, int) else default
