"""Time within one process."""

import time

DRIFT = 0.01  # bound on the difference of two clocks' rates


def now_s() -> float:
    """Return CLOCK_BOOTTIME in seconds; it counts while a VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
