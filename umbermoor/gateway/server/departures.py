"""Counts requests whose clients left before their response, and what is still done for them.

A client has left when its side of the connection ended (FIN) or was reset while a request of it was
under way. Work on that request serves nobody from then on: no attempt may begin, and one that may
be repeated ends. This counts and watches, and changes nothing.
"""

from enum import Enum

from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.pending_request import PendingRequest

MAX_ENDING_S = 0.5  # from a client's leaving to the end of an attempt that may be repeated


class Departure(Enum):
    """How a client left."""

    ENDED = "ended"  # the end of its sending came; it may still read, which nothing tells
    RESET = "reset"  # the connection is gone


class DepartureCounter:
    """Counts of one proxy.

    Attributes:
        requests: Requests whose clients left, by how.
        in_flight: Attempts that were in flight at an instance then.
        begun_later: Attempts that were begun after it.
        ended_later: Attempts that ended after it, by outcome.
        longest_s: The longest time from a client's leaving to the end of an attempt.
    """

    def __init__(self, invariants: Invariants) -> None:
        """`invariants`: counts violations."""
        self._invariants = invariants
        self.requests = dict.fromkeys(Departure, 0)
        self.in_flight = 0
        self.begun_later = 0
        self.ended_later = dict.fromkeys(AttemptOutcome, 0)
        self.longest_s = 0.0
        self._reported = 0

    def left(self, pending: PendingRequest, now_s: float, how: Departure) -> None:
        """The client of a request that is worked at left; only the first word of it counts."""
        if pending.left_at is not None or pending.active is None:
            return
        pending.left_at = now_s
        self.requests[how] += 1
        self.in_flight += len(pending.active.attempts)

    def attempt_begun(self, pending: PendingRequest) -> None:
        """An attempt of a request begins."""
        if pending.left_at is not None:
            self.begun_later += 1
            self._invariants.violated(Invariant.NOTHING_BEGUN_FOR_DEPARTED)

    def attempt_ended(
        self, pending: PendingRequest, idempotent: bool, now_s: float, outcome: AttemptOutcome
    ) -> None:
        """An attempt of a request has ended; `idempotent`: whether the request may be repeated."""
        if pending.left_at is None:
            return
        self.ended_later[outcome] += 1
        taken_s = now_s - pending.left_at
        self.longest_s = max(self.longest_s, taken_s)
        if idempotent and taken_s > MAX_ENDING_S:
            self._invariants.violated(
                Invariant.DEPARTED_WORK_ENDED, outcome=outcome.value, taken_s=taken_s
            )

    def counts(self) -> dict[str, float]:
        """What it counted, for the log and the metrics."""
        requests = {f"left_{how.value}": count for how, count in self.requests.items()}
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

    def news(self) -> dict[str, float] | None:
        """The counts, where clients have left since they were last asked for; else None."""
        requests = sum(self.requests.values())
        if requests == self._reported:
            return None
        self._reported = requests
        return self.counts()
