"""Test & Roll in closed form, pure. Source: Feit and Berman (2019), "Test & Roll"; its symbols."""

from math import sqrt


def spread(mean: float) -> float:
    """s: the standard deviation of single outcomes of 0 or 1 with this mean, 0 to 1."""
    return sqrt(mean * (1 - mean))


def needed(expected: float, mean: float, sigma: float, least: float) -> float:
    """n*: outcomes to judge the trial by, with `expected` requests to come; `least` or more."""
    ratio = (spread(mean) / sigma) ** 2
    return max(least, sqrt(expected / 4 * ratio + (0.75 * ratio) ** 2) - 0.75 * ratio)


def weight(n: float, s: float, sigma: float) -> float:
    """b: the weight, 0 to 1, of the mean of n outcomes of spread s; true means lie sigma apart."""
    return sigma**2 / (sigma**2 + s * s / n)


def posterior(new: float, n: float, earlier: float, sigma: float, s: float | None = None) -> float:
    """The new build's mean after n outcomes, drawn towards the earlier's; s as `spread` if None."""
    b = weight(n, spread(earlier) if s is None else s, sigma)
    return (1 - b) * earlier + b * new
