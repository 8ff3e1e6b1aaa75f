"""Statistics that proxies and controller share: Test & Roll and a log-likelihood ratio.

Test & Roll: E. Feit, R. Berman, "Test & Roll: Profit-Maximizing A/B Tests", 2019. The symbols mu,
sigma, s, n and b are the paper's; `umbermoor.statistics.test_roll` has its closed forms.
"""

from math import log, log1p, sqrt

from umbermoor.statistics.test_roll import posterior, spread, weight

SIGMA = 0.05
"""The paper's sigma: the expected spread of the true means of two versions."""
FIXED_MARGIN = 0.02
"""The fixed part of the lead that the earlier version needs for a vote to revert."""
MIN_OUTCOMES = 10
"""A mean over fewer outcomes is not used for decisions."""
INITIAL_MEAN = 0.9
"""The paper's mu (the earlier version's mean) until that version has MIN_OUTCOMES outcomes."""
MAX_MEAN = 0.985
"""Means are capped here, so that the paper's s never becomes 0."""
ASSUMED_BAD_SHARE = 0.08
"""The baseline share of bad outcomes that is assumed without an earlier version to compare."""


def trails(mean_new: float, outcomes: float, mu: float) -> bool:
    """Whether the new version's posterior mean trails the earlier version's mean by too much.

    The allowed difference is FIXED_MARGIN + 2 b s / sqrt(n): a margin plus twice the standard
    deviation of the shrunk mean. The paper's decision rule (its equation 8) has no margin.

    Args:
        mean_new: the new version's mean score, 0 to 1.
        outcomes: the paper's n, the number of outcomes in that mean.
        mu: the earlier version's mean.
    """
    s = spread(mu)
    b = weight(outcomes, s, SIGMA)
    lead = FIXED_MARGIN + 2 * b * s / sqrt(outcomes)
    return mu - posterior(mean_new, outcomes, mu, SIGMA) > lead


def log_likelihood_ratio(baseline_share: float, excess: float, outcomes: int, bad: int) -> float:
    """Return the log-likelihood ratio of a bad version to a good one, given its outcomes.

    A bad version leaves 1 - excess of a good one's good outcomes. Where a good version has none
    either, no outcome is evidence.

    Args:
        baseline_share: the share of bad outcomes of a good version, above 0 and up to 1.
        excess: the share of otherwise good outcomes that a bad version turns bad, below 1.
        outcomes: the number of outcomes.
        bad: how many of them were bad.
    """
    share = baseline_share + excess * (1 - baseline_share)
    return bad * log(share / baseline_share) + (outcomes - bad) * log1p(-excess)
