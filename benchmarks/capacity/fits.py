"""Curve fitting for measured costs, without I/O."""

from collections.abc import Sequence
from math import exp, log
from statistics import median
from typing import NamedTuple


class Fit(NamedTuple):
    """Cost as a function of size, in one of three forms.

    A line is `constant + slope * size`, a power is `constant * size ** slope`, used where it fits
    the measurements better, and a flat cost is `constant`, used where the size makes no difference.

    `residual` is the largest relative error against a measured cost; `min_size` and `max_size` are
    the range of measured sizes."""

    kind: str  # "line", "power" or "flat"
    constant: float
    slope: float
    residual: float
    min_size: float
    max_size: float

    def cost(self, size: float) -> float:
        return (
            self.constant * size**self.slope
            if self.kind == "power"
            else self.constant + self.slope * size
        )

    def extrapolation_factor(self, size: float) -> float:
        """Return `size` over the largest measured size; a result above 1 is an extrapolation."""
        return size / self.max_size


def line(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    """Return constant and slope of the line with the least squares of relative errors.

    Relative errors give small sizes the same weight as large ones.

    >>> line([1, 2, 3], [5, 7, 9])
    (3.0, 2.0)
    """
    weights = [1 / cost**2 for cost in costs]
    total_weight = sum(weights)
    x = sum(w * size for w, size in zip(weights, sizes)) / total_weight
    y = sum(w * cost for w, cost in zip(weights, costs)) / total_weight
    slope = sum(w * (size - x) * (cost - y) for w, size, cost in zip(weights, sizes, costs)) / sum(
        w * (size - x) ** 2 for w, size in zip(weights, sizes)
    )
    return round(y - slope * x, 12), round(slope, 12)


def power(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    """Return constant and exponent of the power law with the least squares on logarithms.

    >>> [round(one, 6) for one in power([1, 10, 100], [2, 20, 200])]
    [2.0, 1.0]
    """
    xs, ys = [log(value) for value in sizes], [log(value) for value in costs]
    x, y = sum(xs) / len(xs), sum(ys) / len(ys)
    exponent = sum((a - x) * (b - y) for a, b in zip(xs, ys)) / sum((a - x) ** 2 for a in xs)
    return exp(y - exponent * x), exponent


def fit(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Return the best fit of the costs measured at three or more sizes.

    A line is preferred; a power law is used only if the line's residual is above 0.05 and the power
    law's is lower by more than a third. A cost that grows by less than about half over a
    hundredfold size counts as flat, at the highest measured cost, so that a slope that is only
    noise is not extrapolated.

    Raises:
        ValueError: Fewer than three different sizes were measured.

    >>> fit([10, 100, 1000], [12, 102, 1002])
    Fit(kind='line', constant=2.0, slope=1.0, residual=0.0, min_size=10, max_size=1000)
    >>> fit([10, 100, 1000], [100, 10000, 1000000]).kind
    'power'
    >>> fit([10, 100, 1000], [50, 52, 51])[:3]
    ('flat', 52, 0.0)
    """
    if len(set(sizes)) < 3:
        raise ValueError(f"{len(set(sizes))} sizes measured: a fit needs at least three")
    candidates, exponent = [], power(sizes, costs)[1]
    if abs(exponent) < 0.09 and max(costs) < 1.6 * min(costs):
        return Fit("flat", max(costs), 0.0, max(costs) / min(costs) - 1, min(sizes), max(sizes))
    for kind, (constant, slope) in (("line", line(sizes, costs)), ("power", power(sizes, costs))):
        candidate = Fit(kind, constant, slope, 0.0, min(sizes), max(sizes))
        candidates.append(
            candidate._replace(
                residual=max(
                    abs(candidate.cost(size) / cost - 1) for size, cost in zip(sizes, costs)
                )
            )
        )
    return (
        candidates[1]
        if candidates[0].residual > 0.05 and candidates[1].residual < candidates[0].residual * 2 / 3
        else candidates[0]
    )


def spread(values: Sequence[float]) -> float:
    """Return the range of the repeats relative to their median."""
    return (max(values) - min(values)) / median(values) if median(values) else 0.0
