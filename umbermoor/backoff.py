"""Exponential backoff with jitter, after "Exponential Backoff And Jitter" (AWS, 2015). No I/O.

Threat: what fails for one process fails for all (a name service or a platform that goes, a fleet
started at once). Retries that double from the same first delay then come in step, and who has just
come back is asked by all together.
"""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Backoff:
    """Delays that double from ``initial`` to ``maximum``, each spread by jitter.

    The jitter goes from half of a delay to one and a half times itself, so that the mean delay is
    the same as without.

    Attributes:
        initial: The first delay, in any unit of time.
        maximum: The longest delay before jitter, in the same unit.
        random: Gives numbers from 0 to 1.
    """

    initial: float
    maximum: float
    random: Callable[[], float]
    _delay: float = field(default=0.0, init=False)

    def next_delay(self) -> float:
        """The delay until the next retry, after one more failure; in the unit of ``initial``."""
        self._delay = min(self.maximum, 2 * self._delay or self.initial)
        return self._delay * (0.5 + self.random())

    def reset(self) -> None:
        """A try succeeded, or another party is asked from now on: the next delay is the first."""
        self._delay = 0.0
