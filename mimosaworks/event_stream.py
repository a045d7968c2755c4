"""Cuts a stream of server-sent events at the ends of its events."""

import attrs

END_OF_EVENT = b'\n\n'


@attrs.define
class EventCutter:
    """Holds back the bytes of an unfinished event.

    A stream that breaks off can go on elsewhere behind whole events only.
    """

    _rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        gathered = self._rest + chunk
        end = gathered.rfind(END_OF_EVENT)
        if end < 0:
            self._rest = gathered
            return b''
        end += len(END_OF_EVENT)
        self._rest = gathered[end:]
        return gathered[:end]

    def take_rest(self) -> bytes:
        """Return the bytes that were held back, and forget them."""
        rest = self._rest
        self._rest = b''
        return rest
