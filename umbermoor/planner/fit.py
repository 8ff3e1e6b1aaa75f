"""Estimates the demand from a capture: load, bursts, work per query and retries.

Each estimate carries a confidence interval; what the capture cannot show is listed as an
assumption. The module does no I/O.

Service times include queueing, so the work of a query is separated from its wait. Only answers are
used from machines that were neither cold nor unhealthy and that held no other query of this front.
The wait behind other fronts' queries is then subtracted with Erlang's formula; since that wait
depends on the load that the work causes, both are solved as a fixed point.
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

# Block length of the block bootstrap: rows so near in time are correlated and resampled together.
BLOCK = 5 * SECOND
LEAST_ROWS, LEAST_SPAN = 200, 10 * SECOND  # below either of these a capture is reported as short
SICK = 2.0  # a machine is unhealthy if its median time exceeds the median machine's by this factor
SICK_LEAST = 8  # a machine with fewer outcomes is not judged
OVERHEAD_US = 1_000  # part of an answer's time that is not work: network both ways and the front


class ProfileDemand(NamedTuple):
    """The estimated demand of one request profile.

    The class and field names are part of the signature of kept answers (``RunPool``).
    """

    name: str
    rate: Interval  # queries per second, without retries
    work_ms: Interval
    work_cv: float
    hint_cv: float  # coefficient of variation of the hints' error about the work
    repeat: str
    aim_ms: float
    patience_ms: float


class Demand(NamedTuple):
    """The estimated demand of the whole fleet."""

    profiles: tuple[ProfileDemand, ...]
    seconds: float
    rows: int
    peak: float  # the highest rate of any tenth of the capture, relative to the mean
    burstiness: Interval  # variance over mean of the queries per second; 1 for a Poisson process
    retry_share: Interval  # share of the queries that are retries
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
        """The mean work of a query over all profiles."""
        total = self.rate.mid or 1.0
        return sum(one.rate.mid * one.work_ms.mid for one in self.profiles) / total

    @property
    def work_error(self) -> float:
        """The relative half-width of the interval of the work, over all profiles."""
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
    """Estimate the demand of the whole fleet from the capture of one front.

    The other fronts are assumed to receive the same load.

    Args:
        header_profiles: The profiles in the header of the capture.
        rows: The queries of the capture, in order of arrival.
        fronts: Number of fronts in the fleet.
        fleet_workers: Number of workers of all machines.
        warm: Time after its start for which a machine counts as cold, in microseconds.
        marked: Whether clients mark their retries.
        given_work: Work by profile from the fleet file, in ms; takes precedence over the capture.

    Raises:
        ValueError: The capture has no queries, no load or too few answers of a profile.
    """
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
    """Return the machines that are far slower than the median machine or fail far more often."""
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
    took: float  # service time in microseconds, without the overhead
    hint: int | None


def _samples(rows: list[Row], sick: set[str]) -> list[_Sample]:
    """Return the answers of machines that held no other query of this front at hand-off.

    With fewer than 20 of these, all answers to queries with a single hand-off are used.
    """
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
    """Return the mean wait behind other fronts' queries, in microseconds.

    It applies to a query that finds no other query of its own front at the machine.
    """
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
    for _ in range(30):  # fixed point: work is time less wait, and the wait follows from the work
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
    """Return the mean work in ms, its coefficient of variation and that of the hints.

    Raises:
        ValueError: There are too few samples, and the fleet file does not give the work.
    """
    if name in given:
        assumptions.append(f"work of {name}: {given[name]:g} ms, as the fleet's sheet says")
        return (
            Interval(given[name], given[name], given[name]),
            _cv(samples) if len(samples) > 20 else 1.0,
            0.3,
        )
    if len(samples) < 5:
        raise ValueError(
            f"the capture holds {len(samples)} answers to {name}, too few to estimate its work: give "
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
    """Return the coefficient of variation, from the variance of the logarithms.

    On the logarithmic scale a few long waits have less weight.
    """
    logs = [log(one.took) for one in samples]
    mean = sum(logs) / len(logs)
    s2 = sum((one - mean) ** 2 for one in logs) / max(1, len(logs) - 1)
    return round(min(3.0, sqrt(max(0.0, 2.718281828**s2 - 1))), 4)


def _hint_cv(samples: list[_Sample]) -> float:
    """Return the spread of hint over work: the scaled median absolute deviation of its logarithm.

    The factor 1.4826 makes it agree with the standard deviation of a normal distribution.
    """
    hinted = [log(one.hint / one.took) for one in samples if one.hint]
    if len(hinted) < 5:
        return 0.3
    middle = median(hinted)
    return round(min(2.0, 1.4826 * median(abs(one - middle) for one in hinted)), 4)


def _rate(rows: list[Row], first: int, last: int, fronts: int, chance: Chance) -> Interval:
    """Return the queries per second of the whole fleet, with an interval over blocks of time.

    If there are too few blocks for the bootstrap, the interval is that of a Poisson count.
    """
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
    """Return the rate of the busiest tenth of the capture, relative to the mean rate."""
    tenths = [0] * 10
    for row in rows:
        tenths[min(9, int(10 * (row.came - first) / max(1, last - first)))] += 1
    return round(max(tenths) * 10 / max(1, len(rows)), 4)


def _burstiness(rows: list[Row], first: int, last: int, chance: Chance) -> Interval:
    """Return the index of dispersion of the queries per second.

    It is computed within blocks of 5 seconds, so that slow changes of the load do not count as
    bursts.
    """
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
