"""The ids of requests on one connection, and whose an answer is."""

import collections

import attrs

MAX_EARLIER = 8  # requests whose late answers are known by their id
MAX_SKIPPED = 8  # answers before the one that is awaited


@attrs.define(eq=False)
class AskedIds:
    """Judges answers by their ids; used by each connection.

    now is the id of the request at hand, empty for one without an id.
    """

    now: str = ''
    _earlier: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_EARLIER)
    )
    _uses: int = 0
    _skipped: int = 0

    def begin(self, request_id: str) -> None:
        """Note that a request begins, which may have an id."""
        if self.now:
            self._earlier.append(self.now)
        self.now = request_id
        self._uses += 1
        self._skipped = 0

    def has(self, request_id: str) -> bool:
        """Tell whether a request with this id was sent."""
        return request_id == self.now or request_id in self._earlier

    def is_own(self, sent: str) -> bool:
        """Tell whether an answer with this id is the one that is awaited.

        No answer can be left over on a new connection.
        """
        if not self.now:
            return sent not in self._earlier
        return sent == self.now or (self._uses == 1 and not sent)

    def skip(self, sent: str) -> bool:
        """Tell whether the right answer may follow a foreign one."""
        self._skipped += 1
        is_late = bool(sent) and self._uses > 1
        return is_late and self._skipped <= MAX_SKIPPED
