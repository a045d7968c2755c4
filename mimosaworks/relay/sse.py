"""Counts the events of a server-sent event stream without parsing them."""

import attrs

_END_OF_EVENT = b'\n\n'
_DONE = b'data: [DONE]'


@attrs.define
class EventCounter:
    """Passes whole events on and holds the bytes of an unfinished one.

    tokens counts the events so far without the closing one; is_done tells
    whether the closing event was passed. Used to resume a stream so that
    each token is sent once.
    """

    tokens: int = 0
    is_done: bool = False
    _rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        gathered = self._rest + chunk
        end = gathered.rfind(_END_OF_EVENT)
        if end < 0:
            self._rest = gathered
            return b''
        whole = gathered[: end + len(_END_OF_EVENT)]
        self._rest = gathered[len(whole) :]
        self._count(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget the bytes of an unfinished event, before a resume."""
        self._rest = b''

    def _count(self, whole: bytes) -> None:
        self.tokens += whole.count(_END_OF_EVENT)
        if whole.endswith(_DONE + _END_OF_EVENT):
            self.is_done = True
            self.tokens -= 1
