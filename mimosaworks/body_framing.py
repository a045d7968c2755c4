"""Tells bodies with a length or chunks from those that may be cut."""

import aiohttp

from mimosaworks.errors import StoreUnavailableError


def is_framed(resp: aiohttp.ClientResponse) -> bool:
    """Return whether the body has a length or chunks."""
    coding = resp.headers.get('Transfer-Encoding', '')
    return resp.content_length is not None or coding.lower() == 'chunked'


def require_framing(name: str, *, has_framing: bool) -> None:
    """Raise StoreUnavailableError for an object that may be cut.

    Nothing in raw bytes tells that they are whole, as it does in JSON.
    """
    if not has_framing:
        raise StoreUnavailableError(f'store: {name} has no length')
