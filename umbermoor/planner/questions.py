"""Scenarios to simulate: their translation into a day of the laboratory, and their results.

The module does no I/O.
"""

from collections.abc import Iterator
from math import ceil
from typing import Any, NamedTuple

from msgspec import structs

from umbermoor.front.capture.frames import Row
from umbermoor.lab.chance import Chance, drawn
from umbermoor.lab.day import SECOND, Burst, Day, FaultInjection, Group, Load, ProfileRow
from umbermoor.lab.demand import Wish
from umbermoor.lab.statistics import Interval, mean_interval
from umbermoor.planner.fit import Demand
from umbermoor.planner.sheets import Fleet

QUERIES = 5000  # queries that the length of a run is chosen for
SHORTEST, LONGEST = 8.0, 60.0  # bounds of the length of a run, in seconds
SETTLE = 2.0  # seconds at the start of a run before its load is evaluated
LEAST_PART = 0.2  # a capture with a smaller part of a run's queries is not replayed
# A burst: its factor on the load, its seconds, and the seconds within which it should have drained.
BURST_TIMES, BURST_FOR, DRAINED = (
    3.0,
    4.0,
    8.0,
)


class Scenario(NamedTuple):
    """A scenario to simulate: a load, a number of machines and an event."""

    kind: str  # steady, loss, replace, cold, build, burst
    load: float
    machines: int  # in the whole fleet
    seed: int
    what: str = ""  # the group that is lost or returns, or the index of the build


class RunResult(NamedTuple):
    """The result of one run."""

    in_time: tuple[float, ...]  # share of queries within the target time, by profile
    asked: tuple[int, ...]  # number of queries, by profile
    service: float
    tries: float
    breaches: int
    stages: tuple[tuple[float, int, int, str], ...]
    tail_in_time: float  # share in time over the last seconds of the run
    by_second: tuple[tuple[int, int], ...]  # queries and queries in time, for each second


def sized(groups: tuple[Group, ...], machines: int) -> tuple[Group, ...]:
    """Scale the groups to the given total of machines, in proportion to their sizes.

    Uses the largest remainder method; a group left with no machines is dropped.
    """
    total = sum(one.machines for one in groups)
    exact = [one.machines * machines / total for one in groups]
    counts = [int(one) for one in exact]
    order = sorted(range(len(groups)), key=lambda at: (counts[at] - exact[at], at))
    for at in order[: machines - sum(counts)]:
        counts[at] += 1
    return tuple(
        structs.replace(one, machines=count) for one, count in zip(groups, counts) if count
    )


def day_for(question: Scenario, demand: Demand, fleet: Fleet) -> Day:
    """Translate a scenario into a day that the laboratory can run."""
    length = max(SHORTEST, min(LONGEST, QUERIES / question.load)) + SETTLE
    groups = sized(fleet.group, question.machines)
    troubles, builds, burst = (), (), ()
    third = SETTLE + (length - SETTLE) / 4
    if question.kind in ("loss", "cold"):
        name = question.what if any(one.name == question.what for one in groups) else groups[0].name
        if question.kind == "loss":
            troubles = (FaultInjection(kind="loss", at_s=SETTLE / 2, group=name),)
        else:
            warm = next(one.warm_s for one in groups if one.name == name)
            length = max(length, third + 3 + 2 * warm)
            troubles = (FaultInjection(kind="crash", at_s=third, for_s=3, group=name),)
    elif question.kind == "replace":
        length = max(length, 20.0)
        troubles = (FaultInjection(kind="replace", at_s=SETTLE, for_s=length - SETTLE - 4),)
    elif question.kind == "build":
        build = fleet.build[int(question.what)]
        length = max(
            length,
            (fleet.platform.least_stage_s + fleet.platform.boot_s + 3) * len(fleet.platform.stages)
            + 8,
        )
        builds = (structs.replace(build, at_s=SETTLE),)
    elif question.kind == "burst":
        length = SETTLE + 6 + BURST_FOR + DRAINED + 6
        burst = (Burst(at_s=SETTLE + 6, for_s=BURST_FOR, times=BURST_TIMES),)
    cpu = fleet.front.cpu_us or fleet.limits.front_cpu_us
    return Day(
        name=question.kind,
        length_s=length,
        seed=question.seed,
        settle_s=SETTLE,
        load=Load(rate=question.load, shape="steady", swing=0, burst=burst),
        front=structs.replace(fleet.front, cpu_us=cpu),
        network=fleet.network,
        group=groups,
        cold=fleet.cold,
        clients=fleet.clients,
        platform=fleet.platform,
        listing=fleet.listing,
        build=builds,
        trouble=troubles,
        tries=fleet.tries,
        profile=tuple(_profile(one, fleet, demand) for one in demand.profiles),
    )


def _profile(one, fleet: Fleet, demand: Demand) -> ProfileRow:
    value = next((wish.value for wish in fleet.profile if wish.name == one.name), 1.0)
    return ProfileRow(
        name=one.name,
        share=max(1e-9, one.rate.mid),
        repeat=one.repeat,
        aim_ms=one.aim_ms,
        patience_ms=max(one.aim_ms, one.patience_ms),
        value=value,
        work_ms=one.work_ms.mid,
        spread="lognormal",
        cv=one.work_cv,
        hint_cv=one.hint_cv,
    )


def replayed(day: Day, demand: Demand, arrivals: list[tuple[int, int]]) -> Iterator[Wish] | None:
    """Replay the captured arrivals (time and profile) at the rate of the day.

    Time is scaled, so that the bursts of the capture are preserved. Each seed starts at another
    point of the capture, which repeats where the run is longer.

    Returns:
        The queries in order of arrival, or None if the capture holds too few queries for the run
        or the day defines bursts of its own.
    """
    if (
        day.load.burst
        or not arrivals
        or len(arrivals) * demand.fronts < LEAST_PART * day.load.rate * day.length_s
    ):
        return None
    chance = Chance(day.seed)
    first, span = arrivals[0][0], arrivals[-1][0] - arrivals[0][0] + 1
    pace = (
        len(arrivals) * demand.fronts * SECOND / span / day.load.rate
    )  # the factor by which time is stretched
    length = round(day.length_s * SECOND)
    merged = []
    for front in range(
        demand.fronts
    ):  # the capture is of one front; the others replay it with an offset of their own
        shift = round(chance.at("shift", front) * span)
        for turn in range(ceil(length / (span * pace))):  # repeat the capture if the run is longer
            for at, profile in arrivals:
                due = round(((at - first - shift) % span + turn * span) * pace)
                if due < length:
                    merged.append((due, profile))
    merged.sort()
    return _wishes(day, merged, chance)


def _wishes(day: Day, merged: list[tuple[int, int]], chance: Chance) -> Iterator[Wish]:
    sources = [chance.stream("work", row.name) for row in day.profile]
    for number, (at, profile) in enumerate(merged):
        row, source = day.profile[profile], sources[profile]
        work = drawn(source, row.work_ms * 1000, row.spread, row.cv)
        hint = drawn(source, work, "lognormal", row.hint_cv) if row.hint_cv else work
        yield Wish(at, number, profile, work, max(1, round(hint)))


def arrivals_of(rows: list[Row], marked: bool) -> list[tuple[int, int]]:
    """Return time and profile of each captured query, without retries if these are marked."""
    return [(row.came, row.profile) for row in rows if not (marked and row.repeated)]


def read_result(outcome: dict[str, Any]) -> RunResult:
    """Extract the result of a run from the laboratory's report."""
    rows = list(outcome["profiles"].values())
    seconds = tuple((sum(one.values()), one.get("in time", 0)) for one in outcome["series"])
    tail = seconds[-5:-1] or seconds
    asked = sum(one[0] for one in tail)
    return RunResult(
        tuple(one["in_time"] for one in rows),
        tuple(one["asked"] for one in rows),
        outcome["service"],
        outcome["tries_a_query"],
        outcome["audit"]["breaches"],
        tuple((at, build, stage, phase) for at, build, stage, phase, _ in outcome["stages"]),
        sum(one[1] for one in tail) / asked if asked else 1.0,
        seconds,
    )


def shares(answers: list[RunResult]) -> list[Interval]:
    """Return each profile's mean share in time, with its interval over the seeds."""
    return [
        mean_interval([one.in_time[place] for one in answers])
        for place in range(len(answers[0].in_time))
    ]


def holds(answers: list[RunResult], goals: list[float]) -> bool:
    """Whether every profile's share over all seeds reaches its goal."""
    for place, goal in enumerate(goals):
        asked = sum(one.asked[place] for one in answers)
        good = sum(one.asked[place] * one.in_time[place] for one in answers)
        if asked and good / asked < goal:
            return False
    return True


def burst_drains(answers: list[RunResult]) -> bool:
    """Whether the fleet recovers from a burst in every run.

    It does if the share in time of the last seconds is at most 0.05 below that before the burst.
    """
    worst = min(one.tail_in_time for one in answers)
    before = min(_share(one.by_second[int(SETTLE) : int(SETTLE) + 5]) for one in answers)
    return worst >= before - 0.05


def _share(seconds: tuple[tuple[int, int], ...]) -> float:
    asked = sum(one[0] for one in seconds)
    return sum(one[1] for one in seconds) / asked if asked else 1.0


def by_stage(answer: RunResult) -> list[tuple[str, float]]:
    """Return the share in time during each stage of a rollout, by the stage's description."""
    found = []
    for (at, build, stage, phase), following in zip(answer.stages[1:], [*answer.stages[2:], None]):
        end = following[0] if following else len(answer.by_second)
        if end - at >= 1:
            found.append(
                (
                    f"build {build} stage {stage} {phase.replace('_', ' ')}",
                    round(_share(answer.by_second[int(at) : max(int(at) + 1, int(end))]), 4),
                )
            )
    return found
