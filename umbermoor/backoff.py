"""When something that failed is tried again, so that a fleet does not do it in one moment. No I/O:
chance is given.

Threat: what fails for one front fails for all (a list service or a platform that goes, a fleet
started at once). Tries that double from the same first pause then come in step, and who has just
come back is asked by all together.
"""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Again:
    """Pauses that double from ``first`` to ``most``, each spread by chance over half of itself to
    one and a half times itself; chance gives numbers from 0 to 1. The mean pause is the same as
    without chance."""

    first: float
    most: float
    chance: Callable[[], float]
    _span: float = field(default=0.0, init=False)

    def pause(self) -> float:
        """How long until the next try, in the unit of ``first``, after one more that failed."""
        self._span = min(self.most, 2 * self._span or self.first)
        return self._span * (0.5 + self.chance())

    def well(self) -> None:
        """A try went well, or another party is asked from now on: the next pause is the first
        again."""
        self._span = 0.0
