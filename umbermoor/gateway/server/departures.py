"""Counts requests whose clients left before the response, and the work still done for them.

A client has left when it closed (FIN) or reset its connection while one of its requests was in
progress. From then on, no new attempt may start for that request, and an attempt of an idempotent
request must end soon. This module only counts and checks these rules; it does not enforce them.
"""

from enum import Enum

from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.pending_request import PendingRequest

MAX_CANCELLATION_S = 0.5  # from a client's departure to the end of an idempotent attempt


class Departure(Enum):
    """How a client left."""

    ENDED = "ended"  # it sent a FIN; it may still read, which cannot be detected
    RESET = "reset"  # the connection was lost


class DepartureCounter:
    """Counts departed clients of one proxy and the work still done for them.

    Attributes:
        requests: Requests whose clients left, by kind of departure.
        in_flight: Attempts that were in flight when their client left.
        begun_later: Attempts started after their client had left.
        ended_later: Attempts that ended after their client had left, by outcome.
        longest_s: The longest time from a client's departure to the end of an attempt.
    """

    def __init__(self, invariants: Invariants) -> None:
        """Create zeroed counters; violations are counted in `invariants`."""
        self._invariants = invariants
        self.requests = dict.fromkeys(Departure, 0)
        self.in_flight = 0
        self.begun_later = 0
        self.ended_later = dict.fromkeys(AttemptOutcome, 0)
        self.longest_s = 0.0
        self._reported = 0

    def record_departure(self, pending: PendingRequest, now_s: float, departure: Departure) -> None:
        """Record that the client of a request in progress left; only the first call counts."""
        if pending.left_at is not None or pending.active is None:
            return
        pending.left_at = now_s
        self.requests[departure] += 1
        self.in_flight += len(pending.active.attempts)

    def attempt_begun(self, pending: PendingRequest) -> None:
        """Record the start of an attempt; a violation if the client has already left."""
        if pending.left_at is not None:
            self.begun_later += 1
            self._invariants.violated(Invariant.NOTHING_BEGUN_FOR_DEPARTED)

    def attempt_ended(
        self, pending: PendingRequest, idempotent: bool, now_s: float, outcome: AttemptOutcome
    ) -> None:
        """Record the end of an attempt; `idempotent` tells whether its request may be repeated."""
        if pending.left_at is None:
            return
        self.ended_later[outcome] += 1
        taken_s = now_s - pending.left_at
        self.longest_s = max(self.longest_s, taken_s)
        if idempotent and taken_s > MAX_CANCELLATION_S:
            self._invariants.violated(
                Invariant.DEPARTED_WORK_ENDED, outcome=outcome.value, taken_s=taken_s
            )

    def counts(self) -> dict[str, float]:
        """Return the counts for the log and the metrics."""
        requests = {f"left_{departure.value}": count for departure, count in self.requests.items()}
        ended = {
            f"left_{outcome.value}": count for outcome, count in self.ended_later.items() if count
        }
        return {
            **requests,
            "left_in_flight": self.in_flight,
            "left_begun_later": self.begun_later,
            **ended,
            "left_longest_s": self.longest_s,
        }

    def counts_if_changed(self) -> dict[str, float] | None:
        """Return the counts if clients have left since the last call; otherwise None."""
        requests = sum(self.requests.values())
        if requests == self._reported:
            return None
        self._reported = requests
        return self.counts()
