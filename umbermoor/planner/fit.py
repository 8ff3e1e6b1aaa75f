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
MIN_ROWS, MIN_SPAN = 200, 10 * SECOND  # below either of these a capture is reported as short
# A machine is unhealthy if its median time exceeds that of the median machine by this factor.
UNHEALTHY_FACTOR = 2.0
MIN_OUTCOMES = 8  # a machine with fewer outcomes is not judged
OVERHEAD_US = 1_000  # part of an answer's time that is not work: network both ways and the front


class ProfileDemand(NamedTuple):
    """The estimated demand of one request profile.

    The class and field names are part of the signature of stored results (``RunPool``).
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
    unhealthy: tuple[str, ...]
    cold_rows: int
    assumptions: tuple[str, ...]
    fronts: int

    @property
    def rate(self) -> Interval:
        return Interval(
            *(sum(profile.rate[index] for profile in self.profiles) for index in range(3))
        )

    @property
    def work_ms(self) -> float:
        """The mean work of a query over all profiles."""
        total = self.rate.mid or 1.0
        return sum(profile.rate.mid * profile.work_ms.mid for profile in self.profiles) / total

    @property
    def work_error(self) -> float:
        """The relative half-width of the interval of the work, over all profiles."""
        total = sum(profile.rate.mid * profile.work_ms.mid for profile in self.profiles) or 1.0
        return (
            sum(
                profile.rate.mid * (profile.work_ms.high - profile.work_ms.low) / 2
                for profile in self.profiles
            )
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
    if len(rows) < MIN_ROWS or last - first < MIN_SPAN:
        assumptions.append(
            f"the capture is short ({len(rows)} queries in {seconds:.0f} s): intervals are wide, "
            f"and bursts longer than it are not seen"
        )
    if fronts > 1:
        assumptions.append(f"the {fronts} fronts are asked alike; the capture is of one")
    if not marked:
        assumptions.append("clients do not mark what they ask again: all counts as asked anew")
    first_tries = [row for row in rows if not (marked and row.repeated)]
    warm_rows = [
        row
        for row in rows
        if row.machine is None
        or not row.machine.born
        or row.came + row.sent - row.machine.born >= warm
    ]
    unhealthy = _unhealthy_machines(warm_rows)
    if unhealthy:
        assumptions.append(
            f"machines {', '.join(sorted(unhealthy)[:5])} were sick: their times are left out of "
            f"the work"
        )
    chance = Chance(len(rows))
    load_rows = len(rows) / seconds * fronts
    machines = max(1, len({row.machine.name for row in rows if row.machine}))
    samples = {
        index: _samples([row for row in warm_rows if row.profile == index], unhealthy)
        for index in range(len(header_profiles))
    }
    wait = _wait_behind_others(samples, rows, seconds, fronts, machines, fleet_workers)
    profiles = []
    for index, header in enumerate(header_profiles):
        profile_rows = [row for row in first_tries if row.profile == index]
        work, cv, hint_cv = _work(
            samples[index], wait, chance, header["name"], given_work, assumptions
        )
        profiles.append(
            ProfileDemand(
                header["name"],
                _rate(profile_rows, first, last, fronts, chance),
                work,
                cv,
                hint_cv,
                header["repeat"],
                header["aim_ms"],
                header["patience_ms"],
            )
        )
    denied = sum(row.ending == "denied" for row in rows)
    if denied / len(rows) > 0.02:
        assumptions.append(
            f"{denied / len(rows):.1%} were denied while it was taken: the fleet was overloaded or "
            f"sick, and what was denied is counted once, as asked"
        )
    if load_rows <= 0:
        raise ValueError("the capture holds no load")
    return Demand(
        tuple(profiles),
        seconds,
        len(rows),
        _peak(first_tries, first, last),
        _burstiness(first_tries, first, last, chance),
        share_interval(sum(row.repeated for row in rows), len(rows)),
        share_interval(denied, len(rows)),
        tuple(sorted(unhealthy)),
        len(rows) - len(warm_rows),
        tuple(assumptions),
        fronts,
    )


def _unhealthy_machines(rows: list[Row]) -> set[str]:
    """Return the machines that are far slower than the median machine or fail far more often."""
    times: dict[str, list[int]] = {}
    answers: dict[str, list[bool]] = {}
    for row in rows:
        if row.machine is not None:
            answers.setdefault(row.machine.name, []).append(bool(row.served))
            if row.served:
                times.setdefault(row.machine.name, []).append(row.served)
    medians = {
        name: median(values) for name, values in times.items() if len(values) >= MIN_OUTCOMES
    }
    if len(medians) < 3:
        return set()
    typical_time = median(medians.values())
    slow = {
        name
        for name, median_time in medians.items()
        if median_time > UNHEALTHY_FACTOR * typical_time
    }
    failure_shares = {
        name: 1 - sum(answered) / len(answered)
        for name, answered in answers.items()
        if len(answered) >= MIN_OUTCOMES
    }
    typical_share = median(failure_shares.values())
    return slow | {name for name, share in failure_shares.items() if share > typical_share + 0.25}


class _Sample(NamedTuple):
    arrival: int
    time_us: float  # service time, without the overhead
    hint: int | None


def _samples(rows: list[Row], unhealthy: set[str]) -> list[_Sample]:
    """Return the answers of machines that held no other query of this front at hand-off.

    With fewer than 20 of these, all answers to queries with a single hand-off are used.
    """
    answered = [
        row
        for row in rows
        if row.served and row.machine and row.machine.name not in unhealthy and row.hand_offs == 1
    ]
    without_queue = [row for row in answered if row.ahead == 0]
    chosen = without_queue if len(without_queue) >= 20 else answered
    return [_Sample(row.came, max(1.0, row.served - OVERHEAD_US), row.hint) for row in chosen]


def _wait_behind_others(
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
        index: sum(row.profile == index and row.hand_offs > 0 for row in rows) for index in samples
    }
    total = sum(counts.values()) or 1
    workers = max(1, round(fleet_workers / machines))
    # The rate at which the other fronts' queries arrive at a machine.
    other_arrivals = total / seconds * (fronts - 1) / machines / SECOND
    means = {
        index: sum(sample.time_us for sample in profile_samples) / len(profile_samples)
        for index, profile_samples in samples.items()
        if profile_samples
    }
    if not means:
        return 0.0
    mean_time = sum(counts[index] * mean for index, mean in means.items()) / sum(
        counts[index] or 1 for index in means
    )
    wait = 0.0
    # Fixed point: the work is the time less the wait, and the wait follows from the work.
    for _ in range(30):
        work = max(mean_time * 0.2, mean_time - wait)
        wait = min(0.8 * mean_time, mean_wait(other_arrivals, work, workers, 1.0))
    return wait


def _work(
    samples: list[_Sample],
    wait: float,
    chance: Chance,
    name: str,
    given_work: dict[str, float],
    assumptions: list[str],
) -> tuple[Interval, float, float]:
    """Return the mean work in ms, its coefficient of variation and that of the hints.

    Raises:
        ValueError: There are too few samples, and the fleet file does not give the work.
    """
    if name in given_work:
        assumptions.append(f"work of {name}: {given_work[name]:g} ms, as the fleet's sheet says")
        return (
            Interval(given_work[name], given_work[name], given_work[name]),
            _cv(samples) if len(samples) > 20 else 1.0,
            0.3,
        )
    if len(samples) < 5:
        raise ValueError(
            f"the capture holds {len(samples)} answers to {name}, too few to estimate its work: "
            f"give profile {name!r} a work-ms in the fleet's sheet"
        )
    blocks: dict[int, list[float]] = {}
    for sample in samples:
        blocks.setdefault(sample.arrival // BLOCK, []).append(sample.time_us)
    estimate = bootstrap(list(blocks.values()), lambda values: sum(values) / len(values), chance)
    scale = max(0.2, 1 - wait / estimate.mid)
    low, high = (
        bound if 0 < bound < float("inf") else estimate.mid * factor
        for bound, factor in ((estimate.low, 0.5), (estimate.high, 2.0))
    )
    interval = Interval(*(round(value * scale / 1000, 4) for value in (estimate.mid, low, high)))
    return interval, _cv(samples), _hint_cv(samples)


def _cv(samples: list[_Sample]) -> float:
    """Return the coefficient of variation, from the variance of the logarithms.

    On the logarithmic scale a few long waits have less weight.
    """
    logs = [log(sample.time_us) for sample in samples]
    mean = sum(logs) / len(logs)
    variance = sum((value - mean) ** 2 for value in logs) / max(1, len(logs) - 1)
    return round(min(3.0, sqrt(max(0.0, 2.718281828**variance - 1))), 4)


def _hint_cv(samples: list[_Sample]) -> float:
    """Return the spread of hint over work: the scaled median absolute deviation of its logarithm.

    The factor 1.4826 makes it agree with the standard deviation of a normal distribution.
    """
    log_ratios = [log(sample.hint / sample.time_us) for sample in samples if sample.hint]
    if len(log_ratios) < 5:
        return 0.3
    center = median(log_ratios)
    return round(min(2.0, 1.4826 * median(abs(log_ratio - center) for log_ratio in log_ratios)), 4)


def _rate(rows: list[Row], first: int, last: int, fronts: int, chance: Chance) -> Interval:
    """Return the queries per second of the whole fleet, with an interval over blocks of time.

    If there are too few blocks for the bootstrap, the interval is that of a Poisson count.
    """
    count = max(1, (last - first) // BLOCK)
    blocks = [0] * count
    width = (last - first) / count or 1
    for row in rows:
        blocks[min(count - 1, int((row.came - first) / width))] += 1
    rates = [block * SECOND / width * fronts for block in blocks]
    estimate = bootstrap(
        [[rate] for rate in rates], lambda values: sum(values) / len(values), chance
    )
    if estimate.high == float("inf"):
        half = 1.96 * sqrt(sum(blocks)) * SECOND / max(1, last - first) * fronts
        estimate = Interval(estimate.mid, max(0.0, estimate.mid - half), estimate.mid + half)
    return Interval(*(round(value, 4) for value in estimate))


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
        index = (row.came - first) // SECOND
        if index < len(seconds):
            seconds[index] += 1
    blocks = [seconds[index : index + 5] for index in range(0, len(seconds) - 4, 5)]
    ratios = []
    for block in blocks:
        mean = sum(block) / 5
        if mean:
            ratios.append([sum((count - mean) ** 2 for count in block) / 4 / mean])
    if not ratios:
        return Interval(1.0, 0.0, 10.0)
    estimate = bootstrap(ratios, lambda values: sum(values) / len(values), chance)
    return Interval(*(round(min(100.0, value), 4) for value in estimate))
