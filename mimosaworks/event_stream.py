"""Cuts a stream of server-sent events at the ends of its events."""

import attrs

END_OF_EVENT = b'\n\n'


@attrs.define
class EventCutter:
    """Holds back the bytes of an unfinished event.

    A stream that breaks off can go on elsewhere behind whole events only.
    held is the number of bytes.
    """

    held: int = 0
    _parts: list[bytes] = attrs.field(factory=list)

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        # An event may end across two chunks.
        before = self._last_byte()
        found = (before + chunk).rfind(END_OF_EVENT)
        if found < 0:
            self._hold(chunk)
            return b''
        end = found + len(END_OF_EVENT) - len(before)
        self._hold(chunk[:end])
        whole = self.take_rest()
        self._hold(chunk[end:])
        return whole

    def take_rest(self) -> bytes:
        """Return the bytes that were held back, and forget them."""
        rest = b''.join(self._parts)
        self._parts.clear()
        self.held = 0
        return rest

    def _last_byte(self) -> bytes:
        return self._parts[-1][-1:] if self._parts else b''

    def _hold(self, chunk: bytes) -> None:
        if chunk:
            self._parts.append(chunk)
            self.held += len(chunk)
