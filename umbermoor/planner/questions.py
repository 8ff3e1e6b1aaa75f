"""A question to the virtual fleet, as a day to play; and what is read out of the answer. Without
I/O."""

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

QUERIES = 5000  # that a play aims at
SHORTEST, LONGEST = 8.0, 60.0  # seconds of a play
SETTLE = 2.0
LEAST_PART = 0.2  # of a play's queries that a capture must hold to be replayed
BURST_TIMES, BURST_FOR, DRAINED = (
    3.0,
    4.0,
    8.0,
)  # a burst, and seconds after it in which it should have drained


class Question(NamedTuple):
    kind: str  # steady, loss, replace, cold, build, burst
    load: float
    machines: int  # of the whole fleet
    seed: int
    what: str = ""  # the group that is lost or returns, or the place of the build


class Answer(NamedTuple):
    in_time: tuple[float, ...]  # by profile
    asked: tuple[int, ...]
    service: float
    tries: float
    breaches: int
    stages: tuple[tuple[float, int, int, str], ...]
    tail_in_time: float  # of the last seconds alone
    by_second: tuple[tuple[int, int], ...]  # asked, in time


def sized(groups: tuple[Group, ...], machines: int) -> tuple[Group, ...]:
    """The groups with so many machines in all, in step with what they have; the largest remainders
    get what is left. A group that would have none is left out."""
    total = sum(one.machines for one in groups)
    exact = [one.machines * machines / total for one in groups]
    counts = [int(one) for one in exact]
    order = sorted(range(len(groups)), key=lambda at: (counts[at] - exact[at], at))
    for at in order[: machines - sum(counts)]:
        counts[at] += 1
    return tuple(
        structs.replace(one, machines=count) for one, count in zip(groups, counts) if count
    )


def day_for(question: Question, demand: Demand, fleet: Fleet) -> Day:
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


def replayed(day: Day, demand: Demand, arrivals: list[tuple[int, int]]) -> Iterator[Arrival] | None:
    """The capture's own arrivals (time and profile), at the day's rate: their bursts stay as they
    were, and each seed begins elsewhere in them. None where the capture is shorter than the play
    needs, or the day has bursts of its own."""
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
    )  # how much slower than it was
    length = round(day.length_s * SECOND)
    merged = []
    for front in range(
        demand.fronts
    ):  # of one front: others are asked alike, at other times of the capture
        shift = round(chance.at("shift", front) * span)
        for turn in range(ceil(length / (span * pace))):  # it begins anew where the play is longer
            for at, profile in arrivals:
                due = round(((at - first - shift) % span + turn * span) * pace)
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
    return [(row.came, row.profile) for row in rows if not (marked and row.repeated)]


def read_answer(outcome: dict[str, Any]) -> Answer:
    rows = list(outcome["profiles"].values())
    seconds = tuple((sum(one.values()), one.get("in time", 0)) for one in outcome["series"])
    tail = seconds[-5:-1] or seconds
    asked = sum(one[0] for one in tail)
    return Answer(
        tuple(one["in_time"] for one in rows),
        tuple(one["asked"] for one in rows),
        outcome["service"],
        outcome["tries_a_query"],
        outcome["audit"]["breaches"],
        tuple((at, build, stage, phase) for at, build, stage, phase, _ in outcome["stages"]),
        sum(one[1] for one in tail) / asked if asked else 1.0,
        seconds,
    )


def shares(answers: list[Answer]) -> list[Interval]:
    """In time by profile, over seeds."""
    return [
        mean_interval([one.in_time[place] for one in answers])
        for place in range(len(answers[0].in_time))
    ]


def holds(answers: list[Answer], goals: list[float]) -> bool:
    """Whether every profile's share over all seeds reaches its goal."""
    for place, goal in enumerate(goals):
        asked = sum(one.asked[place] for one in answers)
        good = sum(one.asked[place] * one.in_time[place] for one in answers)
        if asked and good / asked < goal:
            return False
    return True


def drains(answers: list[Answer]) -> bool:
    """Whether a burst is over some seconds after it: the last seconds are nearly as good as those
    before it."""
    worst = min(one.tail_in_time for one in answers)
    before = min(_share(one.by_second[int(SETTLE) : int(SETTLE) + 5]) for one in answers)
    return worst >= before - 0.05


def _share(seconds: tuple[tuple[int, int], ...]) -> float:
    asked = sum(one[0] for one in seconds)
    return sum(one[1] for one in seconds) / asked if asked else 1.0


def by_stage(answer: Answer) -> list[tuple[str, float]]:
    """Share in time while each stage stood."""
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
