"""The audit of a day: what was seen from outside the fronts, held against the users' five rules.

`Ledger` knows nothing of a front's state: clients, machines and the news that was handed over write
it. Times are microseconds. Only what may still matter is kept while the day goes on.
"""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from umbermoor.front.interface import NEVER_RAN, Ending, Phase, Readiness
from umbermoor.lab.day import SECOND, Day, micros

ANSWER_SLACK = 100_000  # microseconds an answer may be late, as it was on its way
KEPT_AFTER_END = 20 * SECOND  # queries are kept for what may still come for them
MAX_BREACHES = 1000  # kept
ROUNDING = 1e-9  # of a count of attempts


class Rule(IntEnum):
    """The users' rules, by their numbers."""

    ONE_ANSWER_IN_TIME = 1
    NO_REPEAT = 2  # of a query that must run once
    NOTHING_TO_LEAVING_MACHINES = 3
    NO_COLLAPSE = 4  # of a machine that warms up
    TRIAL_WITHIN_CAP = 5


class Breach(NamedTuple):
    """A rule that was broken; query and machine are empty where none is concerned."""

    rule: Rule
    what: str
    query: str
    machine: str
    at: int


@dataclass(slots=True)
class _Query:
    """A query that a front took."""

    front: str
    profile: int
    due: int
    ended_at: int = 0  # 0: it is open
    has_left: bool = False  # its client no longer waits
    attempts: int = 0  # sent whole
    unsure: int = 0  # of these, those not known not to have run
    runs: int = 0


class _Stage(NamedTuple):
    """The news of a release, as a front was told it."""

    build: int
    stage: int
    phase: Phase
    cap: float
    told_at: int


@dataclass(slots=True)
class _Exposure:
    """A front's queries of one profile, and its attempts to builds on trial, since the cap fell."""

    free: float  # attempts that need no share
    window: int
    cap: float = 1.0
    queries: deque[int] = field(default_factory=deque)  # times
    attempts: deque[int] = field(default_factory=deque)  # times

    def allowed(self, now: int, cap: float) -> float:
        """Forget what lies before the window; return how many attempts it may hold at this cap."""
        for times in (self.attempts, self.queries):
            while times and times[0] < now - self.window:
                times.popleft()
        return self.free + cap * len(self.queries)


class Ledger:
    """The record of a day, and the breaches that it shows.

    Args:
        day: what is played.
        slack: microseconds an answer may be late.
        crossing: microseconds by which attempts and answers may be out of order, where processes of
            their own note them.
    """

    def __init__(self, day: Day, slack: int = ANSWER_SLACK, crossing: int = 0) -> None:
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self._day, self._slack, self._crossing = day, slack, crossing
        self._runs_once = [row.repeat == "once" for row in day.profile]
        self._first_cap = min(1.0, day.platform.stages[0] * day.platform.slack)
        self._grace = micros(day.listing.grace_s)
        self._queries: dict[str, _Query] = {}
        self._ended: deque[tuple[int, str]] = deque()
        self._leaving_since: dict[tuple[str, str], int] = {}  # by front and machine
        self._stages: dict[str, _Stage] = {}  # by front
        self._exposures: dict[tuple[str, int], _Exposure] = {}  # by front and profile

    # Queries.

    def taken(self, now: int, front: str, query: str, profile: int, due: int) -> None:
        """A front took a query."""
        self._queries[query] = _Query(front, profile, due)
        self.counts["taken"] += 1
        self._exposure(front, profile).queries.append(now)
        self._forget(now)

    def answered(self, now: int, query: str, what: str) -> None:
        """The front's final answer arrived at the client: done, denied or abandoned."""
        taken, rule = self._queries.get(query), Rule.ONE_ANSWER_IN_TIME
        if taken is None:
            self._breach(rule, "an answer to nothing that is open", query, "", now)
            return
        if taken.has_left:
            return
        if taken.ended_at:
            self._breach(rule, "a second answer", query, "", now)
            return
        taken.ended_at = now
        self.counts[what] += 1
        if now > taken.due + self._slack:
            late_ms = (now - taken.due) // 1000
            self._breach(rule, f"answered {late_ms} ms after its time", query, "", now)
        if what == "denied" and self._runs_once[taken.profile] and taken.unsure:
            self._breach(Rule.NO_REPEAT, "denied though it may have run", query, "", now)
        self._ended.append((now, query))

    def gave_up(self, now: int, query: str) -> None:
        """The client has left."""
        taken = self._queries.get(query)
        if taken and not taken.ended_at:
            if now > taken.due + self._slack:
                self._breach(Rule.ONE_ANSWER_IN_TIME, "never answered", query, "", now)
            taken.ended_at, taken.has_left = now, True
            self.counts["left"] += 1
            self._ended.append((now, query))

    def dropped(self, now: int, front: str) -> None:
        """The front was killed: what it had taken is no longer its duty."""
        for query, taken in self._queries.items():
            if taken.front == front and not taken.ended_at:
                taken.ended_at, taken.has_left = now, True
                self._ended.append((now, query))
        self._leaving_since = {
            key: at for key, at in self._leaving_since.items() if key[0] != front
        }
        self._exposures = {
            key: exposure for key, exposure in self._exposures.items() if key[0] != front
        }

    # Attempts.

    def sent(self, now: int, query: str, machine: str, build: int) -> None:
        """The last byte of an attempt was written."""
        taken = self._queries.get(query)
        if taken is None:
            what = "sent though it is not open"
            self._breach(Rule.ONE_ANSWER_IN_TIME, what, query, machine, now)
            return
        self.counts["hand-offs"] += 1
        if taken.ended_at and now > taken.ended_at + self._crossing:
            what = f"sent {(now - taken.ended_at) / 1000:.1f} ms after its answer"
            self._breach(Rule.ONE_ANSWER_IN_TIME, what, query, machine, now)
        if self._runs_once[taken.profile] and taken.unsure:
            what = "sent again though it may have run"
            self._breach(Rule.NO_REPEAT, what, query, machine, now)
        taken.attempts += 1
        taken.unsure += 1
        leaving_since = self._leaving_since.get((taken.front, machine))
        if leaving_since is not None and now > leaving_since + self._grace:
            what = f"sent {(now - leaving_since) // 1000} ms after its leaving was told"
            self._breach(Rule.NOTHING_TO_LEAVING_MACHINES, what, query, machine, now)
        self._check_trial(now, taken, query, machine, build)

    def outcome(self, query: str, ending: Ending) -> None:
        """The front was told how an attempt ended."""
        taken = self._queries.get(query)
        if taken is not None and ending in NEVER_RAN and taken.unsure:
            taken.unsure -= 1

    def ran(self, now: int, query: str, machine: str) -> None:
        """A machine ran a query."""
        taken = self._queries.get(query)
        if taken is not None:
            taken.runs += 1
            self.counts["runs"] += 1
            if taken.runs > 1 and self._runs_once[taken.profile]:
                self._breach(Rule.NO_REPEAT, f"run {taken.runs} times", query, machine, now)

    def fell(self, now: int, machine: str) -> None:
        """A machine collapsed."""
        self._breach(Rule.NO_COLLAPSE, "pushed over while cold", "", machine, now)

    def _check_trial(self, now: int, taken: _Query, query: str, machine: str, build: int) -> None:
        """Check an attempt to a build that is on trial, as far as the front was told."""
        told = self._stages.get(taken.front)
        if told is None or build < told.build:
            return
        if build > told.build:  # not heard of yet: as in the first stage
            stage, cap = 0, min(told.cap, self._first_cap)
        elif told.phase is Phase.RELEASED:
            return
        else:
            stage, cap = told.stage, told.cap
        self.counts["on trial"] += 1
        rule = Rule.TRIAL_WITHIN_CAP
        if stage < self._day.platform.guarded and self._runs_once[taken.profile]:
            self._breach(rule, "a binding query in a guarded stage", query, machine, now)
        exposure = self._exposure(taken.front, taken.profile)
        exposure.attempts.append(now)
        allowed = exposure.allowed(now, cap)
        count = len(exposure.attempts)
        if count > allowed + ROUNDING and now > told.told_at + self._grace:
            what = f"{count} hand-offs to the trial where {allowed:.2f} may be"
            self._breach(rule, what, query, machine, now)

    def _exposure(self, front: str, profile: int) -> _Exposure:
        key = front, profile
        if key not in self._exposures:
            platform, told = self._day.platform, self._stages.get(front)
            cap = told.cap if told else 1.0
            self._exposures[key] = _Exposure(platform.free, micros(platform.window_s), cap)
        return self._exposures[key]

    # News.

    def told_list(self, now: int, front: str, machine: str, readiness: Readiness) -> None:
        """A front was told of a machine."""
        if readiness is Readiness.READY:
            self._leaving_since.pop((front, machine), None)
        else:
            self._leaving_since.setdefault((front, machine), now)

    def told_stage(
        self, now: int, front: str, build: int, stage: int, phase: Phase, cap: float
    ) -> None:
        """A front was told where the release stands."""
        before = self._stages.get(front)
        self._stages[front] = _Stage(build, stage, phase, cap, now)
        for key, exposure in self._exposures.items():
            if key[0] != front:
                continue
            if before is None or before.build != build or cap < exposure.cap:
                exposure.queries.clear()
                exposure.attempts.clear()
            exposure.cap = cap

    # The end.

    def close(self, now: int) -> list[Breach]:
        """Note what was never answered; return all breaches."""
        for query, taken in self._queries.items():
            if not taken.ended_at and now > taken.due + self._slack:
                self._breach(Rule.ONE_ANSWER_IN_TIME, "never answered", query, "", taken.due)
        return self.breaches

    def _forget(self, now: int) -> None:
        while self._ended and self._ended[0][0] < now - KEPT_AFTER_END:
            self._queries.pop(self._ended.popleft()[1], None)

    def _breach(self, rule: Rule, what: str, query: str, machine: str, at: int) -> None:
        if len(self.breaches) < MAX_BREACHES:
            self.breaches.append(Breach(rule, what, query, machine, at))


def by_rule(breaches: list[Breach]) -> dict[int, int]:
    """Return how many breaches there are of each rule, by its number."""
    counted: dict[int, int] = defaultdict(int)
    for breach in breaches:
        counted[int(breach.rule)] += 1
    return dict(sorted(counted.items()))
