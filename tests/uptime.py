"""A plugin that lets tests see a VM of another uptime.

MIMOSA_UPTIME_S=60 pytest -p tests.uptime

Processes that tests start see the machine's own.
"""

import os
import time

from mimosaworks import clock

SHIFT_S = float(os.environ['MIMOSA_UPTIME_S']) - clock.now_s()


def shifted_now_s() -> float:
    """Return the clock of a VM that has been up for MIMOSA_UPTIME_S."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) + SHIFT_S


# Modules take over the name when they are imported later.
clock.now_s = shifted_now_s
