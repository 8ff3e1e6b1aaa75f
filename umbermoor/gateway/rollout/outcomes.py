"""One proxy's counts of an order's outcomes, and its own alarm. Times are whole microseconds."""

from dataclasses import dataclass, field
from math import log

from umbermoor.gateway.rollout.baseline import Baseline
from umbermoor.gateway.rollout.judgement import (
    ASSUMED_BAD_SHARE,
    MIN_OUTCOMES,
    log_likelihood_ratio,
)
from umbermoor.gateway.rollout.reports import OutcomeCounts, ResponseCounts, VersionResponses

ALARM_THRESHOLD = log(300)
"""The sum of log-likelihood ratios at which the proxy's own test raises an alarm."""
EXCESS_SHARE = 0.3
"""The alternative hypothesis: a bad version turns this share of otherwise good outcomes bad."""
MAX_NAMED_INSTANCES = 12
"""How many instances a report counts separately; further ones are counted together."""


@dataclass(slots=True)
class OrderOutcomes:
    """The outcomes of both versions at one proxy since it learned of the order."""

    trial: OutcomeCounts = field(default_factory=OutcomeCounts)
    baseline: OutcomeCounts = field(default_factory=OutcomeCounts)
    baseline_share: Baseline = field(default_factory=lambda: Baseline(0.0, MIN_OUTCOMES))
    by_instance: dict[str, list[int]] = field(default_factory=dict)
    """Outcomes and bad outcomes, by instance of the trial."""
    responses: VersionResponses = field(
        default_factory=lambda: VersionResponses({}, ResponseCounts())
    )
    trial_errors: int = 0
    """The trial's responses that were errors."""
    evidence_against: float = 0.0
    """CUSUM of the outcomes against the new version, after the trial stage."""

    @property
    def trial_bad(self) -> int:
        """A number that rises with each bad outcome or error response of the trial."""
        return self.trial.bad + self.trial_errors

    def add_trial(self, instance: str, good: bool, failed: bool) -> None:
        """Count an outcome of the new version."""
        self.trial.add(good, failed)
        counts = self.by_instance.setdefault(_counted_name(instance, self.by_instance), [0, 0])
        counts[0] += 1
        counts[1] += not good

    def add_baseline(self, now: int, good: bool, failed: bool) -> None:
        """Count an outcome of the earlier version."""
        self.baseline.add(good, failed)
        self.baseline_share.add(now, 1, not good)

    def add_trial_response(self, instance: str, error: bool, late: bool) -> None:
        """Count a complete response of the new version."""
        trial = self.responses.trial
        trial.setdefault(_counted_name(instance, trial), ResponseCounts()).add(error, late)
        self.trial_errors += error

    def add_baseline_response(self, error: bool, late: bool) -> None:
        """Count a complete response of the earlier version."""
        self.responses.baseline.add(error, late)

    def raises_alarm(self, good: bool, pooled_share: float) -> bool:
        """Whether an outcome of the new version raises the alarm, which starts anew then.

        Args:
            good: the outcome.
            pooled_share: the earlier version's share of bad outcomes at all proxies, if known.
        """
        baseline = self.baseline_share
        bad_share = max(baseline.mean(), baseline.since_order(), pooled_share)
        ordinary_share = min(1.0, ASSUMED_BAD_SHARE + bad_share)
        ratio = log_likelihood_ratio(ordinary_share, EXCESS_SHARE, 1, not good)
        self.evidence_against = max(0.0, self.evidence_against + ratio)
        if self.evidence_against < ALARM_THRESHOLD:
            return False
        self.evidence_against = 0.0
        return True


def _counted_name(instance: str, counted: dict[str, list[int]] | dict[str, ResponseCounts]) -> str:
    """Return the name under which an instance is counted; "" for further ones."""
    return instance if instance in counted or len(counted) < MAX_NAMED_INSTANCES else ""
