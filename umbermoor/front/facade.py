"""A synchronous interface to the decision module, for any front: pick, report and tick.

It only translates; the decisions are made by `rules.Front`. pick returns where a query goes, or
that it is denied, abandoned or held. report takes the outcome of a hand-off or any other event, and
returns what to do next. tick handles what is due by time; ``next_tick`` is when to call it next.
Times are whole microseconds of the clock that the caller provides.
"""

from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from umbermoor.front.interface import Charter, Do, Ending, Entry, Listing, News, Verdict
from umbermoor.front.records import Contrast, Pace
from umbermoor.front.rules import Front

# Steps that a front has to execute.


class Go(NamedTuple):
    """Hand the query to this machine; wait for its answer for at most `limit` microseconds."""

    query: str
    number: int
    machine: str
    limit: int


class Stop(NamedTuple):
    """Cancel this hand-off."""

    query: str
    number: int


class Denied(NamedTuple):
    query: str
    wait: int  # microseconds after which the client may retry; 0: unspecified


class Abandoned(NamedTuple):
    query: str


class Held(NamedTuple):
    query: str


class Vote(NamedTuple):
    build: int
    stage: int
    verdict: Verdict


class Watch(NamedTuple):
    """Request the list of machines and watch it for changes."""


class Probe(NamedTuple):
    machine: str


class Tell(NamedTuple):
    payload: bytes
    peer: int


class Note(NamedTuple):
    text: str


PickResult = Go | Denied | Abandoned | Held
Step = Go | Stop | Denied | Abandoned | Vote | Watch | Probe | Tell | Note


# Events that a front reports.


class Asked(NamedTuple):
    query: str
    profile: int
    key: str | None
    due: int
    cost: int | None  # the client's estimate of the work, in microseconds
    repeated: bool


class Connected(NamedTuple):
    """The connection for this hand-off is established.

    The answer contains the hand-off again if it may still be sent.
    """

    go: Go


class Ended(NamedTuple):
    query: str
    number: int
    machine: str
    ending: Ending
    took: int


class Left(NamedTuple):
    """The client has disconnected."""

    query: str


class Listed(NamedTuple):
    kind: Listing
    entries: Sequence[Entry]


class Tally(NamedTuple):
    build: int
    profile: int
    counted: int
    lost: int
    took: int
    age: int


class Complaint(NamedTuple):
    machine: str
    profile: int
    age: int


class Probed(NamedTuple):
    machine: str
    ending: Ending
    load: Sequence[float] | None


class Told(NamedTuple):
    """A message from a peer."""

    peer: int
    payload: bytes


FrontEvent = Connected | Ended | Left | Listed | News | Tally | Complaint | Probed | Told

_STEPS: dict[Do, Callable[..., Step]] = {
    Do.CANCEL: Stop,
    Do.DENY: Denied,
    Do.ABANDON: Abandoned,
    Do.VOTE: Vote,
    Do.WATCH: Watch,
    Do.PROBE: Probe,
    Do.TELL: Tell,
    Do.NOTE: Note,
}


class DecisionModule:
    """The synchronous interface to one front's decisions."""

    def __init__(self, charter: Charter, clock: Callable[[], int]) -> None:
        self._front, self._clock = Front(charter), clock
        self._steps: deque[Step] = deque()  # decided during a pick, and not returned yet
        self._hand_off_counts: dict[str, int] = {}  # number of hand-offs so far, by pending query
        self._wake_at = clock()

    @property
    def next_tick(self) -> int:
        return self._clock() if self._steps else self._wake_at

    def pick(self, asked: Asked) -> PickResult:
        self._hand_off_counts[asked.query] = 0
        self._front.take_query(self._clock(), *asked)
        self._collect_steps()
        for step in self._steps:
            if isinstance(step, Go | Denied | Abandoned) and step.query == asked.query:
                self._steps.remove(step)
                return step
        return Held(asked.query)

    def report(self, event: FrontEvent) -> list[Step]:
        now, front = self._clock(), self._front
        match event:
            case Connected(go):
                return [go] if front.may_still(now, go.query, go.number) else []
            case Ended(query, number, machine, ending, took):
                front.hand_off_ended(now, query, number, machine, ending, took, ending is Ending.OK)
                if ending is Ending.OK:
                    self._hand_off_counts.pop(query, None)
            case Left(query):
                self._hand_off_counts.pop(query, None)
                front.client_left(now, query)
            case Listed(kind, entries):
                front.list_news(now, kind, entries)
            case News():
                front.release_news(now, event)
            case Tally():
                front.tally(now, *event)
            case Complaint():
                front.complaint(now, *event)
            case Probed():
                front.probe_ended(now, *event)
            case Told(peer, payload):
                front.peer_message(now, peer, payload)
        return self._take_steps()

    def forget(self) -> None:
        """Discard the observations of the current stage, which are too old to vote on."""
        front = self._front
        front.stage, front.past_stages, front.paces = (
            front.stage.next_stage(),
            Contrast(),
            (Pace(), Pace()),
        )

    def remember(self) -> tuple[float, float, float, tuple[float, ...], list[tuple]]:
        """Return the state to keep over a restart.

        Returns:
            The fleet's answer time and work, the peak work rate of a machine, the usual work by
            profile, and by machine its id, build, start, answer time, work, usual gap between
            answers and failure rate.
        """
        front = self._front
        return (
            front.took,
            front.work,
            front.peak_work_rate,
            tuple(front.usual_work),
            [
                (one.id, one.build, one.born, one.took, one.work, one.gap, one.failure_rate)
                for one in front.machines.values()
            ],
        )

    def recall(
        self,
        took: float,
        work: float,
        carried: float,
        usual: Sequence[float],
        machines: Sequence[tuple],
    ) -> None:
        """Restore the state of `remember` after a restart.

        Machines that are not listed with the same build and start are skipped; the others count as
        updated now.
        """
        front, now = self._front, self._clock()
        if took > 0 < work and len(usual) == len(front.usual_work):
            front.took, front.work, front.usual_work = took, work, list(usual)
            front.peak_work_rate = max(front.peak_work_rate, carried)
        for id, build, born, *seen in machines:
            machine = front.machines.get(id)
            if machine and (machine.build, machine.born) == (build, born):
                machine.took, machine.work, machine.gap, machine.failure_rate = seen
                machine.updated_at = now

    def tick(self) -> list[Step]:
        self._front.woken(self._clock())
        return self._take_steps()

    def _take_steps(self) -> list[Step]:
        self._collect_steps()
        steps = list(self._steps)
        self._steps.clear()
        return steps

    def _collect_steps(self) -> None:
        while decision := self._front.decide(now := self._clock()):
            do, *values = decision
            if do is Do.WAKE:
                self._wake_at = values[0] if self._wake_at <= now else min(self._wake_at, values[0])
            elif do is Do.HAND_OFF:
                query, machine, limit = values
                number = self._hand_off_counts.get(query, 0)
                self._hand_off_counts[query] = number + 1
                self._steps.append(Go(query, number, machine, limit))
            else:
                if do in (Do.DENY, Do.ABANDON):
                    self._hand_off_counts.pop(values[0], None)
                self._steps.append(_STEPS[do](*values))
