"""The controller's sequential test: is the new version worse than the earlier one?

The test is CUSUM (E. S. Page, "Continuous Inspection Schemes", Biometrika 1954): a sum of
log-likelihood ratios that never falls below 0. It compares the new version's bad outcomes, pooled
over all proxies, with those of the earlier version at the same time. An alarm also requires a lower
threshold to be exceeded without the instance, and without the proxy, that contributes most: a
single instance may die, and a single proxy may have a fault of its own.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import log
from typing import NamedTuple

from umbermoor.gateway.rollout import excess
from umbermoor.gateway.rollout.baseline import BACKLOG_DELAY, EVALUATION_DELAY, Baseline
from umbermoor.gateway.rollout.excess import SourceCount
from umbermoor.gateway.rollout.judgement import (
    ASSUMED_BAD_SHARE,
    MAX_MEAN,
    MIN_OUTCOMES,
    log_likelihood_ratio,
    trails,
)
from umbermoor.gateway.rollout.reports import OutcomeCounts

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
ASSUMED_SHARE, ASSUMED_OUTCOMES = 0.02, 20.0
"""The share of bad outcomes that is assumed of the earlier version, and the weight of that."""
MIN_BASELINE = 0.05
"""The CUSUM assumes at least this share of bad outcomes of a good version."""
MAX_EXCESS_BAD = 20
"""With so many more bad outcomes than the earlier version would have, the rollout is reverted.

It is well below the 50 after which a version must get no more requests.
"""
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


class _Pending(NamedTuple):
    at: int
    proxy: str
    instance: str
    outcomes: int
    bad: int


@dataclass
class SequentialTest:
    """Pooled outcomes of one order, and the CUSUM test on them."""

    baseline: Baseline = field(default_factory=lambda: Baseline(ASSUMED_SHARE, ASSUMED_OUTCOMES))
    sums: dict[float, float] = field(default_factory=lambda: dict.fromkeys(EXCESS_SHARES, 0.0))
    contributions: dict[float, dict[Source, float]] = field(
        default_factory=lambda: {share: defaultdict(float) for share in EXCESS_SHARES}
    )
    """What each source contributed to the sums."""
    trial: OutcomeCounts = field(default_factory=OutcomeCounts)
    previous: OutcomeCounts = field(default_factory=OutcomeCounts)
    source_counts: dict[str, dict[str, SourceCount]] = field(
        default_factory=lambda: {PROXY: {}, INSTANCE: {}}
    )
    pending: deque[_Pending] = field(default_factory=deque)
    backlog: deque[_Pending] = field(default_factory=deque)
    """What the proxies' first reports count; the time of these outcomes is unknown."""

    def add_pending(
        self, now: int, proxy: str, instance: str, outcomes: int, bad: int, is_backlog: bool
    ) -> None:
        """Add outcomes of the new version, to be evaluated after a delay."""
        queue = self.backlog if is_backlog else self.pending
        queue.append(_Pending(now, proxy, instance, outcomes, bad))

    def evaluate_pending(self, now: int, no_baseline: bool) -> None:
        """Evaluate the outcomes whose delay is over; all of them if there is no baseline."""
        if no_baseline:
            self.baseline.freeze()
        share, upper_bound = self.baseline.current(), self._upper_bound(no_baseline)
        while self.pending and (no_baseline or now - self.pending[0].at >= EVALUATION_DELAY):
            self._evaluate(self.pending.popleft(), share, upper_bound)
        highest = self.baseline.highest()
        while self.backlog and (no_baseline or now - self.backlog[0].at >= BACKLOG_DELAY):
            self._evaluate(self.backlog.popleft(), highest, max(highest, upper_bound))

    def _upper_bound(self, no_baseline: bool) -> float:
        """Return the earlier version's share of bad outcomes plus twice its standard error.

        `no_baseline` means that no earlier version is in use any more.
        """
        baseline = self.baseline
        least = ASSUMED_BAD_SHARE if no_baseline else MIN_BASELINE
        high = max(baseline.mean() + 2 * baseline.standard_error(), baseline.current(), least)
        return min(1.0, high)

    def _evaluate(self, pending: _Pending, share: float, upper_bound: float) -> None:
        _, proxy, instance, outcomes, bad = pending
        by_instance = self.source_counts[INSTANCE]
        if instance not in by_instance and len(by_instance) >= MAX_SOURCES:
            instance = ""
        sources = (Source(PROXY, proxy), Source(INSTANCE, instance))
        for kind, name in sources:
            count = self.source_counts[kind].setdefault(name, SourceCount())
            count.add(outcomes, bad, outcomes * share)
        for excess_share in EXCESS_SHARES:
            ratio = log_likelihood_ratio(upper_bound, excess_share, outcomes, bad)
            self.sums[excess_share] += ratio
            if self.sums[excess_share] <= 0:
                self.sums[excess_share] = 0.0
                self.contributions[excess_share].clear()
            else:
                for source in sources:
                    self.contributions[excess_share][source] += ratio

    def evidence(self, instances: int, proxies: int) -> Evidence:
        """Return the evidence against the version, for the alternative with the strongest evidence.

        `instances` of the new version and `proxies` are the current numbers: a source that is the
        only one of its kind is never excluded.
        """
        strongest = Evidence(0.0, 0.0)
        for excess_share, total in self.sums.items():
            remaining = total
            for kind, count in ((INSTANCE, instances), (PROXY, proxies)):
                if count > 1:
                    remaining = min(
                        remaining, total - self._largest_contribution(excess_share, kind)
                    )
            against = min(total, remaining + ALARM_THRESHOLD - CONFIRMED_ALARM_THRESHOLD)
            strongest = max(
                strongest, Evidence(against, remaining), key=lambda evidence: evidence.against
            )
        return strongest

    def _largest_contribution(self, excess_share: float, kind: str) -> float:
        contributions = self.contributions[excess_share].items()
        return max((ratio for source, ratio in contributions if source.kind == kind), default=0.0)

    def trails(self, instances: int, proxies: int) -> bool:
        """Whether the new version is worse by Test & Roll on the pooled outcomes.

        It must also be so without the worst instance and without the worst proxy. The earlier
        version's mean is taken at the times of the trial's outcomes, so that a temporary fault that
        affects both versions makes no difference.
        """
        return all(map(_pooled_trails, self._pooled(instances, proxies)))

    def _pooled(self, instances: int, proxies: int) -> list[SourceCount]:
        """Return the pooled counts, those without the worst proxy and without the worst instance.

        The only source of its kind is never excluded.
        """
        pooled = excess.total(self.source_counts[PROXY].values())
        return [pooled] + [
            excess.without(pooled, excess.worst(self.source_counts[kind].values()))
            for kind, count in ((PROXY, proxies), (INSTANCE, instances))
            if count > 1
        ]

    def exceeds_bad_answers(self, instances: int, proxies: int) -> bool:
        """Whether the new version has too many bad outcomes, whatever their share is.

        It must also have half as many without the worst instance and without the worst proxy.
        """
        pooled, *without_worst = self._pooled(instances, proxies)
        return excess.exceeds(pooled, MAX_EXCESS_BAD) and all(
            excess.exceeds(count, MAX_EXCESS_BAD / 2) for count in without_worst
        )


def _pooled_trails(count: SourceCount) -> bool:
    """Whether the new version trails an earlier one that would have the expected bad outcomes."""
    if count.outcomes < MIN_OUTCOMES:
        return False
    expected_share = min(1.0, count.expected_bad / count.outcomes)  # a difference of rounded sums
    mu = min(MAX_MEAN, 1 - expected_share)
    return trails(1 - count.bad / count.outcomes, count.outcomes, mu)
