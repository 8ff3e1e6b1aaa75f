"""What a proxy knows of the requests that it began, to tell how one of them got no answer.

It counts, and changes nothing. A request is begun when it is handed to the request handler, so from
then on an instance may execute it.
"""

from collections.abc import Callable
from enum import Enum

from umbermoor.gateway.server.events import event
from umbermoor.gateway.server.pending_request import PendingRequest

NO_INSTANCE = "none"


class UnansweredCause(Enum):
    """Why a request that was begun has no answer."""

    CLIENT_LEFT = "client_left"  # its client closed or reset the connection
    CLOSED_BY_PROXY = "closed_by_proxy"  # this process closed the connection
    PROCESS_ENDED = "process_ended"  # the time of grace was over


class RequestAudit:
    """Counts requests begun while the proxy drains, and those that were never answered.

    Attributes:
        drain_began_at: When SIGTERM came, in seconds of the clock; None before.
        begun_draining: Requests begun since then.
        begun_behind: Of these, those with another one before them on their connection.
        last_begun_s: How long after SIGTERM the last of these was begun.
        unanswered: Requests that were begun and got no answer, by cause.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: seconds of a steady clock."""
        self._clock = clock
        self.drain_began_at: float | None = None
        self.begun_draining = 0
        self.begun_behind = 0
        self.last_begun_s = 0.0
        self.unanswered = dict.fromkeys(UnansweredCause, 0)

    def drain_began(self) -> None:
        """SIGTERM came."""
        self.drain_began_at = self._clock()

    def begun(self, pending: PendingRequest) -> None:
        """A request is handed to the request handler."""
        if self.drain_began_at is None:
            return
        self.begun_draining += 1
        self.begun_behind += pending.ahead > 0
        self.last_begun_s = self._clock() - self.drain_began_at

    def never_answered(
        self, pending: PendingRequest, accepted_at: float, cause: UnansweredCause
    ) -> None:
        """A request that was begun will get no answer; logged where its client waits for it.

        Args:
            pending: The request.
            accepted_at: When its connection was accepted, in seconds of the clock.
            cause: Why.
        """
        self.unanswered[cause] += 1
        if cause is UnansweredCause.CLIENT_LEFT:
            return
        began_at = self._clock() if self.drain_began_at is None else self.drain_began_at
        active = pending.active
        event(
            "request_unanswered",
            cause=cause.value,
            draining=self.drain_began_at is not None,
            ended_s=self._clock() - began_at,
            accepted_s=accepted_at - began_at,
            first_byte_s=pending.first_byte_at - began_at,
            read_s=pending.read_at - began_at,
            ahead=pending.ahead,
            state=active.lifecycle.state.value if active else NO_INSTANCE,
            attempts=active.attempts_made if active else 0,
            in_flight=len(active.attempts) if active else 0,
        )

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
