"""How often the earlier version fails: the share of bad ones among its outcomes, as it is now.

The estimate follows a sudden failure that both versions share, and falls back on longer times where
there are few recent outcomes. Once the earlier version is not used any more, the last estimate
stays. Times are whole microseconds.
"""

from dataclasses import dataclass, field
from math import exp, sqrt

from umbermoor.gateway.units import MILLISECOND

LONG_MEMORY, SHORT_MEMORY = 800 * MILLISECOND, 150 * MILLISECOND
"""Time constants of the exponential decay of older outcomes."""
EVALUATION_DELAY = 150 * MILLISECOND
"""Outcomes of the new version wait this long for the earlier version's of the same time."""
BACKLOG_DELAY = 400 * MILLISECOND
"""What a proxy's first report counts waits this long, until recent outcomes are known."""
PRIOR_OUTCOMES = 20.0
"""Weight of the share since the order in the estimate over the long memory, in outcomes."""
SHORT_PRIOR_OUTCOMES = 5.0
"""Weight of the estimate over the long memory in that over the short one, in outcomes."""


@dataclass(slots=True)
class DecayingCount:
    """Outcomes and the bad ones among them; older ones decay with a time constant."""

    memory: int
    outcomes: float = 0.0
    bad: float = 0.0
    at: int = 0

    def add(self, now: int, outcomes: int, bad: int) -> None:
        """Count outcomes that are reported now."""
        decay = exp((self.at - now) / self.memory)
        self.outcomes = self.outcomes * decay + outcomes
        self.bad = self.bad * decay + bad
        self.at = now

    def share(self, prior_share: float, prior_outcomes: float) -> float:
        """Return the share of bad outcomes, shrunk towards a prior."""
        return (self.bad + prior_share * prior_outcomes) / (self.outcomes + prior_outcomes)


@dataclass(slots=True)
class Baseline:
    """The earlier version's outcomes since the order, and its current share of bad ones."""

    assumed_share: float
    """The share that is assumed before there are outcomes."""
    assumed_outcomes: float
    """The weight of that assumption, in outcomes."""
    outcomes: int = 0
    bad: int = 0
    long: DecayingCount = field(default_factory=lambda: DecayingCount(LONG_MEMORY))
    short: DecayingCount = field(default_factory=lambda: DecayingCount(SHORT_MEMORY))
    final_share: float | None = None
    """The estimate that stays once the earlier version is not used any more."""

    def add(self, now: int, outcomes: int, bad: int, is_backlog: bool = False) -> None:
        """Count outcomes of the earlier version that are reported now.

        Those of a backlog count as outcomes since the order, but not as recent ones.
        """
        if outcomes <= 0 or self.final_share is not None:
            return
        self.outcomes += outcomes
        self.bad += bad
        if is_backlog:
            return
        self.long.add(now, outcomes, bad)
        self.short.add(now, outcomes, bad)

    def freeze(self) -> None:
        """Keep an estimate, if there is one, as the earlier version is not used any more.

        Outcomes that still come are few, and those of the slowest attempts.
        """
        if self.outcomes > 0 and self.final_share is None:
            self.final_share = self.final_estimate()

    def final_estimate(self) -> float:
        """Return an estimate to compare all later outcomes of the new version with.

        It includes standard errors, so that it is not too low by chance.
        """
        since_order = self.since_order()
        upper_bound = since_order + 2 * _standard_error(since_order, max(1, self.outcomes))
        return min(1.0, max(self.mean() + self.standard_error(), upper_bound))

    def since_order(self) -> float:
        """Return the share since the order."""
        assumed_bad = self.assumed_share * self.assumed_outcomes
        return (self.bad + assumed_bad) / (self.outcomes + self.assumed_outcomes)

    def mean(self) -> float:
        """Return the share over the long memory: steady, but late at a sudden change."""
        return self.long.share(self.since_order(), PRIOR_OUTCOMES)

    def standard_error(self) -> float:
        """Return the standard error of `mean`."""
        return _standard_error(self.mean(), self.long.outcomes + PRIOR_OUTCOMES)

    def current(self) -> float:
        """Return the share over the short memory, for outcomes that are EVALUATION_DELAY old."""
        if self.final_share is not None:
            return self.final_share
        return self.short.share(self.mean(), SHORT_PRIOR_OUTCOMES)

    def highest(self) -> float:
        """Return the largest of the estimates, for outcomes of which the time is unknown."""
        return max(self.current(), self.mean(), self.since_order())


def _standard_error(share: float, outcomes: float) -> float:
    return sqrt(share * (1 - share) / outcomes)
