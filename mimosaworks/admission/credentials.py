"""Finds a caller's key in a request and strips it from what is sent on."""

from collections.abc import Mapping
from urllib.parse import unquote_plus

import attrs
from multidict import CIMultiDict

_BEARER = 'bearer '
_KEY_HEADERS = frozenset(('authorization', 'x-api-key', 'proxy-authorization'))
_KEY_PARAMS = frozenset(('api_key', 'api-key', 'apikey', 'key'))
# Hop-by-hop fields (RFC 9110, 7.6.1) and fields that each hop sets itself.
# Cookies may hold credentials and mean nothing to a target.
_HOP_HEADERS = frozenset((
    'connection',
    'content-length',
    'cookie',
    'expect',
    'host',
    'keep-alive',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    'x-resume-from',
))


@attrs.frozen
class Credentials:
    """The keys that came with a request; secret is None without any."""

    secret: str | None


def find_credentials(
    headers: Mapping[str, str], params: Mapping[str, str]
) -> Credentials:
    """Return the caller's key from the header fields or the query."""
    bearer = headers.get('Authorization', '')
    if bearer.lower().startswith(_BEARER):
        return Credentials(bearer[len(_BEARER) :].strip())
    in_header = headers.get('X-Api-Key')
    if in_header:
        return Credentials(in_header.strip())
    for name, text in params.items():
        if name.lower() in _KEY_PARAMS:
            return Credentials(text)
    return Credentials(None)


def strip_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the end-to-end header fields without any that hold a key."""
    named = headers.get('Connection', '').lower().split(',')
    dropped = _KEY_HEADERS | _HOP_HEADERS | {name.strip() for name in named}
    kept: CIMultiDict[str] = CIMultiDict()
    for name, text in headers.items():
        if name.lower() not in dropped:
            kept.add(name, text)
    return kept


def strip_query(query: str) -> str:
    """Return the raw query text without parameters that hold a key.

    All other parameters stay as the caller wrote them.
    """
    kept = [part for part in query.split('&') if not _holds_key(part)]
    return '&'.join(kept)


def _holds_key(part: str) -> bool:
    name = part.partition('=')[0]
    return unquote_plus(name).strip().lower() in _KEY_PARAMS
