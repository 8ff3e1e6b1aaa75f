"""Watches that every request that a proxy begins is answered, and that none is begun too late.

A request is begun when it is handed to the request handler: from then on an instance may execute
it. The audit counts, and changes nothing.
"""

from collections.abc import Callable
from enum import Enum

from umbermoor.gateway.server.drain import Drain
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.pending_request import PendingRequest

NO_INSTANCE = "none"
BEGUN_TOLERANCE_S = 0.1  # between the look at the clock before a request is begun, and this one


class UnansweredCause(Enum):
    """Why a request that was begun has no answer."""

    CLIENT_LEFT = "client_left"  # its client closed or reset the connection
    CLIENT_STALLED = "client_stalled"  # its client did not read the responses before it
    CLOSED_BY_PROXY = "closed_by_proxy"  # this process closed the connection
    PROCESS_ENDED = "process_ended"  # the process ended first


VIOLATIONS = (UnansweredCause.CLOSED_BY_PROXY, UnansweredCause.PROCESS_ENDED)


class RequestAudit:
    """Counts requests begun while the proxy drains, and those that were never answered.

    Attributes:
        invariants: Counts violations.
        begun_draining: Requests begun since SIGTERM.
        begun_behind: Of these, those with another one before them on their connection.
        last_begun_s: How long after SIGTERM the last of these was begun.
        unanswered: Requests that were begun and got no answer, by cause.
    """

    def __init__(self, clock: Callable[[], float], drain: Drain, invariants: Invariants) -> None:
        """`clock`: seconds of a steady clock; `drain`: the end of the proxy."""
        self._clock = clock
        self._drain = drain
        self.invariants = invariants
        self.begun_draining = 0
        self.begun_behind = 0
        self.last_begun_s = 0.0
        self.unanswered = dict.fromkeys(UnansweredCause, 0)

    def begun(self, pending: PendingRequest) -> None:
        """A request is handed to the request handler."""
        drain = self._drain
        if not drain.began:
            return
        self.begun_draining += 1
        self.begun_behind += pending.ahead > 0
        self.last_begun_s = drain.elapsed_s
        if drain.elapsed_s > drain.lame_duck_s + BEGUN_TOLERANCE_S:
            self.invariants.violated(
                Invariant.REQUEST_BEGUN_IN_TIME,
                begun_s=drain.elapsed_s,
                read_s=self._since_drain_s(pending.read_at),
                ahead=pending.ahead,
            )

    def never_answered(
        self, pending: PendingRequest, accepted_at: float, cause: UnansweredCause
    ) -> None:
        """A request that was begun will get no answer: a violation where its client waits for it.

        Args:
            pending: The request.
            accepted_at: When its connection was accepted, in seconds of the clock.
            cause: Why.
        """
        self.unanswered[cause] += 1
        if cause not in VIOLATIONS:
            return
        active = pending.active
        self.invariants.violated(
            Invariant.REQUEST_ANSWERED,
            cause=cause.value,
            draining=self._drain.began,
            ended_s=self._since_drain_s(self._clock()),
            accepted_s=self._since_drain_s(accepted_at),
            first_byte_s=self._since_drain_s(pending.first_byte_at),
            read_s=self._since_drain_s(pending.read_at),
            ahead=pending.ahead,
            state=active.lifecycle.state.value if active else NO_INSTANCE,
            attempts=active.attempts_made if active else 0,
            in_flight=len(active.attempts) if active else 0,
        )

    def _since_drain_s(self, at: float) -> float:
        """Seconds since SIGTERM; before it, since now."""
        began_at = self._drain.began_at
        return at - (self._clock() if began_at is None else began_at)

    def counts(self) -> dict[str, float]:
        """What it counted, for the log and the metrics."""
        unanswered = {
            f"unanswered_{cause.value}": count for cause, count in self.unanswered.items()
        }
        return {
            "begun_draining": self.begun_draining,
            "begun_behind": self.begun_behind,
            "last_begun_s": self.last_begun_s,
            **unanswered,
        }
