"""Predicts how long a request waits in a lane."""

import attrs

SMOOTHING = 0.1  # weight of the newest observation


@attrs.define
class WaitEstimate:
    """Smoothed times of one lane, in seconds; zero while not known.

    service_s is the time of one request at its target. cold_s is the time
    from the first waiting request until a replica was ready.
    """

    service_s: float = 0
    cold_s: float = 0

    def note_service(self, seconds: float) -> None:
        """Take an answered request's time at its target into account."""
        self.service_s = _smooth(self.service_s, seconds)

    def note_cold_start(self, seconds: float) -> None:
        """Take the time of one cold start into account."""
        self.cold_s = _smooth(self.cold_s, seconds)

    def queue_wait_s(self, waiting: int, places: int) -> float:
        """Return the wait behind so many requests with so many places."""
        if places <= 0:
            return self.cold_s
        return self.service_s * waiting / places


def _smooth(before: float, seconds: float) -> float:
    if not before:
        return seconds
    return before + SMOOTHING * (seconds - before)
