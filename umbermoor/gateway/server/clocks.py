"""The clock of a controller, and the unit of its times.

Times are whole microseconds unless a name ends in `_S` or `_s`, which are seconds.
"""

import time
from collections.abc import Callable

from umbermoor.gateway.units import SECOND

# Runs on while the machine is suspended, where the system has such a clock.
_SYSTEM_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

Clock = Callable[[], int]  # microseconds since some fixed point


def system_clock() -> int:
    """The time in microseconds; it never goes back."""
    return round(time.clock_gettime(_SYSTEM_CLOCK) * SECOND)
