"""Cuts an event stream at the ends of its events."""

import re

import attrs

_END_OF_EVENT = b'\n\n'
_ID_LINE = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


@attrs.define
class EventBuffer:
    """Holds back an unfinished event, so that a stream can be resumed.

    last_id is the id of the last event that was let through.
    """

    last_id: str = ''
    _rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        gathered = self._rest + chunk
        end = gathered.rfind(_END_OF_EVENT)
        if end < 0:
            self._rest = gathered
            return b''
        end += len(_END_OF_EVENT)
        self._rest = gathered[end:]
        whole = gathered[:end]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return whole

    def end(self) -> bytes:
        """Return what follows the last event of a complete stream."""
        rest = self._rest
        self._rest = b''
        return rest

    def drop(self) -> None:
        """Forget an unfinished event before the stream is resumed."""
        self._rest = b''
