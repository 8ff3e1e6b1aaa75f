"""Lifecycle state of a front: commands, drain deadline and the ramp after a resume, without I/O.

The host passes on commands, asks `admits` for each query, and calls `tick` at `next_at` with the
number of queries in flight; it then carries out the returned `DrainAction`s. Transitions follow
`states.TABLE`. Times are microseconds.
"""

from enum import Enum
from typing import NamedTuple

from umbermoor.front.lifecycle.states import CLOSES, TABLE, UP, VOTES, Event, State

SECOND = 1_000_000
DEFAULT_DEADLINE = 30 * SECOND  # of a drain request that gives none
MAX_DEADLINE = 3600 * SECOND
RAMP_TIME = 5 * SECOND  # from a resume until the front accepts its full load again
RAMP_START = 4  # concurrent queries that a front accepts right after a resume
BACK_IN = SECOND  # after which a client whose query was not accepted should retry
DRAINED_AFTER = (
    SECOND // 10
)  # idle time before it counts as drained: a query that was already on its way is still read


class DrainAction(Enum):
    """An action that the host of a `DrainKeeper` carries out."""

    CLOSE_IDLE = "tell idle clients to go"
    GIVE_UP = "answer at once all that is in hand"
    FORGET = "evidence is too old to vote on"


class StateChange(NamedTuple):
    """One state change, as shown to operators."""

    at: int
    state: State
    why: str


class DrainKeeper:
    """Lifecycle state of one front.

    Args:
        now: current time.
        capacity: concurrent queries that the front can hold at most.
    """

    def __init__(self, now: int, capacity: int) -> None:
        self.state, self._capacity = State.STARTING, max(RAMP_START, capacity)
        self.deadline: int | None = None
        self._resumed_at = 0
        self._empty_since: int | None = None
        self._actions: list[DrainAction] = []
        self.history: list[StateChange] = [StateChange(now, self.state, "start")]

    # Commands.

    def ready(self, now: int) -> None:
        """Enter service: the machine list and the rollout stage are known."""
        self._move(now, Event.READY, "list and stage are known")

    def drain(self, now: int, within: int | None = None) -> str:
        """Start a drain that ends within `within`; return the result as text for the operator.

        During a drain the new deadline replaces the old one.
        """
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
        """Cancel a drain or end the drained state; return the result as text for the operator."""
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
        """Begin the shutdown."""
        self.deadline = None
        self._move(now, Event.LEAVE, "SIGTERM")

    # Queries.

    def admits(self, now: int, in_hand: int) -> bool:
        """Return whether a new query is accepted.

        A query that is not accepted has not been executed; its client is told when to retry.
        """
        if self.state is State.DRAINED:
            return False
        return self.state is not State.RESUMING or in_hand < self.max_in_hand(now)

    def max_in_hand(self, now: int) -> int:
        """Return how many concurrent queries are accepted: after a resume it grows linearly."""
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
        """Whether `GET /up` reports the front as in service."""
        return self.state in UP

    @property
    def closes(self) -> bool:
        """Whether responses tell their clients to close the connection."""
        return self.state in CLOSES

    @property
    def votes(self) -> bool:
        """Whether the front may vote on a rollout."""
        return self.state in VOTES

    # Time.

    def next_at(self, now: int) -> int | None:
        """Return when `tick` is due next, or None if no timer runs."""
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
        """Advance the timers and return the actions for the host to carry out now.

        At the deadline the front is not drained before all queries are answered: the host answers
        them on `GIVE_UP`, and the next tick finds none in flight.
        """
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
