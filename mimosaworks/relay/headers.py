"""Header fields of answers."""

from collections.abc import Mapping

from multidict import CIMultiDict

# Fields that each hop sets itself.
_HOP_HEADERS = frozenset((
    'connection',
    'content-length',
    'date',
    'keep-alive',
    'server',
    'trailer',
    'transfer-encoding',
    'upgrade',
    'x-request-id',
))


def copy_answer_headers(
    received: Mapping[str, str], sent: CIMultiDict[str]
) -> None:
    """Add the end-to-end fields of a target's answer to the caller's."""
    for name, text in received.items():
        if name.lower() not in _HOP_HEADERS:
            sent.add(name, text)
