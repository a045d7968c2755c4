"""A target's answer body, held as far as there is room for it."""

import attrs
from aiohttp import ClientResponse

from mimosaworks.bounded_answers import Hold, read_held
from mimosaworks.foreign_heads import has_events

IDENTITY = 'identity'


@attrs.define(eq=False)
class AnswerBody:
    """The body of one answer; read by whoever needs all of it.

    part is what was read. is_whole is false while more may follow in resp.
    """

    resp: ClientResponse
    hold: Hold
    part: bytes = b''
    is_whole: bool = False
    _was_read: bool = False

    @property
    def has_events(self) -> bool:
        """Whether the answer says that its body is made of events.

        Those of an encoded body can't be told apart.
        """
        headers = self.resp.headers
        if headers.get('Content-Encoding', IDENTITY).lower() != IDENTITY:
            return False
        declared = headers.get('Content-Type', '').strip()
        return bool(declared) and has_events(declared)

    async def read(self) -> bool:
        """Read while there is room; return whether the body is whole."""
        if not self._was_read:
            self._was_read = True
            part, is_whole = await read_held(self.resp, self.hold)
            self.part = part
            self.is_whole = is_whole
        return self.is_whole

    def take_part(self) -> bytes:
        """Return what was read, and forget it."""
        part = self.part
        self.part = b''
        return part
