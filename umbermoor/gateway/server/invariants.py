"""Invariants of a running process, and counters of their violations.

A violation is logged as `invariant_violated` and exported as a metric; the process continues. Tests
and the soak test fail on any violation.
"""

from enum import Enum
from typing import Any

from umbermoor.gateway.server.events import event


class Invariant(Enum):
    """A property that holds whatever else in the system fails."""

    # Proxy: a request that was started is answered before the process ends.
    REQUEST_ANSWERED = "request_answered"  # if it was started and its client waits
    REQUEST_BEGUN_IN_TIME = "request_begun_in_time"  # none is started after the lame-duck phase
    # Proxy: work for a request ends when its client leaves.
    NOTHING_BEGUN_FOR_DEPARTED = "nothing_begun_for_departed"  # no attempt starts after that
    DEPARTED_WORK_ENDED = "departed_work_ended"  # attempts of idempotent requests end soon
    # Controller: every call is answered, and acknowledged writes are kept.
    CALL_ANSWERED = "call_answered"
    STATE_NEVER_OLDER = "state_never_older"  # the committed version never decreases
    READ_NEVER_OLDER = "read_never_older"  # a read returns all writes acknowledged before it


class Invariants:
    """Counts the invariant violations of one process.

    Attributes:
        violations: Number of violations of each invariant.
    """

    def __init__(self) -> None:
        self.violations = dict.fromkeys(Invariant, 0)

    def violated(self, invariant: Invariant, **fields: Any) -> None:
        """Count and log a violation; `fields` describe it in the log."""
        self.violations[invariant] += 1
        event("invariant_violated", invariant=invariant.value, **fields)

    def total(self) -> int:
        """Return the number of violations of all invariants."""
        return sum(self.violations.values())

    def counts(self) -> dict[str, int]:
        """Return the number of violations by name of the invariant."""
        return {invariant.value: count for invariant, count in self.violations.items()}
