"""The parts of a prompt, as the header of a request lists them."""

PARTS_HEADER = 'X-Prompt-Prefix'


def shared_parts(listed: str) -> frozenset[str]:
    """Return the parts of a prompt but the last, which is the request's own."""
    parts = listed.split(',')[:-1]
    return frozenset(part.split(':')[0] for part in parts)
