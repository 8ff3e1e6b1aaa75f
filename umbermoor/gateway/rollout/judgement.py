"""How outcomes are judged, at a proxy and at the controller: Test & Roll, and a likelihood ratio.

Test & Roll: E. Feit, R. Berman, "Test & Roll: Profit-Maximizing A/B Tests", 2019. The symbols mu,
sigma, s, n and b are the paper's; `umbermoor.statistics.test_roll` has its closed forms.
"""

from math import log, sqrt

from umbermoor.statistics.test_roll import posterior, spread, weight

SIGMA = 0.05
"""The paper's sigma: how far apart the true means of two versions are expected to lie."""
FIXED_MARGIN = 0.02
"""The fixed part of the lead that the earlier version needs for a vote to revert."""
MIN_OUTCOMES = 10
"""With fewer, nothing is judged by its mean."""
INITIAL_MEAN = 0.9
"""The paper's mu, the earlier version's mean, until that has MIN_OUTCOMES."""
MAX_MEAN = 0.985
"""A mean above this is taken for this, so that s never vanishes."""
LONE_BAD_SHARE = 0.08
"""The share of bad outcomes that is taken for usual while no earlier version can be compared."""
MAX_BASELINE = 0.9
"""A share of bad outcomes above this is taken for this, as what is usual at the earlier version."""


def trails(mean_new: float, outcomes: float, mu: float) -> bool:
    """Whether the new version's posterior mean trails the earlier version's mean by too much.

    The lead that it must not trail by is FIXED_MARGIN + 2 b s / sqrt(n): the margin, and twice the
    spread of the shrunk mean itself. The paper's decision rule (its equation 8) has no margin.

    Args:
        mean_new: the new version's mean score, 0 to 1.
        outcomes: the paper's n, how many it is the mean of.
        mu: the earlier version's mean.
    """
    s = spread(mu)
    b = weight(outcomes, s, SIGMA)
    lead = FIXED_MARGIN + 2 * b * s / sqrt(outcomes)
    return mu - posterior(mean_new, outcomes, mu, SIGMA) > lead


def log_likelihood_ratio(usual: float, excess: float, outcomes: int, bad: int) -> float:
    """How much some bad outcomes speak for a bad version.

    Args:
        usual: the share of bad outcomes that a good version has.
        excess: the share of else good outcomes that a bad version spoils.
        outcomes: how many there were.
        bad: how many of them were bad.
    """
    share = usual + excess * (1 - usual)
    return bad * log(share / usual) + (outcomes - bad) * log((1 - share) / (1 - usual))
