"""How the end of an answer's body shows."""

import enum

from aiohttp import ClientResponse


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
