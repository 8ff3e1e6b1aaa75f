"""Confidence intervals, paired differences and the growth of costs, without I/O.

Sources: Student (1908); Wilson (1927) for shares; Efron (1979) for the bootstrap.
"""

from collections.abc import Sequence
from math import atan, cos, exp, lgamma, log, pi, sqrt
from typing import NamedTuple

from umbermoor.lab.chance import Chance


class Interval(NamedTuple):
    """An estimate and the bounds of its confidence interval."""

    mid: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mid:.4g} [{self.low:.4g}, {self.high:.4g}]"


def student(level: float, degrees: int) -> float:
    """Return the two-sided critical value of Student's t distribution, found by bisection.

    A variable with these degrees of freedom lies within plus or minus this value with probability
    `level`.
    """
    low, high = 0.0, 1e3
    for _ in range(80):
        mid = (low + high) / 2
        low, high = (mid, high) if 2 * student_probability(mid, degrees) < level else (low, mid)
    return (low + high) / 2


def student_probability(t: float, degrees: int) -> float:
    """Return the probability that a Student's t variable lies between 0 and `t`.

    Integrates with Simpson's rule over u = atan(t / sqrt(degrees)), in which the density is smooth.
    """
    upper, steps = atan(t / sqrt(degrees)), 200
    scale = exp(lgamma((degrees + 1) / 2) - lgamma(degrees / 2)) / sqrt(pi)
    width = upper / steps
    total = sum(
        (1 if step in (0, steps) else 4 if step % 2 else 2) * cos(step * width) ** (degrees - 1)
        for step in range(steps + 1)
    )
    return scale * total * width / 3


def mean_interval(values: Sequence[float], level: float = 0.95) -> Interval:
    """Return the interval of the mean of independent values; infinite bounds for a single value."""
    n = len(values)
    mean = sum(values) / n
    if n < 2:
        return Interval(mean, float("-inf"), float("inf"))
    standard_error = sqrt(sum((value - mean) ** 2 for value in values) / (n - 1) / n)
    half = student(level, n - 1) * standard_error
    return Interval(mean, mean - half, mean + half)


def paired(first: Sequence[float], second: Sequence[float], level: float = 0.95) -> Interval:
    """Return the interval of the mean difference of pairs, second minus first."""
    return mean_interval([b - a for a, b in zip(first, second, strict=True)], level)


def share_interval(good: float, n: float, z: float = 1.96) -> Interval:
    """Return the interval of the share `good` of `n`; `z` is the normal quantile (Wilson 1927)."""
    if not n:
        return Interval(0.0, 0.0, 1.0)
    share, z2 = good / n, z * z
    mid, half = (
        (share + z2 / 2 / n) / (1 + z2 / n),
        z * sqrt(share * (1 - share) / n + z2 / 4 / n / n) / (1 + z2 / n),
    )
    return Interval(share, max(0.0, mid - half), min(1.0, mid + half))


def bootstrap(
    blocks: Sequence[Sequence[float]],
    statistic,
    chance: Chance,
    rounds: int = 200,
    level: float = 0.95,
) -> Interval:
    """Return the bootstrap interval of a statistic of all values.

    Resamples whole blocks, because values that are close in time are not independent.
    """
    values = [value for block in blocks for value in block]
    mid = statistic(values)
    if len(blocks) < 3:
        return Interval(mid, 0.0, float("inf"))
    source = chance.stream("bootstrap", len(blocks), len(values))
    estimates = []
    for _ in range(rounds):
        resample = [value for _ in blocks for value in blocks[int(source.random() * len(blocks))]]
        if resample:
            estimates.append(statistic(resample))
    estimates.sort()
    tail = (1 - level) / 2
    return Interval(
        mid,
        estimates[int(tail * len(estimates))],
        estimates[min(len(estimates) - 1, int((1 - tail) * len(estimates)))],
    )


def growth(sizes: Sequence[float], costs: Sequence[float]) -> float:
    """Return the power of size that cost grows with (1: linear), by least squares on logarithms."""
    xs, ys = [log(size) for size in sizes], [log(cost) for cost in costs]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum(
        (x - mean_x) ** 2 for x in xs
    )


__all__ = [
    "Interval",
    "bootstrap",
    "growth",
    "mean_interval",
    "paired",
    "share_interval",
    "student",
]
