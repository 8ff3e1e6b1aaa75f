"""One service's rollout at one proxy: which version an attempt goes to, its scores, its vote.

Times are whole microseconds, unless a name says seconds.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, log
from typing import NamedTuple

from umbermoor.gateway.rollout.judgement import (
    INITIAL_MEAN,
    LONE_BAD_SHARE,
    MAX_BASELINE,
    MAX_MEAN,
    MIN_OUTCOMES,
    SIGMA,
    log_likelihood_ratio,
    trails,
)
from umbermoor.gateway.rollout.records import (
    OutcomeCounts,
    ProxyReport,
    RolloutRecord,
    RolloutState,
    Vote,
)
from umbermoor.gateway.rollout.stages import (
    FINAL_STAGE,
    STAGE_SHARES,
    STEP_LEASE,
    TRIAL_SHARE,
    TRIAL_TURN,
    WARM_UP_TIME,
    instances_for_share,
    oldest_first,
)
from umbermoor.gateway.units import SECOND
from umbermoor.statistics.test_roll import needed

JUDGE_AFTER = 4 * SECOND
"""A stage is judged this long after its newest instance was listed, short of n* or not."""
HORIZON = 20 * SECOND
"""The requests expected in this time are the paper's N."""
MAX_TRIAL_SHARE = 0.25
"""Of the requests, the most that the trial's bursts take, where there are few instances."""
EJECTION_FAILURES = 3
"""Consecutive failures that set an instance aside while there is another (outlier ejection)."""
EJECTION_TIME = 2 * SECOND
BACK_OFF_TIME = SECOND * 3 // 2
"""A proxy that sees enough bad outcomes itself keeps off the trial for so long, by itself."""
OWN_ALARM = log(300)
"""The sum of log-likelihood ratios that is enough."""
OWN_EXCESS_SHARE = 0.3
"""The alternative tested: the share of else good outcomes that a bad version spoils."""
MAX_NAMED_INSTANCES = 12
"""Counted one by one in a report; the others together."""
KEEP_OFF = -1
"""The stage of a proxy that leaves the trial alone."""


class ListedInstance(NamedTuple):
    """An instance that may be used."""

    id: str
    version: str
    listed_at: int
    """When this proxy first had it listed."""


class ReportKey(NamedTuple):
    """What makes a report urgent when it changes, the most urgent first."""

    stage: int
    vote: str | None
    previous_in_flight: bool
    trial_bad: int
    baseline_bad: int


class ConsecutiveFailures(NamedTuple):
    """Failed attempts in a row at one instance, and when the last attempt ended."""

    attempts: int
    at: int


@dataclass(slots=True)
class ServiceRollout:
    """What one proxy knows of a service: its versions' instances, and the last order."""

    record: RolloutRecord | None = None
    received_at: int = 0
    """When the record came."""
    stage_since: int = 0
    """When this proxy learnt of the stage."""
    elapsed_at_receipt: float = 0.0
    """Seconds since the order that had passed when the record came, at the least."""
    order_known: bool = False
    """Whether any update came of this service, be it that there is no order."""
    version_in_use: str | None = None
    """Where no order says more."""
    instances: list[ListedInstance] = field(default_factory=list)
    instance_ids: frozenset[str] = frozenset()
    counting_since: int = 0
    """When this proxy began to count for the order; names the count in reports."""
    requests: int = 0
    trial_credit: float = 0.0
    """Requests that the trial may still be sent."""
    trial_threshold: float | None = None
    """At this credit one is sent; drawn, so that many lightly loaded proxies keep the sum."""
    reserved: int = 0
    """Attempts promised to the trial and not sent yet."""
    in_flight: Counter[str] = field(default_factory=Counter)
    """Attempts under way, by version."""
    trial: OutcomeCounts = field(default_factory=OutcomeCounts)
    baseline: OutcomeCounts = field(default_factory=OutcomeCounts)
    by_instance: dict[str, list[int]] = field(default_factory=dict)
    """Outcomes and bad ones of the trial's instances."""
    failures: dict[str, ConsecutiveFailures] = field(default_factory=dict)
    evidence_against: float = 0.0
    """What this proxy's own outcomes since the trial stage say against the new version."""
    kept_off_until: int = 0
    request_rate: float = 0.0
    """Requests in half the HORIZON, decaying."""
    rate_at: int = 0
    reported_at: int | None = None
    last_reported: ReportKey | None = None
    base_version: str | None = None
    """The version in use: the one from before the order until that is settled."""
    base_instances: int = 0
    target_instances: list[ListedInstance] = field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether an order is under way."""
        return self.record is not None and self.record.state == RolloutState.RUNNING

    # Inputs

    def successor(self, now: int) -> "ServiceRollout":
        """The state at the beginning of a new order: what does not belong to the last one stays."""
        return ServiceRollout(
            version_in_use=self.version_in_use,
            instances=self.instances,
            instance_ids=self.instance_ids,
            in_flight=self.in_flight,
            failures=self.failures,
            request_rate=self.request_rate,
            rate_at=self.rate_at,
            order_known=True,
            counting_since=now,
        )

    def apply(self, now: int, record: RolloutRecord) -> None:
        """A later record is in force."""
        elapsed = 0.0
        if self.record is not None:
            elapsed = self.elapsed_at_receipt + (now - self.received_at) / SECOND
        self.elapsed_at_receipt = max(record.elapsed_seconds, elapsed)
        if self.record is None or record.stage != self.record.stage:
            self.stage_since = now
        self.record, self.received_at = record, now
        self._derive_versions()

    def update_instances(self, instances: Sequence[ListedInstance]) -> None:
        """All instances of the service that may be used."""
        self.instances = sorted(instances)
        self.instance_ids = frozenset(instance.id for instance in instances)
        for id in self.failures.keys() - self.instance_ids:
            del self.failures[id]
        present = {instance.version for instance in instances}
        if self.record is None and present:
            outdated = self.version_in_use not in present and self.order_known
            if self.version_in_use is None or outdated:
                # An order may be under way that this proxy has not heard of: the lower version is
                # the earlier one.
                self.version_in_use = oldest_first(list(present))[0]
        self._derive_versions()

    def _derive_versions(self) -> None:
        """What the record and the listed instances say together."""
        record, present = self.record, Counter(instance.version for instance in self.instances)
        if record is None:
            self.base_version = self.version_in_use
        elif record.state == RolloutState.SETTLED:
            self.base_version = record.target
        else:
            previous = record.previous or oldest_first(
                [version for version in present if version != record.target]
            )
            fallback = previous[0] if previous else None
            self.base_version = next(
                (version for version in previous if version in present), fallback
            )
        self.base_instances = 0 if self.base_version is None else present[self.base_version]
        self.target_instances = [
            instance
            for instance in self.instances
            if record is not None and instance.version == record.target
        ]

    def request_received(self, now: int) -> None:
        """A client's request came; retries are none."""
        self.requests += 1
        self.request_rate = self.request_rate * exp((self.rate_at - now) / (HORIZON / 2)) + 1
        self.rate_at = now
        if self.running:
            self.trial_credit += TRIAL_SHARE

    # Which version

    def trial_instances(self, now: int) -> tuple[str, ...]:
        """The new version's instances that carry its share now: few, so that their load is real."""
        record = self.record
        if record is None:
            return ()
        if record.state != RolloutState.RUNNING or record.stage == FINAL_STAGE:
            return tuple(instance.id for instance in self.target_instances)
        warm = [
            instance.id
            for instance in self.target_instances
            if now - instance.listed_at >= WARM_UP_TIME
        ]
        sound = [id for id in warm if not self._ejected(now, id)] or warm
        if record.stage:
            return tuple(sound[: instances_for_share(record.stage, self.base_instances)])
        turn = int(self.elapsed_at_receipt * SECOND + now - self.received_at) // TRIAL_TURN
        if turn % 3 == 2:
            return ()
        return tuple(sound[:2][turn % 2 :][:1] or sound[:1])

    def _ejected(self, now: int, id: str) -> bool:
        failures = self.failures.get(id)
        if failures is None:
            return False
        return failures.attempts >= EJECTION_FAILURES and now - failures.at < EJECTION_TIME

    def choose_version(self, now: int, stage: int, draw: float, retry: bool) -> str | None:
        """The version that this attempt must go to, at the stage that the proxy acts by."""
        record, base = self.record, self.base_version
        if record is None or record.state != RolloutState.RUNNING:
            return base
        if stage == FINAL_STAGE:
            return record.target
        if stage == KEEP_OFF or retry or not self.trial_instances(now):
            return base
        if stage and now - self.stage_since <= STEP_LEASE * record.ramp_seconds * SECOND:
            return record.target if draw < STAGE_SHARES[stage] else base
        return record.target if self._take_credit(draw) else base

    def _take_credit(self, draw: float) -> bool:
        """Whether the trial gets this attempt, within its share of the requests so far."""
        if self.trial_threshold is None:
            self.trial_threshold = draw
            return False
        burst_share = min(MAX_TRIAL_SHARE, 1 / max(1, self.base_instances))
        if self.trial_credit < self.trial_threshold or draw >= burst_share:
            return False
        self.trial_credit -= 1
        self.reserved += 1
        return True

    def may_send(self, stage: int, version: str) -> bool:
        """Whether this version may be sent an attempt now; asked right before the sending."""
        record = self.record
        if record is None or record.state != RolloutState.RUNNING:
            return version == self.base_version
        if version != record.target:
            return stage != FINAL_STAGE and version == self.base_version
        if stage != 0:
            return stage > 0
        threshold = self.trial_threshold
        return self.reserved > 0 or (threshold is not None and self.trial_credit >= threshold)

    # Attempts

    def attempt_sent(self, version: str) -> None:
        """An attempt was sent to an instance of this version."""
        self.in_flight[version] += 1
        record = self.record
        if record is None or record.state != RolloutState.RUNNING or version != record.target:
            return
        if self.reserved:
            self.reserved -= 1
        else:
            self.trial_credit -= 1

    def attempt_ended(
        self,
        now: int,
        version: str,
        instance: str,
        listed_at: int,
        in_time: bool,
        failed: bool,
        retry: bool,
    ) -> None:
        """An attempt that was sent has ended, see `RolloutObserver.attempt_ended`."""
        self._no_longer_in_flight(version)
        self._note_failure(now, instance, failed)
        if not retry:
            self._count_outcome(now, version, instance, listed_at, in_time and not failed, failed)

    def attempt_abandoned(
        self, now: int, version: str, instance: str, listed_at: int, in_time: bool, retry: bool
    ) -> None:
        """An attempt was broken off, see `RolloutObserver.attempt_abandoned`."""
        self._no_longer_in_flight(version)
        if not (in_time or retry):
            self._count_outcome(now, version, instance, listed_at, good=False, failed=False)

    def _no_longer_in_flight(self, version: str) -> None:
        self.in_flight[version] -= 1
        if self.in_flight[version] <= 0:
            del self.in_flight[version]

    def _count_outcome(
        self, now: int, version: str, instance: str, listed_at: int, good: bool, failed: bool
    ) -> None:
        """Scores an attempt by which its version is judged."""
        record = self.record
        if record is None or record.state != RolloutState.RUNNING:
            return
        if now - listed_at < WARM_UP_TIME:
            return
        if version == record.target:
            self.trial.add(good, failed)
            self._count_trial_outcome(now, record, instance, good)
        elif version == self.base_version:
            self.baseline.add(good, failed)

    def _note_failure(self, now: int, instance: str, failed: bool) -> None:
        if not failed:
            self.failures.pop(instance, None)
        elif instance in self.instance_ids:
            last = self.failures.get(instance)
            attempts = 1 if last is None else last.attempts + 1
            self.failures[instance] = ConsecutiveFailures(attempts, now)

    def _count_trial_outcome(
        self, now: int, record: RolloutRecord, instance: str, good: bool
    ) -> None:
        named = instance in self.by_instance or len(self.by_instance) < MAX_NAMED_INSTANCES
        count = self.by_instance.setdefault(instance if named else "", [0, 0])
        count[0] += 1
        count[1] += not good
        if not record.stage:
            return
        bad_share = self.baseline.bad / max(self.baseline.total, MIN_OUTCOMES)
        usual = min(MAX_BASELINE, LONE_BAD_SHARE + bad_share)
        ratio = log_likelihood_ratio(usual, OWN_EXCESS_SHARE, 1, not good)
        self.evidence_against = max(0.0, self.evidence_against + ratio)
        if self.evidence_against >= OWN_ALARM:
            # The controllers may be changing their leader while the version turns bad.
            self.evidence_against, self.kept_off_until = 0.0, now + BACK_OFF_TIME

    # Vote and report

    def vote(self, now: int) -> Vote | None:
        """Test & Roll on this proxy's own outcomes; None while they cannot be judged.

        They can once the trial has n* outcomes (the paper's equation 10, test_roll.needed), or
        JUDGE_AFTER its newest instance was listed.
        """
        if not self.running:
            return None
        trial, baseline = self.trial, self.baseline
        mu = INITIAL_MEAN
        if baseline.total >= MIN_OUTCOMES:
            mu = baseline.good / baseline.total
        mu = min(MAX_MEAN, mu)
        newest = max((instance.listed_at for instance in self.target_instances), default=now)
        waited = bool(self.target_instances) and now - newest >= JUDGE_AFTER
        expected = 2 * self.request_rate * exp((self.rate_at - now) / (HORIZON / 2))
        if trial.total < MIN_OUTCOMES:
            return None
        if not waited and trial.total < needed(expected, mu, SIGMA, MIN_OUTCOMES):
            return None
        behind = trails(trial.good / trial.total, trial.total, mu)
        return Vote.REVERT if behind else Vote.ADVANCE

    def previous_in_flight(self, target: str) -> int:
        """Attempts under way at other versions than the target."""
        return sum(count for version, count in self.in_flight.items() if version != target)

    def report_key(self, stage: int, vote: Vote | None, previous_in_flight: int) -> ReportKey:
        """What is compared with the last report to see whether a new one is due."""
        return ReportKey(stage, vote, previous_in_flight > 0, self.trial.bad, self.baseline.bad)

    def report(
        self, now: int, service: str, record: RolloutRecord, key: ReportKey, previous: int
    ) -> ProxyReport:
        """What is told to the controller; `previous`: attempts in flight at previous versions."""
        elapsed = self.elapsed_at_receipt + (now - self.received_at) / SECOND
        warm = sum(now - instance.listed_at >= WARM_UP_TIME for instance in self.target_instances)
        return ProxyReport(
            service,
            record.target,
            record.order,
            key.stage,
            self.counting_since,
            round(elapsed, 3),
            key.vote,
            self.trial,
            self.baseline,
            self.by_instance,
            previous,
            self.requests,
            self.base_instances,
            warm,
        )
