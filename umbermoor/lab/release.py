"""The release platform and the list of machines, without I/O: stages, votes and caps; who is
listed, and what changed.

The platform's rules are those of control by number: enough votes on move a stage that has stood its
time, enough votes back send the build back; a released build can be sent back until the next is
offered.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from umbermoor.front.interface import Ending, Phase, Readiness, Verdict
from umbermoor.lab.day import SECOND, Build, Platform, micros


class Standing(NamedTuple):
    """Where the newest build stands, and since when."""

    build: int
    stage: int
    phase: Phase
    cap: float
    since: int


class Start(NamedTuple):
    """Machines of a build are to run at these places of the fleet."""

    build: int
    places: tuple[int, ...]


class Retire(NamedTuple):
    build: int  # all its machines drain


Order = Start | Retire


class Move(Enum):
    OFFER = "offer"
    LEAVE = "leave"  # of the machines that a change has made needless
    SWITCH = "switch"  # back to the earlier build, once its machines run again
    WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class _Vote:
    build: int
    stage: int
    verdict: Verdict
    until: int


class Release:
    """Stages of one build after another."""

    def __init__(
        self, terms: Platform, builds: tuple[Build, ...], places: int, order: list[int], begun: int
    ) -> None:
        self._terms, self._order, self._places = terms, order, places
        self._builds = {one.number: one for one in builds}
        self._due: list[tuple[int, int, Move, int]] = []
        for one in builds:
            self._plan(begun + micros(one.at_s), Move.OFFER, one.number)
        self.good = 1  # the build that serves when none is on trial
        self.now = Standing(1, len(terms.stages) - 1, Phase.RELEASED, 1.0, begun)
        self.votes: dict[str, _Vote] = {}
        self.history: list[tuple[int, Standing]] = [(begun, self.now)]
        self._counted: tuple[int, int] = (0, 0)  # votes taken in this second

    def _plan(self, at: int, move: Move, build: int) -> None:
        self._due.append((at, len(self._due), move, build))
        self._due.sort()

    def cap(self, stage: int) -> float:
        return min(1.0, self._terms.stages[stage] * self._terms.slack)

    def next_at(self, now: int) -> int | None:
        """When ``advance`` is wanted next, beside after each vote."""
        times = [self._due[0][0]] if self._due else []
        if self.now.phase is Phase.TRIAL:
            times.append(self.now.since + micros(self._terms.least_stage_s))
        return min((at for at in times if at > now), default=None)

    def advance(self, now: int) -> list[Order]:
        orders: list[Order] = []
        while self._due and self._due[0][0] <= now:
            _, _, move, build = self._due.pop(0)
            orders += self._carry_out(now, move, build)
        return orders + self._judge(now)

    def vote(self, now: int, front: str, build: int, stage: int, verdict: Verdict) -> Ending:
        second = now // SECOND
        self._counted = (
            (second, self._counted[1] + 1) if self._counted[0] == second else (second, 1)
        )
        if self._counted[1] > self._terms.votes_a_s:
            return Ending.FULL
        standing = self.now
        meant = verdict in (Verdict.NONE, Verdict.BACK) or stage == standing.stage
        if (
            build != standing.build
            or not meant
            or standing.phase not in (Phase.TRIAL, Phase.RELEASED)
        ):
            return Ending.MOOT
        self.votes[front] = _Vote(build, stage, verdict, now + micros(self._terms.vote_life_s))
        return Ending.OK

    def _judge(self, now: int) -> list[Order]:
        standing, terms = self.now, self._terms
        if standing.phase not in (Phase.TRIAL, Phase.RELEASED) or standing.build == 1:
            return []
        alive = [
            one for one in self.votes.values() if one.build == standing.build and one.until > now
        ]
        back = sum(one.verdict is Verdict.BACK for one in alive)
        on = sum(one.verdict is Verdict.ON and one.stage == standing.stage for one in alive)
        if back >= terms.back_votes:
            return self._turn_back(now)
        if (
            standing.phase is not Phase.TRIAL
            or on < terms.on_votes
            or now < standing.since + micros(terms.least_stage_s)
        ):
            return []
        if standing.stage + 1 < len(terms.stages):
            return self._enter(now, standing.build, standing.stage + 1)
        self._set(now, Standing(standing.build, standing.stage, Phase.RELEASED, 1.0, now))
        earlier, self.good = self.good, standing.build
        return [Retire(earlier)]

    def _enter(self, now: int, build: int, stage: int) -> list[Order]:
        self._set(now, Standing(build, stage, Phase.TRIAL, self.cap(stage), now))
        count = max(1, round(self._terms.stages[stage] * self._places))
        return [Start(build, tuple(self._order[:count]))]

    def _turn_back(self, now: int) -> list[Order]:
        standing = self.now
        if standing.phase is Phase.TRIAL:
            self._set(now, standing._replace(phase=Phase.GOING_BACK, cap=0.0, since=now))
            self._plan(now + micros(self._terms.drain_s), Move.WITHDRAWN, standing.build)
            return [Retire(standing.build)]
        earlier = max(
            (one for one in [1, *self._builds] if one < standing.build and self._was_good(one)),
            default=1,
        )
        self._set(now, standing._replace(phase=Phase.GOING_BACK, since=now))
        self.good = earlier
        self._plan(now + micros(self._terms.boot_s + 1.0), Move.SWITCH, standing.build)
        return [Start(earlier, tuple(range(self._places)))]

    def _was_good(self, build: int) -> bool:
        return build == 1 or any(
            one.build == build and one.phase is Phase.RELEASED for _, one in self.history
        )

    def _carry_out(self, now: int, move: Move, build: int) -> list[Order]:
        standing = self.now
        if move is Move.OFFER:
            orders: list[Order] = []
            if (
                standing.phase is Phase.TRIAL
            ):  # still on trial when the next is due: it is taken off
                orders.append(Retire(standing.build))
            elif standing.phase is Phase.GOING_BACK and standing.cap:
                orders.append(Retire(standing.build))
            self.votes.clear()
            return orders + self._enter(now, build, 0)
        if build != standing.build:
            return []
        if move is Move.SWITCH:
            self._set(now, standing._replace(cap=0.0, since=now))
            self._plan(now + micros(self._terms.drain_s), Move.WITHDRAWN, build)
            return [Retire(build)]
        self._set(now, standing._replace(phase=Phase.WITHDRAWN, cap=0.0, since=now))
        return []

    def _set(self, now: int, standing: Standing) -> None:
        self.now = standing
        self.history.append((now, standing))


class Listed(NamedTuple):
    machine: str
    build: int
    readiness: Readiness
    born: int
    place: int


@dataclass(slots=True)
class Roster:
    """The list with its versions: what is there, and what has changed since any version."""

    version: int = 1
    entries: dict[str, Listed] = field(default_factory=dict)
    _log: list[tuple[int, Listed]] = field(default_factory=list)

    KEPT = 4096  # changes; who is further behind gets the whole list

    def put(self, entry: Listed) -> int:
        """A change; its version."""
        self.version += 1
        if entry.readiness is Readiness.GONE:
            self.entries.pop(entry.machine, None)
        else:
            self.entries[entry.machine] = entry
        self._log.append((self.version, entry))
        if len(self._log) > self.KEPT:
            del self._log[: self.KEPT // 2]
        return self.version

    def since(self, version: int) -> list[Listed] | None:
        """The entries that changed after that version, the newest of each; None: too long ago to
        tell."""
        if version > self.version or (self._log and version < self._log[0][0] - 1):
            return None
        return list({one.machine: one for at, one in self._log if at > version}.values())


def spread_order(sizes: list[int]) -> list[int]:
    """Places of the fleet, so that each beginning of them takes all groups in step with their
    sizes."""
    ranked, start = [], 0
    for group, size in enumerate(sizes):
        ranked += [((at + 0.5) / size, group, start + at) for at in range(size)]
        start += size
    return [place for _, _, place in sorted(ranked)]
