"""What ends the body of an answer, by its head."""

import enum

from aiohttp import ClientResponse

from mimosaworks.errors import StoreUnavailableError


class Framing(enum.Enum):
    """What ends the body of an answer; none before there is an answer."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def read_framing(resp: ClientResponse) -> Framing:
    """Return what ends the body, by the head of the answer."""
    coding = resp.headers.get('Transfer-Encoding', '')
    if coding.lower().endswith('chunked'):
        return Framing.CHUNKS
    if resp.content_length is None:
        return Framing.CONNECTION
    return Framing.LENGTH


def require_framing(name: str, framing: Framing) -> None:
    """Raise StoreUnavailableError for an object that may be cut.

    Nothing in raw bytes tells that they are whole, as it does in JSON.
    """
    if framing is Framing.CONNECTION:
        raise StoreUnavailableError(f'store: {name} has no length')
