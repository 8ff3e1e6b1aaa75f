"""Evidence that a version has more bad outcomes than an equal one would have.

It is the likelihood ratio of Poisson counts: the observed number against the number that is
expected if each outcome were bad as often as the earlier version's at the same time. Failures that
both versions share are expected, and a source that may be faulty by itself is left out.

Source: J. Neyman, E. S. Pearson, "On the Problem of the Most Efficient Tests of Statistical
Hypotheses", 1933.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import log, sqrt

MIN_BAD = 2
"""One bad outcome is no evidence."""
FAULTY_SHARE, FAULTY_BAD = 0.25, 2
"""With this share of bad outcomes, and so many, a source may be faulty by itself."""


@dataclass(slots=True)
class SourceCount:
    """Outcomes of one source: all, the bad ones, and the bad ones that the baseline predicts."""

    outcomes: float = 0
    bad: float = 0
    expected_bad: float = 0

    @property
    def surplus(self) -> float:
        """The bad outcomes in excess of the expected ones."""
        return self.bad - self.expected_bad

    @property
    def may_be_faulty(self) -> bool:
        """Whether the source may be faulty by itself."""
        return self.bad >= FAULTY_BAD and self.bad >= FAULTY_SHARE * self.outcomes

    def add(self, outcomes: float, bad: float, expected_bad: float) -> None:
        """Count outcomes."""
        self.outcomes += outcomes
        self.bad += bad
        self.expected_bad += expected_bad


def total(counts: Iterable[SourceCount]) -> SourceCount:
    """Return the sum of counts."""
    result = SourceCount()
    for count in counts:
        result.add(count.outcomes, count.bad, count.expected_bad)
    return result


def worst(counts: Iterable[SourceCount]) -> SourceCount:
    """Return the count with the largest surplus; an empty one if there is none."""
    return max(counts, key=lambda count: count.surplus, default=SourceCount())


def without(count: SourceCount, excluded: SourceCount) -> SourceCount:
    """Return a count without the outcomes of one of its sources."""
    return SourceCount(
        count.outcomes - excluded.outcomes,
        count.bad - excluded.bad,
        count.expected_bad - excluded.expected_bad,
    )


def evidence(count: SourceCount) -> float:
    """Return the log-likelihood ratio of a worse version to an equal one; 0 or more."""
    if count.bad < MIN_BAD or count.bad <= count.expected_bad:
        return 0.0
    expected = max(count.expected_bad, 1e-9)
    return count.bad * log(count.bad / expected) - count.surplus


def evidence_without_faulty(counts: Collection[SourceCount], sources: int) -> float:
    """Return the evidence of all sources, without the worst of several if it may be faulty."""
    pooled, suspect = total(counts), worst(counts)
    if sources > 1 and suspect.may_be_faulty:
        pooled = without(pooled, suspect)
    return evidence(pooled)


def exceeds(count: SourceCount, allowed: float) -> bool:
    """Whether there are `allowed` bad outcomes and two standard deviations more than expected."""
    return count.surplus >= allowed + 2 * sqrt(max(0.0, count.expected_bad))
