"""Every state of a front, and what each event does in it; in one table that leaves nothing out."""

from enum import Enum, auto


class State(Enum):
    STARTING = "starting"  # not asked by clients yet
    SERVING = "serving"
    RESUMING = "resuming"  # back in service, and takes more and more
    DRAINING = "draining"  # answers what it has, and what still comes; tells clients to go
    DRAINED = "drained"  # has nothing in hand, and takes nothing
    LEAVING = "leaving"  # on its way out; there is no way back


class Event(Enum):
    READY = auto()  # list and stage are known
    DRAIN = auto()  # the operators ask for it
    RESUME = auto()  # and take it back
    LEAVE = auto()  # SIGTERM
    EMPTY = auto()  # nothing is in hand any more
    DEADLINE = auto()  # what was in hand has been given up on
    RAMPED = auto()  # it has been back for long enough


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

UP = frozenset({State.SERVING, State.RESUMING})  # where GET /up says so
CLOSES = frozenset(
    {State.DRAINING, State.DRAINED, State.LEAVING}
)  # where each answer tells its client to go
VOTES = frozenset({State.SERVING})  # elsewhere its evidence is of too little, or too old
