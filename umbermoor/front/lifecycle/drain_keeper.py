"""Keeps a front's state by the table: commands, deadlines and the ramp; decisions without I/O.
Times are microseconds.

A host reports commands and what it has in hand, asks ``admits`` for each query, and calls ``tick``
at ``next_at``; it then
does what ``Due`` says.
"""

from enum import Enum
from typing import NamedTuple

from umbermoor.front.lifecycle.states import CLOSES, TABLE, UP, VOTES, Event, State

SECOND = 1_000_000
DEFAULT_DEADLINE = 30 * SECOND  # of a drain that names none
MAX_DEADLINE = 3600 * SECOND
RAMP_TIME = 5 * SECOND  # from a return until all is taken again
RAMP_START = 4  # queries at once that a front which is back takes at first
BACK_IN = SECOND  # when to come back, for who is turned away
DRAINED_AFTER = (
    SECOND // 10
)  # so long with nothing in hand, and it is drained: a query that crosses is still read


class DrainAction(Enum):
    CLOSE_IDLE = "tell idle clients to go"
    GIVE_UP = "answer at once all that is in hand"
    FORGET = "evidence is too old to vote on"


class StateChange(NamedTuple):
    """One change, for the operators."""

    at: int
    state: State
    why: str


class DrainKeeper:
    def __init__(self, now: int, capacity: int) -> None:
        """``room``: queries at once that the front can hold at the most."""
        self.state, self._capacity = State.STARTING, max(RAMP_START, capacity)
        self.deadline: int | None = None
        self._resumed_at = 0  # when it came back
        self._empty_since: int | None = None
        self._actions: list[DrainAction] = []
        self.history: list[StateChange] = [StateChange(now, self.state, "start")]

    # Commands.

    def ready(self, now: int) -> None:
        self._move(now, Event.READY, "list and stage are known")

    def drain(self, now: int, within: int | None = None) -> str:
        """Asked again, the new deadline takes the old one's place. What came of it, for who
        asked."""
        if self.state is State.LEAVING:
            return "leaving already"
        if self.state is State.DRAINED:
            return "drained already"
        again = self.state is State.DRAINING
        self.deadline = now + min(
            MAX_DEADLINE, max(0, DEFAULT_DEADLINE if within is None else within)
        )
        self._move(now, Event.DRAIN, "asked to drain")
        if not again:
            self._empty_since = None
            self._actions.append(DrainAction.CLOSE_IDLE)
        return "the deadline is moved" if again else "draining"

    def resume(self, now: int) -> str:
        if self.state not in (State.DRAINING, State.DRAINED):
            return {State.LEAVING: "leaving: there is no way back"}.get(
                self.state, "in service already"
            )
        drained = self.state is State.DRAINED
        self._resumed_at, self.deadline = now, None
        self._actions = [one for one in self._actions if one is not DrainAction.CLOSE_IDLE]
        self._move(now, Event.RESUME, "asked to resume")
        if drained:
            self._actions.append(DrainAction.FORGET)
        return "resuming"

    def leave(self, now: int) -> None:
        self.deadline = None
        self._move(now, Event.LEAVE, "SIGTERM")

    # Queries.

    def admits(self, now: int, in_hand: int) -> bool:
        """Whether a query that came is taken; who is not, is told when to come back, and nothing
        was done for it."""
        if self.state is State.DRAINED:
            return False
        return self.state is not State.RESUMING or in_hand < self.max_in_hand(now)

    def max_in_hand(self, now: int) -> int:
        """Queries at once that it takes: few at first, and then more in step with the time since
        its return."""
        if self.state is not State.RESUMING:
            return self._capacity
        return (
            RAMP_START
            + (self._capacity - RAMP_START)
            * max(0, min(RAMP_TIME, now - self._resumed_at))
            // RAMP_TIME
        )

    @property
    def up(self) -> bool:
        return self.state in UP

    @property
    def closes(self) -> bool:
        return self.state in CLOSES

    @property
    def votes(self) -> bool:
        return self.state in VOTES

    # Time.

    def next_at(self, now: int) -> int | None:
        times = []
        if self.state is State.DRAINING:
            times.append(self.deadline)
            times.append(
                (self._empty_since if self._empty_since is not None else now) + DRAINED_AFTER
            )
        if self.state is State.RESUMING:
            times.append(self._resumed_at + RAMP_TIME)
        return min((one for one in times if one is not None), default=None)

    def tick(self, now: int, in_hand: int) -> list[DrainAction]:
        """What is to be done now. At the deadline it is drained only once all has been answered:
        the host does so at once, and the next tick finds nothing in hand."""
        if self.state is State.DRAINING:
            if in_hand:
                self._empty_since = None
            elif self._empty_since is None:
                self._empty_since = now
            if self.deadline is not None and now >= self.deadline:
                if in_hand:
                    self._actions.append(DrainAction.GIVE_UP)
                else:
                    self._move(now, Event.DEADLINE, "the deadline has come")
            elif self._empty_since is not None and now >= self._empty_since + DRAINED_AFTER:
                self._move(now, Event.EMPTY, "nothing is in hand")
        elif self.state is State.RESUMING and now >= self._resumed_at + RAMP_TIME:
            self._move(now, Event.RAMPED, "all is taken again")
        actions, self._actions = self._actions, []
        return actions

    def _move(self, now: int, event: Event, why: str) -> None:
        state = TABLE[self.state, event]
        if state is not self.state:
            self.state = state
            self.history = [*self.history[-63:], StateChange(now, state, why)]
            if state is State.DRAINED:
                self.deadline = None
