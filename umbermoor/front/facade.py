"""The decision module in blocking style, for any front: pick, report, tick. It translates and
decides nothing.

pick says where a query goes, that it is denied, abandoned or held. report tells what became of a
hand-off, or anything else that was heard, and answers what to do next. tick does what time brings;
the time at which it wants to be called again stands in ``next_tick``. Times are whole microseconds
of the clock that the host gives.
"""

from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from umbermoor.front.interface import Charter, Do, Ending, Entry, Listing, News, Verdict
from umbermoor.front.records import Contrast, Pace
from umbermoor.front.rules import Front

# What a front is asked to do next.


class Go(NamedTuple):
    """Hand the query to this machine, and wait no longer than the limit for its answer."""

    query: str
    number: int
    machine: str
    limit: int


class Stop(NamedTuple):
    """Wait no longer for this hand-off."""

    query: str
    number: int


class Denied(NamedTuple):
    query: str
    wait: int  # when to come back; 0: no advice


class Abandoned(NamedTuple):
    query: str


class Held(NamedTuple):
    query: str


class Vote(NamedTuple):
    build: int
    stage: int
    verdict: Verdict


class Watch(NamedTuple):
    """Ask for the list of machines and its changes."""


class Probe(NamedTuple):
    machine: str


class Tell(NamedTuple):
    payload: bytes
    peer: int


class Note(NamedTuple):
    text: str


Fate = Go | Denied | Abandoned | Held
Step = Go | Stop | Denied | Abandoned | Vote | Watch | Probe | Tell | Note


# What a front reports.


class Asked(NamedTuple):
    query: str
    profile: int
    key: str | None
    due: int
    cost: int | None  # a guess at the work, in microseconds
    repeated: bool


class Connected(NamedTuple):
    """This hand-off had to wait for its connection. The answer holds it again if it may still be
    sent."""

    go: Go


class Ended(NamedTuple):
    query: str
    number: int
    machine: str
    ending: Ending
    took: int


class Left(NamedTuple):
    """The client has gone."""

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
    """A peer's message."""

    peer: int
    payload: bytes


Heard = Connected | Ended | Left | Listed | News | Tally | Complaint | Probed | Told

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
    def __init__(self, charter: Charter, clock: Callable[[], int]) -> None:
        self._front, self._clock = Front(charter), clock
        self._steps: deque[Step] = deque()  # decided beside a pick, and not told yet
        self._numbers: dict[str, int] = {}  # hand-offs so far, of the queries held
        self._wake = clock()

    @property
    def next_tick(self) -> int:
        return self._clock() if self._steps else self._wake

    def pick(self, asked: Asked) -> Fate:
        self._numbers[asked.query] = 0
        self._front.take_query(self._clock(), *asked)
        self._pull()
        for step in self._steps:
            if isinstance(step, Go | Denied | Abandoned) and step.query == asked.query:
                self._steps.remove(step)
                return step
        return Held(asked.query)

    def report(self, heard: Heard) -> list[Step]:
        now, front = self._clock(), self._front
        match heard:
            case Connected(go):
                return [go] if front.may_still(now, go.query, go.number) else []
            case Ended(query, number, machine, ending, took):
                front.hand_off_ended(now, query, number, machine, ending, took, ending is Ending.OK)
                if ending is Ending.OK:
                    self._numbers.pop(query, None)
            case Left(query):
                self._numbers.pop(query, None)
                front.client_left(now, query)
            case Listed(kind, entries):
                front.list_news(now, kind, entries)
            case News():
                front.release_news(now, heard)
            case Tally():
                front.tally(now, *heard)
            case Complaint():
                front.complaint(now, *heard)
            case Probed():
                front.probe_ended(now, *heard)
            case Told(peer, payload):
                front.peer_message(now, peer, payload)
        return self._next()

    def forget(self) -> None:
        """What was seen of the stage is too old to vote on."""
        front = self._front
        front.stage, front.past_stages, front.paces = (
            front.stage.next_stage(),
            Contrast(),
            (Pace(), Pace()),
        )

    def remember(self) -> tuple[float, float, float, tuple[float, ...], list[tuple]]:
        """What is worth keeping over a restart: the fleet's pace, what a machine carried, usual
        work, and by machine its
        id, build, start, answer times, work ahead of them, usual silence and failures."""
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
        """The same, after a restart. Of machines those are taken that are listed; their times are
        as of now."""
        front, now = self._front, self._clock()
        if took > 0 < work and len(usual) == len(front.usual_work):
            front.took, front.work, front.usual_work = took, work, list(usual)
            front.peak_work_rate = max(front.peak_work_rate, carried)
        for id, build, born, *seen in machines:
            known = front.machines.get(id)
            if known and (known.build, known.born) == (build, born):
                known.took, known.work, known.gap, known.failure_rate = seen
                known.updated_at = now

    def tick(self) -> list[Step]:
        self._front.woken(self._clock())
        return self._next()

    def _next(self) -> list[Step]:
        self._pull()
        steps = list(self._steps)
        self._steps.clear()
        return steps

    def _pull(self) -> None:
        while decision := self._front.decide(now := self._clock()):
            do, *values = decision
            if do is Do.WAKE:
                self._wake = values[0] if self._wake <= now else min(self._wake, values[0])
            elif do is Do.HAND_OFF:
                query, machine, limit = values
                number = self._numbers.get(query, 0)
                self._numbers[query] = number + 1
                self._steps.append(Go(query, number, machine, limit))
            else:
                if do in (Do.DENY, Do.ABANDON):
                    self._numbers.pop(values[0], None)
                self._steps.append(_STEPS[do](*values))
