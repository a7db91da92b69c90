"""Time that goes on while a machine is suspended.

The monotonic clock stands still during a suspension, so a lease counted on it would seem valid
although it has lapsed for everybody else. Every span that proves something is counted here.
"""

import time


def get_elapsed_s() -> float:
    """Returns seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
