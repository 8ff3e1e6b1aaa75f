"""What must hold in a running process, counted where it does not.

A violation is logged as `invariant_violated` and shown by the metrics; the process goes on. Tests
and the soak fail on any.
"""

from enum import Enum
from typing import Any

from umbermoor.gateway.server.events import event


class Invariant(Enum):
    """A property that holds whatever fails around the process."""

    # Proxy: what is begun ends before the process does.
    REQUEST_ANSWERED = "request_answered"  # if it was begun, and its client waits
    REQUEST_BEGUN_IN_TIME = "request_begun_in_time"  # none is begun after the lame-duck phase
    # Proxy: work ends with whom it is for.
    NOTHING_BEGUN_FOR_DEPARTED = "nothing_begun_for_departed"  # for a client that has left
    DEPARTED_WORK_ENDED = "departed_work_ended"  # what may be repeated ends with its client
    # Controller: the same of calls, and what was acknowledged stays.
    CALL_ANSWERED = "call_answered"
    STATE_NEVER_OLDER = "state_never_older"  # the committed version only rises
    READ_NEVER_OLDER = "read_never_older"  # no read shows less than was acknowledged before it


class Invariants:
    """Counts violations of one process.

    Attributes:
        violations: How often each invariant did not hold.
    """

    def __init__(self) -> None:
        self.violations = dict.fromkeys(Invariant, 0)

    def violated(self, invariant: Invariant, **pairs: Any) -> None:
        """An invariant does not hold; `pairs` say what was seen, for the log."""
        self.violations[invariant] += 1
        event("invariant_violated", invariant=invariant.value, **pairs)

    def total(self) -> int:
        """All violations."""
        return sum(self.violations.values())

    def counts(self) -> dict[str, int]:
        """Violations by the invariant's name."""
        return {invariant.value: count for invariant, count in self.violations.items()}
