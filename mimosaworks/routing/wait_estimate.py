"""Predicts how long a request waits in a queue."""

import attrs

# The weight of the newest sample in the moving averages.
SMOOTHING = 0.1


@attrs.define
class WaitEstimate:
    """Moving averages of times of one queue, in seconds; 0 while unknown.

    mean_service_s is the time of one request at its target.
    mean_cold_start_s is the time from the first waiting request until a
    replica was ready.
    """

    mean_service_s: float = 0
    mean_cold_start_s: float = 0

    def record_service_time(self, seconds: float) -> None:
        """Record the time that a request took at its target."""
        self.mean_service_s = _update_average(self.mean_service_s, seconds)

    def record_cold_start(self, seconds: float) -> None:
        """Record the duration of one cold start."""
        self.mean_cold_start_s = _update_average(
            self.mean_cold_start_s, seconds
        )

    def predict_wait_s(self, queued_count: int, slots: int) -> float:
        """Return the expected wait behind the waiting requests.

        It is the duration of a cold start if there are no slots.
        """
        if slots <= 0:
            return self.mean_cold_start_s
        return self.mean_service_s * queued_count / slots


def _update_average(average_s: float, sample_s: float) -> float:
    if not average_s:
        return sample_s
    return average_s + SMOOTHING * (sample_s - average_s)
