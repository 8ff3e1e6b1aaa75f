"""The clock of a controller.

Times are integers in microseconds, except names that end in `_S` or `_s`, which are in seconds.
"""

import time
from collections.abc import Callable

from umbermoor.gateway.units import SECOND

# CLOCK_BOOTTIME, where available, keeps running while the machine is suspended.
_SYSTEM_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

Clock = Callable[[], int]  # microseconds since an arbitrary fixed point


def system_clock() -> int:
    """Return the time in microseconds; it never goes back."""
    return round(time.clock_gettime(_SYSTEM_CLOCK) * SECOND)
