"""Lifecycle states of a front and a transition table that covers every event in every state."""

from enum import Enum, auto


class State(Enum):
    """Lifecycle state of a front."""

    STARTING = "starting"  # clients do not send queries yet
    SERVING = "serving"
    RESUMING = "resuming"  # in service again, with a growing limit of concurrent queries
    DRAINING = "draining"  # answers old and new queries, and tells clients to disconnect
    DRAINED = "drained"  # no query is in flight, and none is accepted
    LEAVING = "leaving"  # shutting down; cannot be undone


class Event(Enum):
    """Something that may change the state."""

    READY = auto()  # the machine list and the rollout stage are known
    DRAIN = auto()  # an operator requests a drain
    RESUME = auto()  # an operator cancels or ends a drain
    LEAVE = auto()  # SIGTERM
    EMPTY = auto()  # no query is in flight any more
    DEADLINE = auto()  # the drain deadline has passed and the remaining queries were answered
    RAMPED = auto()  # the ramp after a resume is over


S, E = State, Event
TABLE: dict[tuple[State, Event], State] = {
    (S.STARTING, E.READY): S.SERVING,
    (S.STARTING, E.DRAIN): S.DRAINING,
    (S.STARTING, E.RESUME): S.STARTING,
    (S.STARTING, E.LEAVE): S.LEAVING,
    (S.STARTING, E.EMPTY): S.STARTING,
    (S.STARTING, E.DEADLINE): S.STARTING,
    (S.STARTING, E.RAMPED): S.STARTING,
    (S.SERVING, E.READY): S.SERVING,
    (S.SERVING, E.DRAIN): S.DRAINING,
    (S.SERVING, E.RESUME): S.SERVING,
    (S.SERVING, E.LEAVE): S.LEAVING,
    (S.SERVING, E.EMPTY): S.SERVING,
    (S.SERVING, E.DEADLINE): S.SERVING,
    (S.SERVING, E.RAMPED): S.SERVING,
    (S.RESUMING, E.READY): S.RESUMING,
    (S.RESUMING, E.DRAIN): S.DRAINING,
    (S.RESUMING, E.RESUME): S.RESUMING,
    (S.RESUMING, E.LEAVE): S.LEAVING,
    (S.RESUMING, E.EMPTY): S.RESUMING,
    (S.RESUMING, E.DEADLINE): S.RESUMING,
    (S.RESUMING, E.RAMPED): S.SERVING,
    (S.DRAINING, E.READY): S.DRAINING,
    (S.DRAINING, E.DRAIN): S.DRAINING,
    (S.DRAINING, E.RESUME): S.RESUMING,
    (S.DRAINING, E.LEAVE): S.LEAVING,
    (S.DRAINING, E.EMPTY): S.DRAINED,
    (S.DRAINING, E.DEADLINE): S.DRAINED,
    (S.DRAINING, E.RAMPED): S.DRAINING,
    (S.DRAINED, E.READY): S.DRAINED,
    (S.DRAINED, E.DRAIN): S.DRAINED,
    (S.DRAINED, E.RESUME): S.RESUMING,
    (S.DRAINED, E.LEAVE): S.LEAVING,
    (S.DRAINED, E.EMPTY): S.DRAINED,
    (S.DRAINED, E.DEADLINE): S.DRAINED,
    (S.DRAINED, E.RAMPED): S.DRAINED,
    (S.LEAVING, E.READY): S.LEAVING,
    (S.LEAVING, E.DRAIN): S.LEAVING,
    (S.LEAVING, E.RESUME): S.LEAVING,
    (S.LEAVING, E.LEAVE): S.LEAVING,
    (S.LEAVING, E.EMPTY): S.LEAVING,
    (S.LEAVING, E.DEADLINE): S.LEAVING,
    (S.LEAVING, E.RAMPED): S.LEAVING,
}

UP = frozenset({State.SERVING, State.RESUMING})  # states in which GET /up reports "in service"
CLOSES = frozenset(
    {State.DRAINING, State.DRAINED, State.LEAVING}
)  # states in which each response tells its client to close the connection
VOTES = frozenset({State.SERVING})  # in other states its evidence is too little or too old
