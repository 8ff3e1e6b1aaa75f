"""The controller's sequential test: is the new version worse than the earlier one?

The test is CUSUM (E. S. Page, "Continuous Inspection Schemes", Biometrika 1954): a sum of
log-likelihood ratios that never falls below 0. It compares the new version's bad outcomes, pooled
over all proxies, with those of the earlier version at the same time. An alarm also requires a lower
threshold to be exceeded without the instance, and without the proxy, that contributes most: a
single instance may die, and a single proxy may have a fault of its own.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import exp, log, sqrt
from typing import NamedTuple

from umbermoor.gateway.rollout.judgement import (
    ASSUMED_BAD_SHARE,
    MAX_BASELINE,
    MAX_MEAN,
    MIN_OUTCOMES,
    log_likelihood_ratio,
    trails,
)
from umbermoor.gateway.rollout.records import OutcomeCounts
from umbermoor.gateway.units import SECOND

EXCESS_SHARES = (0.1, 0.3, 0.6)
"""The alternative hypotheses: a bad version turns this share of otherwise good outcomes bad."""
ALARM_THRESHOLD = log(3000)
"""A sum that reaches this, for any of the alternatives, reverts the rollout."""
CONFIRMED_ALARM_THRESHOLD = log(30)
"""The sum that must remain without any one instance or proxy.

One bad outcome is not enough to reach it; at least two are needed.
"""
MAX_ADVANCE_EVIDENCE = ALARM_THRESHOLD / 3
"""The rollout does not advance while the confirmed evidence is this much or more."""
BASELINE_MEMORY = 0.8 * SECOND
"""Time constant of the exponential decay of the earlier version's outcomes, in microseconds."""
PRIOR_OUTCOMES, PRIOR_BAD_SHARE = 20.0, 0.02
"""Prior of the baseline: this many outcomes, with this share of bad ones."""
MIN_BASELINE = 0.05
EVALUATION_DELAY = 150_000
"""Outcomes wait this long, so that the earlier version's from the same time arrive first."""
MAX_SOURCES = 256
"""How many instances are counted separately; further ones are counted together."""

PROXY, INSTANCE = "front", "machine"
"""The two kinds of sources."""


class Source(NamedTuple):
    """A proxy that reported outcomes, or an instance that had them."""

    kind: str
    name: str


class Evidence(NamedTuple):
    """Evidence against the new version, as sums of log-likelihood ratios."""

    against: float
    """The sum, reduced if too much of it comes from one instance or one proxy.

    ALARM_THRESHOLD or more reverts the rollout.
    """
    confirmed: float
    """The sum without the instance or the proxy that contributes most."""


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


class _Pending(NamedTuple):
    at: int
    proxy: str
    instance: str
    outcomes: int
    bad: int


@dataclass(slots=True)
class Baseline:
    """The earlier version's current share of bad outcomes; older outcomes decay."""

    outcomes: float = 0.0
    bad: float = 0.0
    at: int = 0

    def add(self, now: int, outcomes: int, good: int) -> None:
        """Count outcomes of the earlier version that are reported now."""
        decay = exp((self.at - now) / BASELINE_MEMORY)
        self.outcomes = self.outcomes * decay + outcomes
        self.bad = self.bad * decay + outcomes - good
        self.at = now

    def mean(self) -> float:
        """Return the estimated share of bad outcomes."""
        return (self.bad + PRIOR_OUTCOMES * PRIOR_BAD_SHARE) / (self.outcomes + PRIOR_OUTCOMES)

    def upper_bound(self, no_baseline: bool) -> float:
        """Return the estimate plus twice its standard error.

        `no_baseline` means that no earlier version is in use any more.
        """
        mean = self.mean()
        high = mean + 2 * sqrt(mean * (1 - mean) / (self.outcomes + PRIOR_OUTCOMES))
        return min(MAX_BASELINE, max(high, ASSUMED_BAD_SHARE if no_baseline else MIN_BASELINE))


@dataclass
class SequentialTest:
    """Pooled outcomes of one order, and the CUSUM test on them."""

    baseline: Baseline = field(default_factory=Baseline)
    sums: dict[float, float] = field(default_factory=lambda: dict.fromkeys(EXCESS_SHARES, 0.0))
    contributions: dict[float, dict[Source, float]] = field(
        default_factory=lambda: {excess: defaultdict(float) for excess in EXCESS_SHARES}
    )
    """What each source contributed to the sums."""
    trial: OutcomeCounts = field(default_factory=OutcomeCounts)
    previous: OutcomeCounts = field(default_factory=OutcomeCounts)
    source_counts: dict[str, dict[str, SourceCount]] = field(
        default_factory=lambda: {PROXY: {}, INSTANCE: {}}
    )
    pending: deque[_Pending] = field(default_factory=deque)

    def add_pending(self, now: int, proxy: str, instance: str, outcomes: int, bad: int) -> None:
        """Add outcomes of the new version, to be evaluated after EVALUATION_DELAY."""
        self.pending.append(_Pending(now, proxy, instance, outcomes, bad))

    def evaluate_pending(self, now: int, no_baseline: bool) -> None:
        """Evaluate the outcomes whose delay is over; all of them if there is no baseline."""
        mean, baseline_share = self.baseline.mean(), self.baseline.upper_bound(no_baseline)
        while self.pending and (no_baseline or now - self.pending[0].at >= EVALUATION_DELAY):
            self._evaluate(self.pending.popleft(), mean, baseline_share)

    def _evaluate(self, pending: _Pending, mean: float, baseline_share: float) -> None:
        _, proxy, instance, outcomes, bad = pending
        by_instance = self.source_counts[INSTANCE]
        if instance not in by_instance and len(by_instance) >= MAX_SOURCES:
            instance = ""
        sources = (Source(PROXY, proxy), Source(INSTANCE, instance))
        for kind, name in sources:
            count = self.source_counts[kind].setdefault(name, SourceCount())
            count.outcomes += outcomes
            count.bad += bad
            count.expected_bad += outcomes * mean
        for excess in EXCESS_SHARES:
            ratio = log_likelihood_ratio(baseline_share, excess, outcomes, bad)
            self.sums[excess] += ratio
            if self.sums[excess] <= 0:
                self.sums[excess] = 0.0
                self.contributions[excess].clear()
            else:
                for source in sources:
                    self.contributions[excess][source] += ratio

    def evidence(self, instances: int, proxies: int) -> Evidence:
        """Return the evidence against the version, for the alternative with the strongest evidence.

        `instances` of the new version and `proxies` are the current numbers: a source that is the
        only one of its kind is never excluded.
        """
        strongest = Evidence(0.0, 0.0)
        for excess, total in self.sums.items():
            remaining = total
            for kind, count in ((INSTANCE, instances), (PROXY, proxies)):
                if count > 1:
                    remaining = min(remaining, total - self._largest_contribution(excess, kind))
            against = min(total, remaining + ALARM_THRESHOLD - CONFIRMED_ALARM_THRESHOLD)
            strongest = max(
                strongest, Evidence(against, remaining), key=lambda evidence: evidence.against
            )
        return strongest

    def _largest_contribution(self, excess: float, kind: str) -> float:
        contributions = self.contributions[excess].items()
        return max((ratio for source, ratio in contributions if source.kind == kind), default=0.0)

    def trails(self, instances: int, proxies: int) -> bool:
        """Whether the new version is worse by Test & Roll on the pooled outcomes.

        It must also be so without the worst instance and without the worst proxy. The earlier
        version's mean is taken at the times of the trial's outcomes, so that a temporary fault that
        affects both versions makes no difference.
        """
        by_proxy = self.source_counts[PROXY].values()
        outcomes = sum(count.outcomes for count in by_proxy)
        bad = sum(count.bad for count in by_proxy)
        expected_bad = sum(count.expected_bad for count in by_proxy)
        exclusions = [SourceCount()]
        if proxies > 1:
            exclusions.append(self._worst(PROXY))
        if instances > 1:
            exclusions.append(self._worst(INSTANCE))
        return all(
            _pooled_trails(
                outcomes - excluded.outcomes,
                bad - excluded.bad,
                expected_bad - excluded.expected_bad,
            )
            for excluded in exclusions
        )

    def _worst(self, kind: str) -> SourceCount:
        counts = self.source_counts[kind].values()
        return max(counts, key=lambda count: count.surplus, default=SourceCount())


def _pooled_trails(outcomes: float, bad: float, expected_bad: float) -> bool:
    """Whether the new version trails an earlier one that would have `expected_bad` bad outcomes."""
    if outcomes < MIN_OUTCOMES:
        return False
    mu = min(MAX_MEAN, 1 - expected_bad / outcomes)
    return trails(1 - bad / outcomes, outcomes, mu)
