"""Closed-form Test & Roll. Source and symbols: Feit and Berman (2019), "Test & Roll"."""

from math import sqrt


def spread(mean: float) -> float:
    """Return s: the standard deviation of single outcomes of 0 or 1 with this mean, 0 to 1."""
    return sqrt(mean * (1 - mean))


def needed(expected: float, mean: float, sigma: float, least: float) -> float:
    """Return n*: outcomes to judge a trial by, `least` or more, if `expected` requests follow."""
    ratio = (spread(mean) / sigma) ** 2
    return max(least, sqrt(expected / 4 * ratio + (0.75 * ratio) ** 2) - 0.75 * ratio)


def weight(n: float, s: float, sigma: float) -> float:
    """Return b: the weight, 0 to 1, of n outcomes of spread s; true means lie sigma apart."""
    return sigma**2 / (sigma**2 + s * s / n)


def posterior(new: float, n: float, earlier: float, sigma: float, s: float | None = None) -> float:
    """Return the new mean shrunk towards the earlier one; s is the earlier `spread` if None."""
    b = weight(n, spread(earlier) if s is None else s, sigma)
    return (1 - b) * earlier + b * new
