"""Test & Roll (Feit and Berman, "Test & Roll: Profit-Maximizing A/B Tests", 2019): its closed
forms, pure."""

from math import sqrt


def spread(mean: float) -> float:
    """s: how far single outcomes of 0 or 1 with this mean, 0 to 1, lie from it (standard
    deviation)."""
    return sqrt(mean * (1 - mean))


def needed(expected: float, mean: float, sigma: float, least: float) -> float:
    """n*: outcomes of the trial to judge it by, where `expected` requests are still to come;
    `least` or more."""
    ratio = (spread(mean) / sigma) ** 2
    return max(least, sqrt(expected / 4 * ratio + (0.75 * ratio) ** 2) - 0.75 * ratio)


def weight(n: float, s: float, sigma: float) -> float:
    """b: how much n outcomes of spread s say of their mean, 0 to 1, where true means lie sigma
    apart."""
    return sigma**2 / (sigma**2 + s * s / n)


def posterior(
    mean_new: float, n: float, mean_earlier: float, sigma: float, s: float | None = None
) -> float:
    """The new one's mean as n outcomes leave it, drawn towards the earlier one's; s as `spread`
    unless given."""
    b = weight(n, spread(mean_earlier) if s is None else s, sigma)
    return (1 - b) * mean_earlier + b * mean_new
