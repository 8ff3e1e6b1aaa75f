"""A proxy's end after SIGTERM, by the clock: what it still accepts, and until when. No I/O.

    SERVING      before SIGTERM
    LAME_DUCK    not ready; connections still come, as the platform notices only after two checks
    FINISHING    no connection is accepted and no request is begun; those under way are finished
    ENDED        every request has its answer

The invariant is that work has an end before its holder has: a request is begun only while enough of
the grace is left, and its deadline lies before the end of the process. Both follow from the time
of SIGTERM alone, and not from a moment at which nothing is under way, which may never come.

Lame duck: Site Reliability Engineering (Beyer and others, 2016), chapter 20.
"""

from collections.abc import Callable
from enum import Enum

from umbermoor.gateway.units import SECOND

# The platform asks once a second, and takes a proxy out after two answers that it is not ready.
LAME_DUCK_S = 2.6
LAME_DUCK_MAX_SHARE = 0.45  # of the grace, where that is short
# Of the grace, left for what comes after the last answer: writing it, and the end of the process.
END_RESERVE_S = 0.7
CLOSING_S = 0.3  # of that, until clients have read their last answer and closed


class DrainPhase(Enum):
    """How far the end of the proxy is."""

    SERVING = "serving"
    LAME_DUCK = "lame_duck"
    FINISHING = "finishing"
    ENDED = "ended"


class Drain:
    """When a proxy stops to accept, to begin and to finish requests.

    Attributes:
        began_at: When SIGTERM came, in seconds of the clock; None before.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: seconds of a steady clock."""
        self._clock = clock
        self._grace_s = 0.0
        self.began_at: float | None = None

    def begin(self, grace_s: float) -> int:
        """SIGTERM came; the platform kills the process `grace_s` seconds later.

        Returns:
            By when every request must be answered, in microseconds of the clock.
        """
        if self.began_at is None:
            self.began_at = self._clock()
            self._grace_s = grace_s
        return round((self.began_at + self.finish_s) * SECOND)

    @property
    def began(self) -> bool:
        """Whether SIGTERM came."""
        return self.began_at is not None

    @property
    def elapsed_s(self) -> float:
        """Seconds since SIGTERM; 0 before."""
        return 0.0 if self.began_at is None else self._clock() - self.began_at

    @property
    def lame_duck_s(self) -> float:
        """How long after SIGTERM requests are still begun."""
        return min(LAME_DUCK_S, LAME_DUCK_MAX_SHARE * self._grace_s)

    @property
    def finish_s(self) -> float:
        """How long after SIGTERM every request must have its answer."""
        return max(self.lame_duck_s, self._grace_s - END_RESERVE_S)

    @property
    def phase(self) -> DrainPhase:
        """The phase now."""
        if self.began_at is None:
            return DrainPhase.SERVING
        elapsed_s = self.elapsed_s
        if elapsed_s < self.lame_duck_s:
            return DrainPhase.LAME_DUCK
        return DrainPhase.FINISHING if elapsed_s < self.finish_s else DrainPhase.ENDED

    def begins_requests(self) -> bool:
        """Whether a request that is read now may be begun."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.LAME_DUCK)
