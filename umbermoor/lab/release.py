"""The release platform without I/O: stages, votes and caps of one build after another.

Its rules are those of the users' platform: enough votes to go on advance a build that has spent the
minimum time in its stage; enough votes to go back roll it back; a released build can be rolled back
until the next one is offered.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from umbermoor.front.interface import Ending, Phase, Readiness, Verdict
from umbermoor.lab.day import SECOND, Build, Platform, micros

FIRST_BUILD = 1  # runs when the day begins and can't be rolled back
OPEN_PHASES = (Phase.TRIAL, Phase.RELEASED)  # phases in which votes count
ROLLBACK_MARGIN_S = 1.0  # time after the boot of the earlier build until the switch to it


class ReleaseState(NamedTuple):
    """The state of the newest build, and since when."""

    build: int
    stage: int
    phase: Phase
    cap: float  # maximum share of the queries it may get
    since: int


class StartMachines(NamedTuple):
    """The order to run machines of a build at these places of the fleet."""

    build: int
    places: tuple[int, ...]


class RetireBuild(NamedTuple):
    """The order to drain all machines of a build."""

    build: int


Order = StartMachines | RetireBuild


class _Step(Enum):
    """A scheduled step of a build."""

    OFFER = "offer"
    SWITCH = "switch"  # back to the earlier build, once its machines run again
    WITHDRAW = "withdraw"


class _Scheduled(NamedTuple):
    at: int
    sequence: int
    step: _Step
    build: int


class _Vote(NamedTuple):
    build: int
    stage: int
    verdict: Verdict
    expires_at: int


class Release:
    """The state machine of a day's releases.

    Args:
        platform: stages, thresholds and delays.
        builds: the builds that are offered during the day.
        places: number of places of the fleet.
        rollout_order: places in the order in which stages cover them.
        day_start: time of the day's start, in microseconds.
    """

    def __init__(
        self,
        platform: Platform,
        builds: tuple[Build, ...],
        places: int,
        rollout_order: list[int],
        day_start: int,
    ) -> None:
        self._platform, self._places, self._rollout_order = platform, places, rollout_order
        self._builds = [FIRST_BUILD, *(build.number for build in builds)]
        self._scheduled: list[_Scheduled] = []
        for build in builds:
            self._schedule(day_start + micros(build.at_s), _Step.OFFER, build.number)
        self.serving_build = FIRST_BUILD  # the build that runs beside one on trial
        last_stage = len(platform.stages) - 1
        self.state = ReleaseState(FIRST_BUILD, last_stage, Phase.RELEASED, 1.0, day_start)
        self.history: list[tuple[int, ReleaseState]] = [(day_start, self.state)]
        self._votes: dict[str, _Vote] = {}  # by front
        self._vote_second, self._votes_in_second = 0, 0

    def _schedule(self, at: int, step: _Step, build: int) -> None:
        self._scheduled.append(_Scheduled(at, len(self._scheduled), step, build))
        self._scheduled.sort(key=lambda scheduled: (scheduled.at, scheduled.sequence))

    def next_at(self, now: int) -> int | None:
        """Return when `advance` must be called next if no vote arrives before; None: not at all."""
        times = [self._scheduled[0].at] if self._scheduled else []
        if self.state.phase is Phase.TRIAL:
            times.append(self.state.since + micros(self._platform.least_stage_s))
        return min((at for at in times if at > now), default=None)

    def advance(self, now: int) -> list[Order]:
        """Take the steps that are due and count the votes; return the orders to the fleet."""
        orders: list[Order] = []
        while self._scheduled and self._scheduled[0].at <= now:
            scheduled = self._scheduled.pop(0)
            orders += self._take_step(now, scheduled.step, scheduled.build)
        return orders + self._count_votes(now)

    def vote(self, now: int, front: str, build: int, stage: int, verdict: Verdict) -> Ending:
        """Accept a front's vote.

        Returns:
            OK; FULL above the platform's limit of votes per second; MOOT if the build or the stage
            is not open to votes.
        """
        second = now // SECOND
        if second != self._vote_second:
            self._vote_second, self._votes_in_second = second, 0
        self._votes_in_second += 1
        if self._votes_in_second > self._platform.votes_a_s:
            return Ending.FULL
        state = self.state
        is_stage_open = verdict in (Verdict.NONE, Verdict.BACK) or stage == state.stage
        if build != state.build or not is_stage_open or state.phase not in OPEN_PHASES:
            return Ending.MOOT
        expires_at = now + micros(self._platform.vote_life_s)
        self._votes[front] = _Vote(build, stage, verdict, expires_at)
        return Ending.OK

    def _count_votes(self, now: int) -> list[Order]:
        state, platform = self.state, self._platform
        if state.phase not in OPEN_PHASES or state.build == FIRST_BUILD:
            return []
        votes = [
            vote
            for vote in self._votes.values()
            if vote.build == state.build and vote.expires_at > now
        ]
        back = sum(vote.verdict is Verdict.BACK for vote in votes)
        on = sum(vote.verdict is Verdict.ON and vote.stage == state.stage for vote in votes)
        if back >= platform.back_votes:
            return self._roll_back(now)
        may_move_at = state.since + micros(platform.least_stage_s)
        if state.phase is not Phase.TRIAL or on < platform.on_votes or now < may_move_at:
            return []
        if state.stage + 1 < len(platform.stages):
            return self._enter_stage(now, state.build, state.stage + 1)
        self._set_state(now, ReleaseState(state.build, state.stage, Phase.RELEASED, 1.0, now))
        earlier, self.serving_build = self.serving_build, state.build
        return [RetireBuild(earlier)]

    def _enter_stage(self, now: int, build: int, stage: int) -> list[Order]:
        cap = min(1.0, self._platform.stages[stage] * self._platform.slack)
        self._set_state(now, ReleaseState(build, stage, Phase.TRIAL, cap, now))
        count = max(1, round(self._platform.stages[stage] * self._places))
        return [StartMachines(build, tuple(self._rollout_order[:count]))]

    def _roll_back(self, now: int) -> list[Order]:
        state, platform = self.state, self._platform
        if state.phase is Phase.TRIAL:
            self._set_state(now, state._replace(phase=Phase.GOING_BACK, cap=0.0, since=now))
            self._schedule(now + micros(platform.drain_s), _Step.WITHDRAW, state.build)
            return [RetireBuild(state.build)]
        earlier = max(
            (build for build in self._builds if build < state.build and self._was_released(build)),
            default=FIRST_BUILD,
        )
        self._set_state(now, state._replace(phase=Phase.GOING_BACK, since=now))
        self.serving_build = earlier
        switch_at = now + micros(platform.boot_s + ROLLBACK_MARGIN_S)
        self._schedule(switch_at, _Step.SWITCH, state.build)
        return [StartMachines(earlier, tuple(range(self._places)))]

    def _was_released(self, build: int) -> bool:
        return build == FIRST_BUILD or any(
            state.build == build and state.phase is Phase.RELEASED for _, state in self.history
        )

    def _take_step(self, now: int, step: _Step, build: int) -> list[Order]:
        if step is _Step.OFFER:
            return self._offer(now, build)
        state = self.state
        if build != state.build:
            return []
        if step is _Step.SWITCH:
            self._set_state(now, state._replace(cap=0.0, since=now))
            self._schedule(now + micros(self._platform.drain_s), _Step.WITHDRAW, build)
            return [RetireBuild(build)]
        self._set_state(now, state._replace(phase=Phase.WITHDRAWN, cap=0.0, since=now))
        return []

    def _offer(self, now: int, build: int) -> list[Order]:
        """Put a build on trial; retire the previous one if it is on trial or being rolled back."""
        state = self.state
        is_going_back = state.phase is Phase.GOING_BACK and state.cap > 0
        orders: list[Order] = []
        if state.phase is Phase.TRIAL or is_going_back:
            orders.append(RetireBuild(state.build))
        self._votes.clear()
        return orders + self._enter_stage(now, build, 0)

    def _set_state(self, now: int, state: ReleaseState) -> None:
        self.state = state
        self.history.append((now, state))


class ListEntry(NamedTuple):
    """A machine in the machine list."""

    machine: str
    build: int
    readiness: Readiness
    born: int  # microseconds; 0: long ago
    place: int


@dataclass(slots=True)
class MachineList:
    """The machine list with a version that grows with each change."""

    version: int = 1
    entries: dict[str, ListEntry] = field(default_factory=dict)
    _changes: list[tuple[int, ListEntry]] = field(default_factory=list)

    MAX_CHANGES = 4096  # kept changes; a client further behind gets the whole list

    def put(self, entry: ListEntry) -> int:
        """Add, change or (readiness GONE) remove an entry; return the list's new version."""
        self.version += 1
        if entry.readiness is Readiness.GONE:
            self.entries.pop(entry.machine, None)
        else:
            self.entries[entry.machine] = entry
        self._changes.append((self.version, entry))
        if len(self._changes) > self.MAX_CHANGES:
            del self._changes[: self.MAX_CHANGES // 2]
        return self.version

    def since(self, version: int) -> list[ListEntry] | None:
        """Return the newest entry of each machine that changed after a version.

        None if the changes since then are not all kept, or the version is unknown.
        """
        if version > self.version or (self._changes and version < self._changes[0][0] - 1):
            return None
        return list({entry.machine: entry for at, entry in self._changes if at > version}.values())


def interleaved_places(sizes: list[int]) -> list[int]:
    """Return the places of groups of these sizes, ordered so that every prefix is balanced.

    >>> interleaved_places([2, 4])
    [2, 0, 3, 4, 1, 5]
    """
    ranked: list[tuple[float, int, int]] = []
    start = 0
    for group, size in enumerate(sizes):
        ranked += [((index + 0.5) / size, group, start + index) for index in range(size)]
        start += size
    return [place for _, _, place in sorted(ranked)]
