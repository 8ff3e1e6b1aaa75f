"""Scenarios to simulate: their translation into a day of the laboratory, and their results.

The module does no I/O.
"""

from collections.abc import Iterator
from math import ceil
from typing import Any, NamedTuple

from msgspec import structs

from umbermoor.front.capture.frames import Row
from umbermoor.lab.chance import Chance, draw_sample
from umbermoor.lab.day import SECOND, Burst, Day, FaultInjection, Group, Load, ProfileRow
from umbermoor.lab.demand import Arrival
from umbermoor.lab.statistics import Interval, mean_interval
from umbermoor.planner.fit import Demand
from umbermoor.planner.sheets import Fleet

TARGET_QUERIES = 5000  # queries that the length of a run is chosen for
MIN_LENGTH_S, MAX_LENGTH_S = 8.0, 60.0  # bounds of the length of a run, in seconds
SETTLE_S = 2.0  # seconds at the start of a run before its load is evaluated
MIN_CAPTURED_PART = 0.2  # a capture with a smaller part of a run's queries is not replayed
# A burst: its factor on the load, its seconds, and the seconds within which it should have drained.
BURST_FACTOR, BURST_S, DRAIN_S = 3.0, 4.0, 8.0


class Scenario(NamedTuple):
    """A scenario to simulate: a load, a number of machines and an event."""

    kind: str  # steady, loss, replace, cold, build, burst
    load: float
    machines: int  # in the whole fleet
    seed: int
    target: str = ""  # the group that is lost or returns, or the index of the build


class RunResult(NamedTuple):
    """The result of one run."""

    in_time: tuple[float, ...]  # share of queries within the target time, by profile
    queries: tuple[int, ...]  # number of queries, by profile
    service: float
    tries: float
    violations: int
    stages: tuple[tuple[float, int, int, str], ...]
    tail_in_time: float  # share in time over the last seconds of the run
    by_second: tuple[tuple[int, int], ...]  # queries and queries in time, for each second


def scale_groups(groups: tuple[Group, ...], machines: int) -> tuple[Group, ...]:
    """Scale the groups to the given total of machines, in proportion to their sizes.

    Uses the largest remainder method; a group left with no machines is dropped.
    """
    total = sum(group.machines for group in groups)
    exact = [group.machines * machines / total for group in groups]
    counts = [int(size) for size in exact]
    order = sorted(range(len(groups)), key=lambda index: (counts[index] - exact[index], index))
    for index in order[: machines - sum(counts)]:
        counts[index] += 1
    return tuple(
        structs.replace(group, machines=count) for group, count in zip(groups, counts) if count
    )


def day_for(scenario: Scenario, demand: Demand, fleet: Fleet) -> Day:
    """Translate a scenario into a day that the laboratory can run."""
    length = max(MIN_LENGTH_S, min(MAX_LENGTH_S, TARGET_QUERIES / scenario.load)) + SETTLE_S
    groups = scale_groups(fleet.group, scenario.machines)
    faults, builds, burst = (), (), ()
    event_at = SETTLE_S + (length - SETTLE_S) / 4
    if scenario.kind in ("loss", "cold"):
        name = (
            scenario.target
            if any(group.name == scenario.target for group in groups)
            else groups[0].name
        )
        if scenario.kind == "loss":
            faults = (FaultInjection(kind="loss", at_s=SETTLE_S / 2, group=name),)
        else:
            warm = next(group.warm_s for group in groups if group.name == name)
            length = max(length, event_at + 3 + 2 * warm)
            faults = (FaultInjection(kind="crash", at_s=event_at, for_s=3, group=name),)
    elif scenario.kind == "replace":
        length = max(length, 20.0)
        faults = (FaultInjection(kind="replace", at_s=SETTLE_S, for_s=length - SETTLE_S - 4),)
    elif scenario.kind == "build":
        build = fleet.build[int(scenario.target)]
        length = max(
            length,
            (fleet.platform.least_stage_s + fleet.platform.boot_s + 3) * len(fleet.platform.stages)
            + 8,
        )
        builds = (structs.replace(build, at_s=SETTLE_S),)
    elif scenario.kind == "burst":
        length = SETTLE_S + 6 + BURST_S + DRAIN_S + 6
        burst = (Burst(at_s=SETTLE_S + 6, for_s=BURST_S, times=BURST_FACTOR),)
    cpu = fleet.front.cpu_us or fleet.limits.front_cpu_us
    return Day(
        name=scenario.kind,
        length_s=length,
        seed=scenario.seed,
        settle_s=SETTLE_S,
        load=Load(rate=scenario.load, shape="steady", swing=0, burst=burst),
        front=structs.replace(fleet.front, cpu_us=cpu),
        network=fleet.network,
        group=groups,
        cold=fleet.cold,
        clients=fleet.clients,
        platform=fleet.platform,
        listing=fleet.listing,
        build=builds,
        trouble=faults,
        tries=fleet.tries,
        profile=tuple(_profile(profile, fleet, demand) for profile in demand.profiles),
    )


def _profile(profile, fleet: Fleet, demand: Demand) -> ProfileRow:
    value = next(
        (settings.value for settings in fleet.profile if settings.name == profile.name), 1.0
    )
    return ProfileRow(
        name=profile.name,
        share=max(1e-9, profile.rate.mid),
        repeat=profile.repeat,
        aim_ms=profile.aim_ms,
        patience_ms=max(profile.aim_ms, profile.patience_ms),
        value=value,
        work_ms=profile.work_ms.mid,
        spread="lognormal",
        cv=profile.work_cv,
        hint_cv=profile.hint_cv,
    )


def replay_arrivals(
    day: Day, demand: Demand, arrivals: list[tuple[int, int]]
) -> Iterator[Arrival] | None:
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
        or len(arrivals) * demand.fronts < MIN_CAPTURED_PART * day.load.rate * day.length_s
    ):
        return None
    chance = Chance(day.seed)
    first, span = arrivals[0][0], arrivals[-1][0] - arrivals[0][0] + 1
    # The factor by which time is stretched.
    stretch = len(arrivals) * demand.fronts * SECOND / span / day.load.rate
    length = round(day.length_s * SECOND)
    merged = []
    # The capture is of one front; the others replay it, each with an offset of its own.
    for front in range(demand.fronts):
        shift = round(chance.at("shift", front) * span)
        # The capture is repeated if the run is longer.
        for repetition in range(ceil(length / (span * stretch))):
            for at, profile in arrivals:
                due = round(((at - first - shift) % span + repetition * span) * stretch)
                if due < length:
                    merged.append((due, profile))
    merged.sort()
    return _wishes(day, merged, chance)


def _wishes(day: Day, merged: list[tuple[int, int]], chance: Chance) -> Iterator[Arrival]:
    sources = [chance.stream("work", row.name) for row in day.profile]
    for number, (at, profile) in enumerate(merged):
        row, source = day.profile[profile], sources[profile]
        work = draw_sample(source, row.work_ms * 1000, row.spread, row.cv)
        hint = draw_sample(source, work, "lognormal", row.hint_cv) if row.hint_cv else work
        yield Arrival(at, number, profile, work, max(1, round(hint)))


def arrivals_of(rows: list[Row], marked: bool) -> list[tuple[int, int]]:
    """Return time and profile of each captured query, without retries if these are marked."""
    return [(row.came, row.profile) for row in rows if not (marked and row.repeated)]


def read_result(outcome: dict[str, Any]) -> RunResult:
    """Extract the result of a run from the laboratory's report."""
    rows = list(outcome["profiles"].values())
    seconds = tuple(
        (sum(counts.values()), counts.get("in time", 0)) for counts in outcome["series"]
    )
    tail = seconds[-5:-1] or seconds
    queries = sum(counts[0] for counts in tail)
    return RunResult(
        tuple(row["in_time"] for row in rows),
        tuple(row["asked"] for row in rows),
        outcome["service"],
        outcome["tries_a_query"],
        outcome["audit"]["breaches"],
        tuple((at, build, stage, phase) for at, build, stage, phase, _ in outcome["stages"]),
        sum(counts[1] for counts in tail) / queries if queries else 1.0,
        seconds,
    )


def shares(results: list[RunResult]) -> list[Interval]:
    """Return each profile's mean share in time, with its interval over the seeds."""
    return [
        mean_interval([result.in_time[index] for result in results])
        for index in range(len(results[0].in_time))
    ]


def meets_goals(results: list[RunResult], goals: list[float]) -> bool:
    """Whether every profile's share over all seeds reaches its goal."""
    for index, goal in enumerate(goals):
        queries = sum(result.queries[index] for result in results)
        in_time = sum(result.queries[index] * result.in_time[index] for result in results)
        if queries and in_time / queries < goal:
            return False
    return True


def burst_drains(results: list[RunResult]) -> bool:
    """Whether the fleet recovers from a burst in every run.

    It does if the share in time of the last seconds, lowest over the runs, is at most 0.05 below
    the lowest share before the burst.
    """
    worst = min(result.tail_in_time for result in results)
    before = min(_share(result.by_second[int(SETTLE_S) : int(SETTLE_S) + 5]) for result in results)
    return worst >= before - 0.05


def _share(by_second: tuple[tuple[int, int], ...]) -> float:
    queries = sum(counts[0] for counts in by_second)
    return sum(counts[1] for counts in by_second) / queries if queries else 1.0


def share_by_stage(result: RunResult) -> list[tuple[str, float]]:
    """Return the share in time during each stage of a rollout, by the stage's description."""
    rows = []
    for (at, build, stage, phase), following in zip(result.stages[1:], [*result.stages[2:], None]):
        end = following[0] if following else len(result.by_second)
        if end - at >= 1:
            rows.append(
                (
                    f"build {build} stage {stage} {phase.replace('_', ' ')}",
                    round(_share(result.by_second[int(at) : max(int(at) + 1, int(end))]), 4),
                )
            )
    return rows
