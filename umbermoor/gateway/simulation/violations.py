"""Names of the invariants of the simulations, and the exception for violations."""

from enum import Enum

from umbermoor.gateway.units import SECOND


class Invariant(Enum):
    """A property that must hold in every simulation under all injected faults."""

    # Safety of the replicated state
    ACKNOWLEDGED_LOST = "acknowledged_lost"  # acknowledged data is missing
    STALE_READ = "stale_read"  # a read returned older data than was reported before it began
    STATE_DIVERGED = "state_diverged"  # two states of a version, or two ends of a rollout
    STATE_WENT_BACK = "state_went_back"  # an older state was in force after a newer one
    REVISION_REUSED = "revision_reused"  # two contents under one revision
    UNKNOWN_CONTENT = "unknown_content"  # content that was never sent, or was rejected
    STALE_LEADER = "stale_leader"  # a controller kept deciding after it was replaced as head
    NOT_LINEARIZABLE = "not_linearizable"  # contradictory results of calls or decisions

    # Answers
    ORDER_REJECTED = "order_rejected"  # a valid order was rejected
    INVALID_ACCEPTED = "invalid_accepted"  # an invalid configuration was acknowledged
    ANSWERED_TWICE = "answered_twice"
    NOT_ACKNOWLEDGED = "not_acknowledged"  # no answer within ackS although there was a quorum

    # Proxies
    PROXY_WENT_BACK = "proxy_went_back"  # to an older configuration, or to an instance that left
    READY_WHILE_STALE = "ready_while_stale"  # ready with a revision older than at its start
    NOT_CONVERGED = "not_converged"  # a change was not applied within convergenceS or stretchS
    MISROUTED = "misrouted"  # a request was sent to an instance of another service
    DRAINING_USED = "draining_used"  # an instance is used drainS after acknowledged draining
    ROLLOUT_EXPOSURE = "rollout_exposure"  # a bad version got more requests than allowed

    # Programs
    PROCESS_EXITED = "process_exited"  # a program ended unexpectedly
    UNHANDLED_ERROR = "unhandled_error"  # an event loop reported an error
    NOT_STARTED = "not_started"  # the system did not come up
    NOT_RECOVERED = "not_recovered"  # the system did not recover after all faults ended


class InvariantViolation(AssertionError):  # noqa: N818 - the field's term
    """An invariant does not hold.

    Attributes:
        invariant: the violated invariant.
        detail: the observation, in one line.
        at: virtual time in microseconds.
    """

    def __init__(self, invariant: Invariant, detail: str, at: int) -> None:
        super().__init__(f"{invariant.value}: {detail} (at {at / SECOND:.3f} s)")
        self.invariant, self.detail, self.at = invariant, detail, at
