"""How a target has answered of late."""

import attrs

from mimosaworks.dispatch.outcome import WHOLE, CallOutcome

FAILURE_WEIGHT = 0.15  # share of the newest outcome in the average
FAILURE_HALF_LIFE_S = 4.0
FIRST_DOWN_S = 0.6  # about half a heartbeat interval of the targets
MAX_DOWN_S = 4.0  # about three heartbeat intervals: then the entry lapses
SPEED_WEIGHT = 0.2
MIN_EXPECTED_S = 0.001
MIN_SPEED = 0.3
MAX_SPEED = 12.0
_UNHEALTHY = frozenset((
    CallOutcome.FAILED,
    CallOutcome.BROKEN,
    CallOutcome.OVERSIZED,
    CallOutcome.TIMED_OUT,
))
_LEFT_OUT = frozenset((CallOutcome.UNREACHABLE, CallOutcome.OVERSIZED))


@attrs.define
class Health:
    """Failure rate, slowness and a pause after a lost connection.

    slowness is the average of measured by expected duration; failures the
    average of failed by all requests, halved each FAILURE_HALF_LIFE_S.
    """

    slowness: float = 1.0
    _failures: float = 0
    _failed_s: float = 0
    _down_until_s: float = 0
    _down_s: float = FIRST_DOWN_S

    def is_down(self, now: float) -> bool:
        """Tell whether the target is left out for a while."""
        return now < self._down_until_s

    def down_left_s(self, now: float) -> float:
        """Return the seconds for which the target is left out."""
        return max(self._down_until_s - now, 0)

    def failures(self, now: float) -> float:
        """Return the decayed share of failed requests."""
        age_s = max(now - self._failed_s, 0)
        return float(self._failures * 2 ** (-age_s / FAILURE_HALF_LIFE_S))

    def note_outcome(self, outcome: CallOutcome, now: float) -> None:
        """Learn from how a request left the target."""
        if outcome in WHOLE:
            self.note_success(now)
        if outcome in _LEFT_OUT:
            self.note_unreachable(now)
        if outcome in _UNHEALTHY:
            self.note_failure(now)

    def note_unreachable(self, now: float) -> None:
        """Leave the target out, longer at each failure in a row."""
        if self.is_down(now):
            return
        self._down_until_s = now + self._down_s
        self._down_s = min(self._down_s * 2, MAX_DOWN_S)

    def note_failure(self, now: float) -> None:
        """Count a request that the target failed."""
        rate = self.failures(now)
        self._failures = rate + FAILURE_WEIGHT * (1 - rate)
        self._failed_s = now

    def note_success(self, now: float) -> None:
        """Count a request that the target answered."""
        self._failures = self.failures(now) * (1 - FAILURE_WEIGHT)
        self._failed_s = now
        self._down_s = FIRST_DOWN_S
        self._down_until_s = 0

    def note_duration(self, measured_s: float, expected_s: float) -> None:
        """Compare a measured with the expected duration."""
        ratio = measured_s / max(expected_s, MIN_EXPECTED_S)
        ratio = min(max(ratio, MIN_SPEED), MAX_SPEED)
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness)
