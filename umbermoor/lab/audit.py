"""The audit of a day: checks the users' five rules by what is observed outside the fronts.

`Ledger` does not read a front's state. It is written by the clients, the machines and the updates
that fronts are sent. Times are microseconds. Ended queries are forgotten after a while.
"""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from umbermoor.front.interface import NEVER_RAN, Ending, Phase, Readiness
from umbermoor.lab.day import SECOND, Day, micros

ANSWER_SLACK = 100_000  # microseconds an answer may be late, for its way to the client
KEPT_AFTER_END = 20 * SECOND  # how long ended queries are kept for late events
MAX_BREACHES = 1000  # further ones are dropped
ROUNDING = 1e-9  # tolerance of the allowed number of attempts


class Rule(IntEnum):
    """The users' rules; values are their numbers."""

    ONE_ANSWER_IN_TIME = 1
    NO_REPEAT = 2  # queries that must run once
    NOTHING_TO_LEAVING_MACHINES = 3
    NO_COLLAPSE = 4  # machines that warm up
    TRIAL_WITHIN_CAP = 5


class Breach(NamedTuple):
    """A breach of a rule; query and machine are empty if none is concerned."""

    rule: Rule
    description: str
    query: str
    machine: str
    at: int


@dataclass(slots=True)
class _Query:
    """A query that a front has received."""

    front: str
    profile: int
    due: int  # time by which it must be answered
    ended_at: int = 0  # 0: it is open
    has_left: bool = False  # its client no longer waits
    attempts: int = 0  # requests sent completely
    maybe_ran: int = 0  # attempts that may have run
    runs: int = 0


class _Stage(NamedTuple):
    """The state of a release as last sent to a front."""

    build: int
    stage: int
    phase: Phase
    cap: float
    sent_at: int


@dataclass(slots=True)
class _Exposure:
    """A front's queries of one profile and its attempts at builds on trial, within the window.

    Both start anew when the build changes or the cap falls.
    """

    free: float  # attempts in a window that the cap does not limit
    window: int
    cap: float = 1.0
    queries: deque[int] = field(default_factory=deque)  # times
    attempts: deque[int] = field(default_factory=deque)  # times

    def allowed(self, now: int, cap: float) -> float:
        """Drop times before the window; return how many attempts the cap allows in it."""
        for times in (self.attempts, self.queries):
            while times and times[0] < now - self.window:
                times.popleft()
        return self.free + cap * len(self.queries)


class Ledger:
    """The record of a day's events, and the breaches found in it.

    Args:
        day: what is played.
        slack: microseconds an answer may be late.
        crossing: microseconds by which attempts and answers may be out of order, because separate
            processes record them.
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
        """Record that a front received a query."""
        self._queries[query] = _Query(front, profile, due)
        self.counts["taken"] += 1
        self._exposure(front, profile).queries.append(now)
        self._forget(now)

    def answered(self, now: int, query: str, result: str) -> None:
        """Record the front's final answer at the client: "done", "denied" or "abandoned"."""
        record, rule = self._queries.get(query), Rule.ONE_ANSWER_IN_TIME
        if record is None:
            self._add_breach(rule, "an answer to nothing that is open", query, "", now)
            return
        if record.has_left:
            return
        if record.ended_at:
            self._add_breach(rule, "a second answer", query, "", now)
            return
        record.ended_at = now
        self.counts[result] += 1
        if now > record.due + self._slack:
            late_ms = (now - record.due) // 1000
            self._add_breach(rule, f"answered {late_ms} ms after its time", query, "", now)
        if result == "denied" and self._runs_once[record.profile] and record.maybe_ran:
            self._add_breach(Rule.NO_REPEAT, "denied though it may have run", query, "", now)
        self._ended.append((now, query))

    def gave_up(self, now: int, query: str) -> None:
        """Record that the client has left."""
        record = self._queries.get(query)
        if record and not record.ended_at:
            if now > record.due + self._slack:
                self._add_breach(Rule.ONE_ANSWER_IN_TIME, "never answered", query, "", now)
            record.ended_at, record.has_left = now, True
            self.counts["left"] += 1
            self._ended.append((now, query))

    def dropped(self, now: int, front: str) -> None:
        """Record that a front was killed; its open queries need no answer any more."""
        for query, record in self._queries.items():
            if record.front == front and not record.ended_at:
                record.ended_at, record.has_left = now, True
                self._ended.append((now, query))
        self._leaving_since = {
            key: at for key, at in self._leaving_since.items() if key[0] != front
        }
        self._exposures = {
            key: exposure for key, exposure in self._exposures.items() if key[0] != front
        }

    # Attempts.

    def sent(self, now: int, query: str, machine: str, build: int) -> None:
        """Record that the last byte of an attempt was written."""
        record = self._queries.get(query)
        if record is None:
            description = "sent though it is not open"
            self._add_breach(Rule.ONE_ANSWER_IN_TIME, description, query, machine, now)
            return
        self.counts["hand-offs"] += 1
        if record.ended_at and now > record.ended_at + self._crossing:
            description = f"sent {(now - record.ended_at) / 1000:.1f} ms after its answer"
            self._add_breach(Rule.ONE_ANSWER_IN_TIME, description, query, machine, now)
        if self._runs_once[record.profile] and record.maybe_ran:
            description = "sent again though it may have run"
            self._add_breach(Rule.NO_REPEAT, description, query, machine, now)
        record.attempts += 1
        record.maybe_ran += 1
        leaving_since = self._leaving_since.get((record.front, machine))
        if leaving_since is not None and now > leaving_since + self._grace:
            description = f"sent {(now - leaving_since) // 1000} ms after its leaving was told"
            self._add_breach(Rule.NOTHING_TO_LEAVING_MACHINES, description, query, machine, now)
        self._check_trial(now, record, query, machine, build)

    def outcome(self, query: str, ending: Ending) -> None:
        """Record how an attempt ended, as the front learned it."""
        record = self._queries.get(query)
        if record is not None and ending in NEVER_RAN and record.maybe_ran:
            record.maybe_ran -= 1

    def ran(self, now: int, query: str, machine: str) -> None:
        """Record that a machine ran a query."""
        record = self._queries.get(query)
        if record is not None:
            record.runs += 1
            self.counts["runs"] += 1
            if record.runs > 1 and self._runs_once[record.profile]:
                self._add_breach(Rule.NO_REPEAT, f"run {record.runs} times", query, machine, now)

    def fell(self, now: int, machine: str) -> None:
        """Record that a machine collapsed."""
        self._add_breach(Rule.NO_COLLAPSE, "pushed over while cold", "", machine, now)

    def _check_trial(self, now: int, record: _Query, query: str, machine: str, build: int) -> None:
        """Check an attempt at a build on trial, by the state that the front was last sent."""
        release = self._stages.get(record.front)
        if release is None or build < release.build:
            return
        if build > release.build:  # newer than the front knows: treated as in the first stage
            stage, cap = 0, min(release.cap, self._first_cap)
        elif release.phase is Phase.RELEASED:
            return
        else:
            stage, cap = release.stage, release.cap
        self.counts["on trial"] += 1
        rule = Rule.TRIAL_WITHIN_CAP
        if stage < self._day.platform.guarded and self._runs_once[record.profile]:
            self._add_breach(rule, "a binding query in a guarded stage", query, machine, now)
        exposure = self._exposure(record.front, record.profile)
        exposure.attempts.append(now)
        allowed = exposure.allowed(now, cap)
        count = len(exposure.attempts)
        if count > allowed + ROUNDING and now > release.sent_at + self._grace:
            description = f"{count} hand-offs to the trial where {allowed:.2f} may be"
            self._add_breach(rule, description, query, machine, now)

    def _exposure(self, front: str, profile: int) -> _Exposure:
        key = front, profile
        if key not in self._exposures:
            platform, release = self._day.platform, self._stages.get(front)
            cap = release.cap if release else 1.0
            self._exposures[key] = _Exposure(platform.free, micros(platform.window_s), cap)
        return self._exposures[key]

    # Updates sent to fronts.

    def told_list(self, now: int, front: str, machine: str, readiness: Readiness) -> None:
        """Record that a front was sent a machine's readiness."""
        if readiness is Readiness.READY:
            self._leaving_since.pop((front, machine), None)
        else:
            self._leaving_since.setdefault((front, machine), now)

    def told_stage(
        self, now: int, front: str, build: int, stage: int, phase: Phase, cap: float
    ) -> None:
        """Record that a front was sent the state of the release."""
        previous = self._stages.get(front)
        self._stages[front] = _Stage(build, stage, phase, cap, now)
        for key, exposure in self._exposures.items():
            if key[0] != front:
                continue
            if previous is None or previous.build != build or cap < exposure.cap:
                exposure.queries.clear()
                exposure.attempts.clear()
            exposure.cap = cap

    # End of the day.

    def close(self, now: int) -> list[Breach]:
        """Record queries that were never answered; return all breaches."""
        for query, record in self._queries.items():
            if not record.ended_at and now > record.due + self._slack:
                self._add_breach(Rule.ONE_ANSWER_IN_TIME, "never answered", query, "", record.due)
        return self.breaches

    def _forget(self, now: int) -> None:
        while self._ended and self._ended[0][0] < now - KEPT_AFTER_END:
            self._queries.pop(self._ended.popleft()[1], None)

    def _add_breach(self, rule: Rule, description: str, query: str, machine: str, at: int) -> None:
        if len(self.breaches) < MAX_BREACHES:
            self.breaches.append(Breach(rule, description, query, machine, at))


def by_rule(breaches: list[Breach]) -> dict[int, int]:
    """Return the number of breaches by the number of their rule."""
    counted: dict[int, int] = defaultdict(int)
    for breach in breaches:
        counted[int(breach.rule)] += 1
    return dict(sorted(counted.items()))
