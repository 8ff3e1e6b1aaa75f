"""Checks that every request a proxy starts is answered, and that none is started too late.

A request is started when it is passed to the request handler: from then on an instance may execute
it. The audit only counts; it does not change how requests are handled.
"""

from collections.abc import Callable
from enum import Enum

from umbermoor.gateway.server.drain import Drain
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.pending_request import PendingRequest

NO_INSTANCE = "none"
# Time that may pass between the check before a request is started and the check here.
START_TOLERANCE_S = 0.1


class UnansweredCause(Enum):
    """Why a request that was started was never answered."""

    CLIENT_LEFT = "client_left"  # its client closed or reset the connection
    CLIENT_STALLED = "client_stalled"  # its client did not read the earlier responses
    CLOSED_BY_PROXY = "closed_by_proxy"  # this process closed the connection
    PROCESS_ENDED = "process_ended"  # the process ended first


VIOLATIONS = (UnansweredCause.CLOSED_BY_PROXY, UnansweredCause.PROCESS_ENDED)


class RequestAudit:
    """Counts requests started while the proxy drains, and requests that were never answered.

    Attributes:
        invariants: Counts violated invariants.
        begun_draining: Requests started since SIGTERM.
        begun_behind: Those of them that were read behind another pending request.
        last_begun_s: Seconds from SIGTERM to the start of the last of them.
        unanswered: Requests that were started and never answered, by cause.
    """

    def __init__(self, clock: Callable[[], float], drain: Drain, invariants: Invariants) -> None:
        """Create an audit with zeroed counts.

        Args:
            clock: Returns seconds of a monotonic clock.
            drain: The drain of the proxy.
            invariants: Counts violated invariants.
        """
        self._clock = clock
        self._drain = drain
        self.invariants = invariants
        self.begun_draining = 0
        self.begun_behind = 0
        self.last_begun_s = 0.0
        self.unanswered = dict.fromkeys(UnansweredCause, 0)

    def request_started(self, pending: PendingRequest) -> None:
        """Record that a request is passed to the request handler."""
        drain = self._drain
        if not drain.began:
            return
        self.begun_draining += 1
        self.begun_behind += pending.ahead > 0
        self.last_begun_s = drain.elapsed_s
        if drain.elapsed_s > drain.lame_duck_s + START_TOLERANCE_S:
            self.invariants.violated(
                Invariant.REQUEST_BEGUN_IN_TIME,
                begun_s=drain.elapsed_s,
                read_s=self._since_drain_s(pending.read_at),
                ahead=pending.ahead,
            )

    def request_unanswered(
        self, pending: PendingRequest, accepted_at: float, cause: UnansweredCause
    ) -> None:
        """Record that a started request will not be answered; a violation if its client waits.

        Args:
            pending: The request.
            accepted_at: Time when its connection was accepted, in seconds of the clock.
            cause: Why it is not answered.
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
        """Return `at` relative to SIGTERM, in seconds; before SIGTERM, relative to now."""
        began_at = self._drain.began_at
        return at - (self._clock() if began_at is None else began_at)

    def counts(self) -> dict[str, float]:
        """Return the counts for the log and the metrics."""
        unanswered = {
            f"unanswered_{cause.value}": count for cause, count in self.unanswered.items()
        }
        return {
            "begun_draining": self.begun_draining,
            "begun_behind": self.begun_behind,
            "last_begun_s": self.last_begun_s,
            **unanswered,
        }
