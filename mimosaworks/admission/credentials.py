"""Finds the caller's key in a request and removes it before forwarding."""

from collections.abc import Mapping
from urllib.parse import unquote_plus

import attrs
from multidict import CIMultiDict

_BEARER = 'bearer '
_KEY_HEADERS = frozenset(('authorization', 'x-api-key', 'proxy-authorization'))
_KEY_PARAMS = frozenset(('api_key', 'api-key', 'apikey', 'key'))
# Hop-by-hop fields (RFC 9110, 7.6.1) and fields that each hop sets itself.
# Cookies are dropped too: they may hold credentials, and targets do not use
# them.
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
    """The key that a request carries; secret is None if it has none."""

    secret: str | None


def find_credentials(
    headers: Mapping[str, str], params: Mapping[str, str]
) -> Credentials:
    """Return the caller's key from the header fields or the query.

    Authorization: Bearer has precedence over X-Api-Key, and both over the
    query.
    """
    authorization = headers.get('Authorization', '')
    if authorization.lower().startswith(_BEARER):
        return Credentials(authorization[len(_BEARER) :].strip())
    header_key = headers.get('X-Api-Key')
    if header_key:
        return Credentials(header_key.strip())
    for name, text in params.items():
        if name.lower() in _KEY_PARAMS:
            return Credentials(text)
    return Credentials(None)


def strip_credential_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the end-to-end header fields that do not hold a key."""
    connection_options = headers.get('Connection', '').lower().split(',')
    dropped_names = (
        _KEY_HEADERS
        | _HOP_HEADERS
        | {name.strip() for name in connection_options}
    )
    kept_headers: CIMultiDict[str] = CIMultiDict()
    for name, text in headers.items():
        if name.lower() not in dropped_names:
            kept_headers.add(name, text)
    return kept_headers


def strip_credential_params(query: str) -> str:
    """Return the raw query text without parameters that hold a key.

    All other parameters stay as the caller encoded them.
    """
    kept_params = [
        query_param
        for query_param in query.split('&')
        if not _is_key_param(query_param)
    ]
    return '&'.join(kept_params)


def _is_key_param(query_param: str) -> bool:
    name = query_param.partition('=')[0]
    return unquote_plus(name).strip().lower() in _KEY_PARAMS
