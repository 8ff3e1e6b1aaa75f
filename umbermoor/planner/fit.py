"""What a capture tells of the demand: load, bursts, work, retries; each with an interval, and what
it cannot tell.

Without I/O. The work of a query is told apart from its wait: of the answers of machines that held
nothing else of this front's, and that were neither cold nor sick, the wait behind other fronts'
queries is taken off by Erlang's formula, with
the load that the work itself comes to (a fixed point).
"""

from collections.abc import Sequence
from math import log, sqrt
from statistics import median
from typing import Any, NamedTuple

from umbermoor.front.capture.frames import Row
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND
from umbermoor.lab.statistics import Interval, bootstrap, share_interval
from umbermoor.planner.queueing import mean_wait

BLOCK = 5 * SECOND  # what lies so near in time is drawn together for intervals
LEAST_ROWS, LEAST_SPAN = 200, 10 * SECOND  # below these a capture is too short
SICK = 2.0  # a machine that takes so many times as long as the middle one is sick
SICK_LEAST = 8  # outcomes of a machine below which it is not judged
OVERHEAD_US = 1_000  # of an answer's time, what is not work: both ways, and the front's own


class ProfileDemand(NamedTuple):
    name: str
    rate: Interval  # queries asked anew in a second
    work_ms: Interval
    work_cv: float
    hint_cv: float  # how far hints lie from the work
    repeat: str
    aim_ms: float
    patience_ms: float


class Demand(NamedTuple):
    profiles: tuple[ProfileDemand, ...]
    seconds: float
    rows: int
    peak: float  # the highest rate of a tenth of the capture over the mean
    burstiness: Interval  # variance over mean of the queries in a second; 1: as chance has it
    retry_share: Interval  # of the queries, those that were asked again
    denied_share: Interval
    sick: tuple[str, ...]
    cold_rows: int
    assumptions: tuple[str, ...]
    fronts: int

    @property
    def rate(self) -> Interval:
        return Interval(*(sum(one.rate[at] for one in self.profiles) for at in range(3)))

    @property
    def work_ms(self) -> float:
        """Of a mean query."""
        total = self.rate.mid or 1.0
        return sum(one.rate.mid * one.work_ms.mid for one in self.profiles) / total

    @property
    def work_error(self) -> float:
        """The relative half-width of the work's interval, of all profiles together."""
        total = sum(one.rate.mid * one.work_ms.mid for one in self.profiles) or 1.0
        return (
            sum(one.rate.mid * (one.work_ms.high - one.work_ms.low) / 2 for one in self.profiles)
            / total
        )


def fit(
    header_profiles: Sequence[dict[str, Any]],
    rows: list[Row],
    fronts: int,
    fleet_workers: int,
    warm: int,
    marked: bool = True,
    given_work: dict[str, float] | None = None,
) -> Demand:
    """The demand of the whole fleet, from one front's rows of ``fronts`` that are asked alike.
    ``warm`` is the time in microseconds within which a machine counts as cold; ``given_work`` what
    the fleet's sheet says of the work, in ms."""
    given_work = given_work or {}
    assumptions: list[str] = []
    if not rows:
        raise ValueError("the capture holds no query")
    first, last = rows[0].came, rows[-1].came
    seconds = max(1e-3, (last - first) / SECOND)
    if len(rows) < LEAST_ROWS or last - first < LEAST_SPAN:
        assumptions.append(
            f"the capture is short ({len(rows)} queries in {seconds:.0f} s): intervals are wide, and "
            f"bursts "
            f"longer than it are not seen"
        )
    if fronts > 1:
        assumptions.append(f"the {fronts} fronts are asked alike; the capture is of one")
    if not marked:
        assumptions.append("clients do not mark what they ask again: all counts as asked anew")
    fresh = [row for row in rows if not (marked and row.repeated)]
    warm_rows = [
        row
        for row in rows
        if row.machine is None
        or not row.machine.born
        or row.came + row.sent - row.machine.born >= warm
    ]
    sick = _sick(warm_rows)
    if sick:
        assumptions.append(
            f"machines {', '.join(sorted(sick)[:5])} were sick: their times are left out of the work"
        )
    chance = Chance(len(rows))
    load_rows = len(rows) / seconds * fronts
    machines = max(1, len({row.machine.name for row in rows if row.machine}))
    samples = {
        place: _samples([row for row in warm_rows if row.profile == place], sick)
        for place in range(len(header_profiles))
    }
    waits = _waits(samples, rows, seconds, fronts, machines, fleet_workers)
    profiles = []
    for place, head in enumerate(header_profiles):
        asked = [row for row in fresh if row.profile == place]
        work, cv, hint_cv = _work(
            samples[place], waits, chance, head["name"], given_work, assumptions
        )
        profiles.append(
            ProfileDemand(
                head["name"],
                _rate(asked, first, last, fronts, chance),
                work,
                cv,
                hint_cv,
                head["repeat"],
                head["aim_ms"],
                head["patience_ms"],
            )
        )
    denied = sum(row.ending == "denied" for row in rows)
    if denied / len(rows) > 0.02:
        assumptions.append(
            f"{denied / len(rows):.1%} were denied while it was taken: the fleet was overloaded or "
            f"sick, and "
            f"what was denied is counted once, as asked"
        )
    if load_rows <= 0:
        raise ValueError("the capture holds no load")
    return Demand(
        tuple(profiles),
        seconds,
        len(rows),
        _peak(fresh, first, last),
        _burstiness(fresh, first, last, chance),
        share_interval(sum(row.repeated for row in rows), len(rows)),
        share_interval(denied, len(rows)),
        tuple(sorted(sick)),
        len(rows) - len(warm_rows),
        tuple(assumptions),
        fronts,
    )


def _sick(rows: list[Row]) -> set[str]:
    """Machines whose answers take far longer than the middle machine's, or that fail where the
    others do not."""
    times: dict[str, list[int]] = {}
    tried: dict[str, list[bool]] = {}
    for row in rows:
        if row.machine is not None:
            tried.setdefault(row.machine.name, []).append(bool(row.served))
            if row.served:
                times.setdefault(row.machine.name, []).append(row.served)
    middles = {name: median(one) for name, one in times.items() if len(one) >= SICK_LEAST}
    if len(middles) < 3:
        return set()
    usual = median(middles.values())
    slow = {name for name, one in middles.items() if one > SICK * usual}
    missed = {
        name: 1 - sum(one) / len(one) for name, one in tried.items() if len(one) >= SICK_LEAST
    }
    common = median(missed.values())
    return slow | {name for name, one in missed.items() if one > common + 0.25}


class _Sample(NamedTuple):
    came: int
    took: float  # without the overhead
    hint: int | None


def _samples(rows: list[Row], sick: set[str]) -> list[_Sample]:
    """Answers of machines that held nothing else of this front's when they were asked."""
    done = [
        row
        for row in rows
        if row.served and row.machine and row.machine.name not in sick and row.hand_offs == 1
    ]
    alone = [row for row in done if row.ahead == 0]
    some = alone if len(alone) >= 20 else done
    return [_Sample(row.came, max(1.0, row.served - OVERHEAD_US), row.hint) for row in some]


def _waits(
    samples: dict[int, list[_Sample]],
    rows: list[Row],
    seconds: float,
    fronts: int,
    machines: int,
    fleet_workers: int,
) -> float:
    """The mean wait behind other fronts' work, in microseconds, of a query that finds none of this
    front's."""
    if fronts < 2 or not fleet_workers:
        return 0.0
    counts = {
        place: sum(row.profile == place and row.hand_offs > 0 for row in rows) for place in samples
    }
    total = sum(counts.values()) or 1
    workers = max(1, round(fleet_workers / machines))
    others = (
        total / seconds * (fronts - 1) / machines / SECOND
    )  # arrivals at a machine from the other fronts
    means = {
        place: sum(one.took for one in some) / len(some) for place, some in samples.items() if some
    }
    if not means:
        return 0.0
    taken = sum(counts[place] * mean for place, mean in means.items()) / sum(
        counts[place] or 1 for place in means
    )
    wait = 0.0
    for _ in range(30):  # the work is what is left of the time; its load makes the wait
        work = max(taken * 0.2, taken - wait)
        wait = min(0.8 * taken, mean_wait(others, work, workers, 1.0))
    return wait


def _work(
    samples: list[_Sample],
    wait: float,
    chance: Chance,
    name: str,
    given: dict[str, float],
    assumptions: list[str],
) -> tuple[Interval, float, float]:
    """Mean work in ms, its coefficient of variation, and that of the hints about it."""
    if name in given:
        assumptions.append(f"work of {name}: {given[name]:g} ms, as the fleet's sheet says")
        return (
            Interval(given[name], given[name], given[name]),
            _cv(samples) if len(samples) > 20 else 1.0,
            0.3,
        )
    if len(samples) < 5:
        raise ValueError(
            f"the capture holds {len(samples)} answers to {name}, which tell nothing of its work: give "
            f"profile {name!r} a work-ms in the fleet's sheet"
        )
    blocks: dict[int, list[float]] = {}
    for one in samples:
        blocks.setdefault(one.came // BLOCK, []).append(one.took)
    found = bootstrap(list(blocks.values()), lambda values: sum(values) / len(values), chance)
    scale = max(0.2, 1 - wait / found.mid)
    low, high = (
        bound if 0 < bound < float("inf") else found.mid * factor
        for bound, factor in ((found.low, 0.5), (found.high, 2.0))
    )
    interval = Interval(*(round(value * scale / 1000, 4) for value in (found.mid, low, high)))
    return interval, _cv(samples), _hint_cv(samples)


def _cv(samples: list[_Sample]) -> float:
    """By the spread of logarithms: long waits of a few weigh less there."""
    logs = [log(one.took) for one in samples]
    mean = sum(logs) / len(logs)
    s2 = sum((one - mean) ** 2 for one in logs) / max(1, len(logs) - 1)
    return round(min(3.0, sqrt(max(0.0, 2.718281828**s2 - 1))), 4)


def _hint_cv(samples: list[_Sample]) -> float:
    hinted = [log(one.hint / one.took) for one in samples if one.hint]
    if len(hinted) < 5:
        return 0.3
    middle = median(hinted)
    return round(min(2.0, 1.4826 * median(abs(one - middle) for one in hinted)), 4)


def _rate(rows: list[Row], first: int, last: int, fronts: int, chance: Chance) -> Interval:
    """Queries a second of the whole fleet, by blocks of time."""
    count = max(1, (last - first) // BLOCK)
    blocks = [0] * count
    width = (last - first) / count or 1
    for row in rows:
        blocks[min(count - 1, int((row.came - first) / width))] += 1
    rates = [one * SECOND / width * fronts for one in blocks]
    found = bootstrap([[one] for one in rates], lambda values: sum(values) / len(values), chance)
    if found.high == float("inf"):
        half = 1.96 * sqrt(sum(blocks)) * SECOND / max(1, last - first) * fronts
        found = Interval(found.mid, max(0.0, found.mid - half), found.mid + half)
    return Interval(*(round(value, 4) for value in found))


def _peak(rows: list[Row], first: int, last: int) -> float:
    tenths = [0] * 10
    for row in rows:
        tenths[min(9, int(10 * (row.came - first) / max(1, last - first)))] += 1
    return round(max(tenths) * 10 / max(1, len(rows)), 4)


def _burstiness(rows: list[Row], first: int, last: int, chance: Chance) -> Interval:
    """Index of dispersion by second, within blocks: a slow wave is no burst."""
    seconds = [0] * max(1, (last - first) // SECOND)
    for row in rows:
        at = (row.came - first) // SECOND
        if at < len(seconds):
            seconds[at] += 1
    blocks = [seconds[at : at + 5] for at in range(0, len(seconds) - 4, 5)]
    ratios = []
    for block in blocks:
        mean = sum(block) / 5
        if mean:
            ratios.append([sum((one - mean) ** 2 for one in block) / 4 / mean])
    if not ratios:
        return Interval(1.0, 0.0, 10.0)
    found = bootstrap(ratios, lambda values: sum(values) / len(values), chance)
    return Interval(*(round(min(100.0, value), 4) for value in found))
