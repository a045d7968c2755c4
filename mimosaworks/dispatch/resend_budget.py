"""Bounds sends beyond the first, over all VMs together."""

from collections import deque

import attrs

SAFETY = 0.6  # share of the promised budget that is used


@attrs.define
class ResendBudget:
    """Requests and resends of one service in a sliding window.

    ratio is resends for each request, slack what is allowed on top, both
    over window_s seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque)
    _resends: deque[float] = attrs.field(factory=deque)

    def note_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._forget(now)

    def try_spend(self, now: float) -> bool:
        """Take one resend if the window has room for it."""
        self._forget(now)
        allowed = self.ratio * len(self._requests) + self.slack
        if len(self._resends) + 1 > allowed * SAFETY:
            return False
        self._resends.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._resends):
            while times and times[0] < now - self.window_s:
                times.popleft()
