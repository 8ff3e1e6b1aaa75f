"""The ledger of what was seen from outside a front, and the audit of the five rules against it.

The ledger knows nothing of a front's state: clients, machines and the news that was handed over
write it. A breach names
query or machine, and the time. Microseconds. Only what may still matter is kept while the day goes
on.
"""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.front.interface import NEVER_RAN, Ending, Phase, Readiness
from umbermoor.lab.day import Day, micros


class Breach(NamedTuple):
    rule: int
    what: str
    query: str
    machine: str
    at: int


@dataclass(slots=True)
class Taken:
    """A query that a front took."""

    front: str
    profile: int
    due: int
    answered: int = 0
    sent: int = 0  # hand-offs written whole
    unsure: int = 0  # of these, those not known not to have run
    runs: int = 0
    left: bool = False


@dataclass(slots=True)
class _Exposure:
    """One front's hand-offs to a build on trial and the queries it took, in one scope, since the
    cap last fell."""

    free: float
    span: int
    cap: float = 1.0
    taken: deque[int] = field(default_factory=deque)
    sent: deque[int] = field(default_factory=deque)


class Ledger:
    SLACK = 100_000  # an answer may be so much late: it was on its way

    def __init__(self, day: Day, slack: int = SLACK, crossing: int = 0) -> None:
        """``crossing``: what is sent and what is answered are noted by processes of their own, so
        that far apart."""
        self._day, self._slack, self._crossing = day, slack, crossing
        self._binding = [row.repeat == "once" for row in day.profile]
        self._open: dict[str, Taken] = {}
        self._ended: deque[tuple[int, str]] = deque()
        self._leaving: dict[tuple[str, str], int] = {}  # front and machine: since when it is told
        self._stages: dict[str, tuple[int, int, Phase, float, int]] = {}
        self._exposed: dict[tuple[str, int], _Exposure] = {}
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self.saved = 0

    # What was seen.

    def taken(self, now: int, front: str, query: str, profile: int, due: int) -> None:
        self._open[query] = Taken(front, profile, due)
        self.counts["taken"] += 1
        exposure = self._exposure(front, profile)
        exposure.taken.append(now)
        self._forget(now)

    def answered(self, now: int, query: str, what: str) -> None:
        """The front's final answer, at the client: done, denied or abandoned."""
        held = self._open.get(query)
        if held is None:
            return self._breach(1, "an answer to nothing that is open", query, "", now)
        if held.answered and not held.left:
            return self._breach(1, "a second answer", query, "", now)
        if held.left:
            return None
        held.answered = now
        self.counts[what] += 1
        if now > held.due + self._slack:
            self._breach(
                1, f"answered {(now - held.due) // 1000} ms after its time", query, "", now
            )
        if what == "denied" and self._binding[held.profile] and held.unsure:
            self._breach(2, "denied though it may have run", query, "", now)
        self._ended.append((now, query))
        return None

    def gave_up(self, now: int, query: str) -> None:
        """The client has left."""
        held = self._open.get(query)
        if held and not held.answered:
            if now > held.due + self._slack:
                self._breach(1, "never answered", query, "", now)
            held.answered, held.left = now, True
            self.counts["left"] += 1
            self._ended.append((now, query))

    def dropped(self, now: int, front: str) -> None:
        """The front was killed: what it held is no longer its duty."""
        for query, held in self._open.items():
            if held.front == front and not held.answered:
                held.answered, held.left = now, True
                self._ended.append((now, query))
        self._leaving = {key: at for key, at in self._leaving.items() if key[0] != front}
        self._exposed = {key: one for key, one in self._exposed.items() if key[0] != front}

    def sent(self, now: int, query: str, machine: str, build: int) -> None:
        """A hand-off of which the last byte is written."""
        held = self._open.get(query)
        if held is None:
            return self._breach(1, "sent though it is not open", query, machine, now)
        self.counts["hand-offs"] += 1
        if held.answered and now > held.answered + self._crossing:
            self._breach(
                1,
                f"sent {(now - held.answered) / 1000:.1f} ms after its answer",
                query,
                machine,
                now,
            )
        if self._binding[held.profile] and held.unsure:
            self._breach(2, "sent again though it may have run", query, machine, now)
        held.sent += 1
        held.unsure += 1
        leaves = self._leaving.get((held.front, machine))
        if leaves is not None and now > leaves + micros(self._day.listing.grace_s):
            self._breach(
                3,
                f"sent {(now - leaves) // 1000} ms after its leaving was told",
                query,
                machine,
                now,
            )
        self._expose(now, held, query, machine, build)
        return None

    def outcome(self, query: str, ending: Ending) -> None:
        """What the front was told of a hand-off."""
        held = self._open.get(query)
        if held is not None and ending in NEVER_RAN and held.unsure:
            held.unsure -= 1

    def ran(self, now: int, query: str, machine: str) -> None:
        held = self._open.get(query)
        if held is not None:
            held.runs += 1
            self.counts["runs"] += 1
            if held.runs > 1 and self._binding[held.profile]:
                self._breach(2, f"run {held.runs} times", query, machine, now)

    def fell(self, now: int, machine: str) -> None:
        self._breach(4, "pushed over while cold", "", machine, now)

    def told_list(self, now: int, front: str, machine: str, readiness: Readiness) -> None:
        if readiness is Readiness.READY:
            self._leaving.pop((front, machine), None)
        else:
            self._leaving.setdefault((front, machine), now)

    def told_stage(
        self, now: int, front: str, build: int, stage: int, phase: Phase, cap: float
    ) -> None:
        old = self._stages.get(front)
        self._stages[front] = build, stage, phase, cap, now
        for key, exposure in self._exposed.items():
            if key[0] == front and (old is None or old[0] != build or cap < exposure.cap):
                exposure.taken.clear()
                exposure.sent.clear()
            if key[0] == front:
                exposure.cap = cap

    # The end.

    def close(self, now: int) -> list[Breach]:
        """All that is left when the day is over."""
        for query, held in self._open.items():
            if not held.answered and now > held.due + self._slack:
                self._breach(1, "never answered", query, "", held.due)
        return self.breaches

    # Within.

    def _forget(self, now: int) -> None:
        """Ended queries are kept for a while, for what may still come for them."""
        while self._ended and self._ended[0][0] < now - 20_000_000:
            self._open.pop(self._ended.popleft()[1], None)

    def _exposure(self, front: str, profile: int) -> _Exposure:
        key = front, profile
        if key not in self._exposed:
            terms = self._day.platform
            stage = self._stages.get(front)
            self._exposed[key] = _Exposure(
                terms.free, micros(terms.window_s), stage[3] if stage else 1.0
            )
        return self._exposed[key]

    def _expose(self, now: int, held: Taken, query: str, machine: str, build: int) -> None:
        stage = self._stages.get(held.front)
        if stage is None or build < stage[0] or (build == stage[0] and stage[2] is Phase.RELEASED):
            return
        self.counts["on trial"] += 1
        place, cap = (
            (stage[1], stage[3]) if build == stage[0] else (0, min(stage[3], self._first_cap))
        )
        if place < self._day.platform.guarded and self._binding[held.profile]:
            self._breach(5, "a binding query in a guarded stage", query, machine, now)
        exposure = self._exposure(held.front, held.profile)
        exposure.sent.append(now)
        for run in (exposure.sent, exposure.taken):
            while run and run[0] < now - exposure.span:
                run.popleft()
        allowed = exposure.free + cap * len(exposure.taken)
        if len(exposure.sent) > allowed + 1e-9 and now > stage[4] + micros(
            self._day.listing.grace_s
        ):
            self._breach(
                5,
                f"{len(exposure.sent)} hand-offs to the trial where {allowed:.2f} may be",
                query,
                machine,
                now,
            )

    @property
    def _first_cap(self) -> float:
        return min(1.0, self._day.platform.stages[0] * self._day.platform.slack)

    def _breach(self, rule: int, what: str, query: str, machine: str, at: int) -> None:
        if len(self.breaches) < 1000:
            self.breaches.append(Breach(rule, what, query, machine, at))


def by_rule(breaches: list[Breach]) -> dict[int, int]:
    counted: dict[int, int] = defaultdict(int)
    for one in breaches:
        counted[one.rule] += 1
    return dict(sorted(counted.items()))
