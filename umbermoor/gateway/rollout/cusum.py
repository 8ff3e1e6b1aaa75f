"""The controller's test of all proxies' pooled outcomes: is the new version worse than the earlier?

A sequential test (a sum of log-likelihood ratios that never falls below 0; E. S. Page, "Continuous
Inspection Schemes", Biometrika 1954: CUSUM) of the new version's bad outcomes against those that
the earlier version gave at the same time. It raises the alarm only if it still would, more weakly,
without the instance and without the proxy that speak most against the version: one instance may
die, one proxy may have trouble of its own.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import exp, log, sqrt
from typing import NamedTuple

from umbermoor.gateway.rollout.judgement import (
    LONE_BAD_SHARE,
    MAX_BASELINE,
    MAX_MEAN,
    MIN_OUTCOMES,
    log_likelihood_ratio,
    trails,
)
from umbermoor.gateway.rollout.records import OutcomeCounts
from umbermoor.gateway.units import SECOND

EXCESS_SHARES = (0.1, 0.3, 0.6)
"""The alternatives tested: shares of else good outcomes that a bad version spoils."""
ALARM = log(3000)
"""The sum, for one of these, that reverts."""
CONFIRMED_ALARM = log(30)
"""What must be left of it without one instance or proxy: two bad outcomes at least."""
DOUBT = ALARM / 3
"""No step further with more left than this."""
BASELINE_MEMORY = 0.8 * SECOND
"""Outcomes of the earlier version fade with this time constant."""
PRIOR_OUTCOMES, PRIOR_BAD_SHARE = 20.0, 0.02
"""The baseline leans on so many outcomes with so many bad ones."""
MIN_BASELINE = 0.05
WEIGHING_DELAY = 150_000
"""Outcomes wait so long: those of the earlier version from the same time come first."""
MAX_SOURCES = 256
"""Proxies, and instances, that are counted one by one."""

PROXY, INSTANCE = "front", "machine"
"""Kinds of sources."""


class Source(NamedTuple):
    """A proxy that reported outcomes, or an instance that had them."""

    kind: str
    name: str


class Evidence(NamedTuple):
    """What speaks against the new version, as log-likelihood ratios."""

    against: float
    """The sum, reduced where too much of it comes from one source; ALARM or more reverts."""
    confirmed: float
    """What is left of the sum without one instance or proxy."""


@dataclass(slots=True)
class SourceCount:
    """Outcomes of one source: all, the bad ones, and how many were to be bad by the baseline."""

    outcomes: float = 0
    bad: float = 0
    expected_bad: float = 0

    @property
    def surplus(self) -> float:
        """Bad outcomes beyond the expected."""
        return self.bad - self.expected_bad


class _Pending(NamedTuple):
    at: int
    proxy: str
    instance: str
    outcomes: int
    bad: int


@dataclass(slots=True)
class Baseline:
    """The share of bad outcomes that the earlier version gives now; older ones fade."""

    outcomes: float = 0.0
    bad: float = 0.0
    at: int = 0

    def add(self, now: int, outcomes: int, good: int) -> None:
        """Counts outcomes of the earlier version that are reported now."""
        kept = exp((self.at - now) / BASELINE_MEMORY)
        self.outcomes = self.outcomes * kept + outcomes
        self.bad = self.bad * kept + outcomes - good
        self.at = now

    def mean(self) -> float:
        """The share's estimate."""
        return (self.bad + PRIOR_OUTCOMES * PRIOR_BAD_SHARE) / (self.outcomes + PRIOR_OUTCOMES)

    def upper_bound(self, lone: bool) -> float:
        """The estimate with twice its error; `lone`: no earlier version is in use any more."""
        mean = self.mean()
        high = mean + 2 * sqrt(mean * (1 - mean) / (self.outcomes + PRIOR_OUTCOMES))
        return min(MAX_BASELINE, max(high, LONE_BAD_SHARE if lone else MIN_BASELINE))


@dataclass
class SequentialTest:
    """Pooled outcomes of one order, and the test of them."""

    baseline: Baseline = field(default_factory=Baseline)
    sums: dict[float, float] = field(default_factory=lambda: dict.fromkeys(EXCESS_SHARES, 0.0))
    contributions: dict[float, dict[Source, float]] = field(
        default_factory=lambda: {excess: defaultdict(float) for excess in EXCESS_SHARES}
    )
    """Of the sums, by source."""
    trial: OutcomeCounts = field(default_factory=OutcomeCounts)
    previous: OutcomeCounts = field(default_factory=OutcomeCounts)
    counted: dict[str, dict[str, SourceCount]] = field(
        default_factory=lambda: {PROXY: {}, INSTANCE: {}}
    )
    pending: deque[_Pending] = field(default_factory=deque)

    def add_pending(self, now: int, proxy: str, instance: str, outcomes: int, bad: int) -> None:
        """Outcomes of the new version; they are weighed after WEIGHING_DELAY."""
        self.pending.append(_Pending(now, proxy, instance, outcomes, bad))

    def weigh(self, now: int, lone: bool) -> None:
        """Weighs the outcomes whose delay is over; with no earlier version in use, all."""
        mean, usual = self.baseline.mean(), self.baseline.upper_bound(lone)
        while self.pending and (lone or now - self.pending[0].at >= WEIGHING_DELAY):
            self._weigh_one(self.pending.popleft(), mean, usual)

    def _weigh_one(self, pending: _Pending, mean: float, usual: float) -> None:
        _, proxy, instance, outcomes, bad = pending
        by_instance = self.counted[INSTANCE]
        if instance not in by_instance and len(by_instance) >= MAX_SOURCES:
            instance = ""
        sources = (Source(PROXY, proxy), Source(INSTANCE, instance))
        for kind, name in sources:
            count = self.counted[kind].setdefault(name, SourceCount())
            count.outcomes += outcomes
            count.bad += bad
            count.expected_bad += outcomes * mean
        for excess in EXCESS_SHARES:
            ratio = log_likelihood_ratio(usual, excess, outcomes, bad)
            self.sums[excess] += ratio
            if self.sums[excess] <= 0:
                self.sums[excess] = 0.0
                self.contributions[excess].clear()
            else:
                for source in sources:
                    self.contributions[excess][source] += ratio

    def evidence(self, instances: int, proxies: int) -> Evidence:
        """What speaks against the version, by the alternative that speaks most.

        `instances` of the new version and `proxies` are those there are now: the only one of its
        kind is not left out.
        """
        most = Evidence(0.0, 0.0)
        for excess, total in self.sums.items():
            left = total
            for kind, count in ((INSTANCE, instances), (PROXY, proxies)):
                if count > 1:
                    left = min(left, total - self._largest_part(excess, kind))
            against = min(total, left + ALARM - CONFIRMED_ALARM)
            most = max(most, Evidence(against, left), key=lambda evidence: evidence.against)
        return most

    def _largest_part(self, excess: float, kind: str) -> float:
        parts = self.contributions[excess].items()
        return max((part for source, part in parts if source.kind == kind), default=0.0)

    def trails(self, instances: int, proxies: int) -> bool:
        """Test & Roll on the pooled outcomes, also without the worst instance and the worst proxy.

        The earlier version's mean is the one at the times of the trial's outcomes: a passing
        trouble of everything is no difference.
        """
        by_proxy = self.counted[PROXY].values()
        outcomes = sum(count.outcomes for count in by_proxy)
        bad = sum(count.bad for count in by_proxy)
        expected_bad = sum(count.expected_bad for count in by_proxy)
        left_out = [SourceCount()]
        if proxies > 1:
            left_out.append(self._worst(PROXY))
        if instances > 1:
            left_out.append(self._worst(INSTANCE))
        return all(
            _pooled_trails(outcomes - one.outcomes, bad - one.bad, expected_bad - one.expected_bad)
            for one in left_out
        )

    def _worst(self, kind: str) -> SourceCount:
        counts = self.counted[kind].values()
        return max(counts, key=lambda count: count.surplus, default=SourceCount())


def _pooled_trails(outcomes: float, bad: float, expected_bad: float) -> bool:
    """Whether the new version trails an earlier one that was to have `expected_bad` of them bad."""
    if outcomes < MIN_OUTCOMES:
        return False
    mu = min(MAX_MEAN, 1 - expected_bad / outcomes)
    return trails(1 - bad / outcomes, outcomes, mu)
