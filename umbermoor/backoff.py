"""Exponential backoff with jitter, after "Exponential Backoff And Jitter" (AWS, 2015). No I/O.

A failure often hits all processes at once (a name service or platform that goes down, a fleet that
starts together). Without jitter, their retries, doubling from the same first delay, would stay in
step, and a service that has just recovered would be called by all of them at the same moment.
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
        """Return the delay until the next retry, after another failure (unit of ``initial``)."""
        self._delay = min(self.maximum, 2 * self._delay or self.initial)
        return self._delay * (0.5 + self.random())

    def reset(self) -> None:
        """Start again from the first delay: after a success, or when calling another party."""
        self._delay = 0.0
