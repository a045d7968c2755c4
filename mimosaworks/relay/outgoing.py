"""The request that is sent to a target."""

import attrs
from aiohttp import web
from multidict import CIMultiDict

from mimosaworks.admission import (
    strip_credential_headers,
    strip_credential_params,
)

ACCEPT_ENCODING = 'Accept-Encoding'


@attrs.frozen
class Outgoing:
    """Method, path with query, header fields and body for a target."""

    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes


def make_outgoing(
    req: web.Request,
    body: bytes,
    request_id: str,
    priority: int,
    *,
    is_model: bool,
) -> Outgoing:
    """Return what to send on, without the caller's keys."""
    headers = strip_credential_headers(req.headers)
    headers['X-Request-Id'] = request_id
    headers['X-Priority'] = str(priority)
    if is_model or ACCEPT_ENCODING not in headers:
        # Streams are counted by their bytes, and a caller that names no
        # encoding must not get one that the client library asks for.
        headers[ACCEPT_ENCODING] = 'identity'
    path, _, query = _request_target(req).partition('?')
    query = strip_credential_params(query)
    return Outgoing(
        method=req.method,
        path=f'{path}?{query}' if query else path,
        headers=headers,
        body=body,
    )


def _request_target(req: web.Request) -> str:
    # The caller's own bytes; the parsed URL has its quoting changed.
    if req.raw_path.startswith('/'):
        return req.raw_path
    return req.rel_url.raw_path_qs
