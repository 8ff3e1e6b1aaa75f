"""The controller's test of complete responses: are more of the new version's bad than expected?

A response is an instance's own doing, so no allowance is made for faults on the way, and a version
that fails few of its requests is found by few bad responses. Server errors are tested alone, and
together with late responses. Times are whole microseconds.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.gateway.rollout.baseline import BACKLOG_DELAY, EVALUATION_DELAY, Baseline
from umbermoor.gateway.rollout.excess import SourceCount, evidence_without_faulty
from umbermoor.gateway.rollout.reports import ResponseCounts

ASSUMED_SHARE, ASSUMED_RESPONSES = 0.002, 200.0
"""The share of bad responses that is assumed of the earlier version, and the weight of that."""
OVERDISPERSION = 2.0
"""Late responses come in groups; the evidence of their number is divided by this."""
MAX_INSTANCES = 256
"""How many instances are counted separately; further ones are counted together."""


class _Pending(NamedTuple):
    at: int
    instance: str
    responses: int
    bad: int


@dataclass(slots=True)
class ExcessTest:
    """Responses of both versions with one definition of bad ones."""

    baseline: Baseline = field(default_factory=lambda: Baseline(ASSUMED_SHARE, ASSUMED_RESPONSES))
    instances: dict[str, SourceCount] = field(default_factory=dict)
    """The new version's responses, by instance."""
    pending: deque[_Pending] = field(default_factory=deque)
    backlog: deque[_Pending] = field(default_factory=deque)
    """What the proxies' first reports count; the time of these responses is unknown."""

    def add_trial(
        self, now: int, instance: str, responses: int, bad: int, is_backlog: bool
    ) -> None:
        """Add responses of the new version, to be evaluated after a delay."""
        if responses > 0:
            queue = self.backlog if is_backlog else self.pending
            queue.append(_Pending(now, instance, responses, bad))

    def evaluate_pending(self, now: int, no_baseline: bool) -> None:
        """Evaluate the responses whose delay is over; all of them if there is no baseline."""
        if no_baseline:
            self.baseline.freeze()
        share, highest = self.baseline.current(), self.baseline.highest()
        while self.pending and (no_baseline or now - self.pending[0].at >= EVALUATION_DELAY):
            self._evaluate(self.pending.popleft(), share)
        while self.backlog and (no_baseline or now - self.backlog[0].at >= BACKLOG_DELAY):
            self._evaluate(self.backlog.popleft(), highest)

    def _evaluate(self, pending: _Pending, share: float) -> None:
        _, instance, responses, bad = pending
        if instance not in self.instances and len(self.instances) >= MAX_INSTANCES:
            instance = ""
        count = self.instances.setdefault(instance, SourceCount())
        count.add(responses, bad, responses * share)

    def evidence(self, instances: int) -> float:
        """Return the log-likelihood ratio of a worse version to an equal one; 0 or more.

        Of several `instances` of the new version, one that may be faulty by itself is left out.
        """
        return evidence_without_faulty(self.instances.values(), instances)


@dataclass(slots=True)
class ResponseTest:
    """The pooled responses of one order: errors, and errors together with late responses."""

    errors: ExcessTest = field(default_factory=ExcessTest)
    errors_or_late: ExcessTest = field(default_factory=ExcessTest)

    def add_baseline(self, now: int, responses: ResponseCounts, is_backlog: bool) -> None:
        """Add responses of the earlier version that are reported now."""
        self.errors.baseline.add(now, responses.total, responses.errors, is_backlog)
        self.errors_or_late.baseline.add(now, responses.total, responses.bad, is_backlog)

    def add_trial(
        self, now: int, instance: str, responses: ResponseCounts, is_backlog: bool
    ) -> None:
        """Add responses of the new version that are reported now."""
        self.errors.add_trial(now, instance, responses.total, responses.errors, is_backlog)
        self.errors_or_late.add_trial(now, instance, responses.total, responses.bad, is_backlog)

    def evaluate_pending(self, now: int, no_baseline: bool) -> None:
        """Evaluate the responses whose delay is over; all of them if there is no baseline."""
        self.errors.evaluate_pending(now, no_baseline)
        self.errors_or_late.evaluate_pending(now, no_baseline)

    def evidence(self, instances: int) -> float:
        """Return the stronger evidence of the two, as a log-likelihood ratio."""
        late_evidence = self.errors_or_late.evidence(instances) / OVERDISPERSION
        return max(self.errors.evidence(instances), late_evidence)
