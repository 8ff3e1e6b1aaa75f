"""The schedule of a proxy's drain after SIGTERM: what it still accepts, and until when. No I/O.

    SERVING      before SIGTERM
    LAME_DUCK    reports not ready; new connections still arrive, as the platform notices only
                 after two readiness checks
    FINISHING    accepts no connections and starts no requests; finishes those in progress
    ENDED        the time for responses is over; requests may still be unanswered

The invariant is that all work ends before the process does: a request is started only while enough
of the grace period is left, and its deadline lies before the end of the process. Both depend only
on the time of SIGTERM, and not on a moment without requests in progress, which may never occur.

Lame duck: Site Reliability Engineering (Beyer and others, 2016), chapter 20.
"""

from collections.abc import Callable
from enum import Enum

from umbermoor.gateway.units import SECOND

# The platform checks readiness once a second and removes a proxy after two checks that fail.
LAME_DUCK_S = 2.6
LAME_DUCK_MAX_SHARE = 0.45  # of the grace period, where that is short
# Part of the grace period reserved for writing the last responses and ending the process.
END_RESERVE_S = 0.7
CLOSING_S = 0.3  # part of END_RESERVE_S in which clients read the last response and close


class DrainPhase(Enum):
    """The phases of a proxy's drain."""

    SERVING = "serving"
    LAME_DUCK = "lame_duck"
    FINISHING = "finishing"
    ENDED = "ended"


class Drain:
    """Decides by the clock when a proxy stops accepting, starting and finishing requests.

    Attributes:
        began_at: Time of SIGTERM, in seconds of the clock; None before.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a drain that has not begun; `clock` returns seconds of a monotonic clock."""
        self._clock = clock
        self._grace_s = 0.0
        self.began_at: float | None = None

    def begin(self, grace_s: float) -> int:
        """Begin the drain at SIGTERM; the platform kills the process `grace_s` seconds later.

        Returns:
            The deadline for the responses to all requests, in microseconds of the clock.
        """
        if self.began_at is None:
            self.began_at = self._clock()
            self._grace_s = grace_s
        return round((self.began_at + self.finish_s) * SECOND)

    @property
    def began(self) -> bool:
        """Whether SIGTERM was received."""
        return self.began_at is not None

    @property
    def elapsed_s(self) -> float:
        """Seconds since SIGTERM; 0 before."""
        return 0.0 if self.began_at is None else self._clock() - self.began_at

    @property
    def lame_duck_s(self) -> float:
        """Seconds after SIGTERM during which requests are still started."""
        return min(LAME_DUCK_S, LAME_DUCK_MAX_SHARE * self._grace_s)

    @property
    def finish_s(self) -> float:
        """Seconds after SIGTERM by which every request must be answered."""
        return max(self.lame_duck_s, self._grace_s - END_RESERVE_S)

    @property
    def phase(self) -> DrainPhase:
        """The current phase."""
        if self.began_at is None:
            return DrainPhase.SERVING
        elapsed_s = self.elapsed_s
        if elapsed_s < self.lame_duck_s:
            return DrainPhase.LAME_DUCK
        return DrainPhase.FINISHING if elapsed_s < self.finish_s else DrainPhase.ENDED

    def may_start_requests(self) -> bool:
        """Whether a request that is read now may be started."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.LAME_DUCK)
