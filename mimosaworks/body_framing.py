"""What ends the body of an answer, by its head."""

import enum
from http import HTTPStatus

from aiohttp import ClientResponse

from mimosaworks.errors import StoreUnavailableError

# Older servers name the identity, which changes nothing.
_NO_CODINGS = frozenset(('', 'chunked', 'identity'))
_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Framing(enum.Enum):
    """What ends the body of an answer; none before there is an answer."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def read_framing(resp: ClientResponse) -> Framing:
    """Return what ends the body, by the head of the answer."""
    codings = _read_codings(resp)
    if codings.rpartition(',')[-1].strip() == 'chunked':
        return Framing.CHUNKS
    if codings or resp.content_length is None:
        return Framing.CONNECTION
    return Framing.LENGTH


def ends_with_connection(resp: ClientResponse) -> bool:
    """Return whether there is a body that ends with its connection."""
    has_body = resp.method != 'HEAD' and resp.status not in _WITHOUT_BODY
    return has_body and read_framing(resp) is Framing.CONNECTION


def has_other_coding(resp: ClientResponse) -> bool:
    """Return whether a body was encoded for the way by more than chunks.

    Chunks in front of another coding are not taken off, so they count as well.
    """
    return _read_codings(resp) not in _NO_CODINGS


def require_framing(name: str, framing: Framing) -> None:
    """Raise StoreUnavailableError for an object that may be cut.

    Nothing in raw bytes tells that they are whole, as it does in JSON.
    """
    if framing is Framing.CONNECTION:
        raise StoreUnavailableError(f'store: {name} has no length')


def _read_codings(resp: ClientResponse) -> str:
    """Return the list of transfer codings, which may have several lines."""
    lines = resp.headers.getall('Transfer-Encoding', [])
    return ','.join(lines).strip().lower()
