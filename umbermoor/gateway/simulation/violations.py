"""What a simulation checks, by name, and the exception that reports a violation."""

from enum import Enum

from umbermoor.gateway.units import SECOND


class Invariant(Enum):
    """A property that holds in every simulation, whatever the faults."""

    # Safety of the replicated state
    ACKNOWLEDGED_LOST = "acknowledged_lost"  # what was acknowledged is gone
    STALE_READ = "stale_read"  # a read gave less than was told before it began
    STATE_DIVERGED = "state_diverged"  # two states of one version, or two ends of one rollout
    STATE_WENT_BACK = "state_went_back"  # an older state stands after a newer one
    REVISION_REUSED = "revision_reused"  # two contents under one revision
    UNKNOWN_CONTENT = "unknown_content"  # a content that nobody sent, or that was rejected
    STALE_LEADER = "stale_leader"  # a controller that was replaced as the head went on deciding
    NOT_LINEARIZABLE = "not_linearizable"  # calls, or decisions, that contradict each other

    # Answers
    ORDER_REJECTED = "order_rejected"  # a valid order was refused
    INVALID_ACCEPTED = "invalid_accepted"  # an invalid configuration was acknowledged
    ANSWERED_TWICE = "answered_twice"
    NOT_ACKNOWLEDGED = "not_acknowledged"  # no answer within ackS, though there was a quorum

    # Proxies
    PROXY_WENT_BACK = "proxy_went_back"  # to an older configuration, or to an instance that left
    READY_WHILE_STALE = "ready_while_stale"  # ready with less than was acknowledged at its start
    NOT_CONVERGED = "not_converged"  # not in force at a proxy within convergenceS or stretchS
    MISROUTED = "misrouted"  # a request was sent to an instance of another service
    DRAINING_USED = "draining_used"  # an instance is used drainS after it was known to drain
    ROLLOUT_EXPOSURE = "rollout_exposure"  # a bad version got more requests than it may

    # Programs
    PROCESS_EXITED = "process_exited"  # a program ended by itself
    UNHANDLED_ERROR = "unhandled_error"  # an event loop reported an error
    NOT_STARTED = "not_started"  # the system did not come up
    NOT_RECOVERED = "not_recovered"  # the system is not in order though all faults are gone


class InvariantViolation(AssertionError):  # noqa: N818 - the field's term
    """An invariant does not hold.

    Attributes:
        invariant: which one.
        detail: what was seen, in one line.
        at: when, in microseconds of the simulated world.
    """

    def __init__(self, invariant: Invariant, detail: str, at: int) -> None:
        super().__init__(f"{invariant.value}: {detail} (at {at / SECOND:.3f} s)")
        self.invariant, self.detail, self.at = invariant, detail, at
