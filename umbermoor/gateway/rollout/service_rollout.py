"""The rollout of one service at one proxy: the version of each attempt, the scores and the vote.

Times are whole microseconds, unless a name says seconds.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from umbermoor.gateway.rollout.judgement import (
    INITIAL_MEAN,
    MAX_MEAN,
    MIN_OUTCOMES,
    SIGMA,
    trails,
)
from umbermoor.gateway.rollout.outcomes import OrderOutcomes
from umbermoor.gateway.rollout.records import (
    AttemptResult,
    RolloutRecord,
    RolloutState,
    Vote,
)
from umbermoor.gateway.rollout.reports import ProxyReport
from umbermoor.gateway.rollout.stages import (
    FINAL_STAGE,
    NO_TRIAL,
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

VOTE_AFTER = 4 * SECOND
"""Proxies vote this long after the newest target instance was listed, even without n* outcomes."""
HORIZON = 20 * SECOND
"""The paper's N is the number of requests expected in this time."""
MAX_TRIAL_SHARE = 0.25
"""Limit on the share of a burst of requests that goes to the trial, by saved credit.

With more than four instances of the earlier version the limit is 1 / their number.
"""
EJECTION_FAILURES = 3
"""Consecutive failures that eject an instance while another one is left (outlier ejection)."""
EJECTION_TIME = 2 * SECOND
BACK_OFF_TIME = SECOND * 3 // 2
"""How long a proxy stops using the trial after its own test raised an alarm."""


class ListedInstance(NamedTuple):
    """An instance that may be used."""

    id: str
    version: str
    listed_at: int
    """When it was first listed at this proxy."""


class ReportKey(NamedTuple):
    """Values whose change makes a report due, the most urgent first."""

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
    """One proxy's state for a service: the instances of its versions and the last order."""

    record: RolloutRecord | None = None
    received_at: int = 0
    """When the record was received."""
    stage_since: int = 0
    """When this proxy learned of the current stage."""
    elapsed_at_receipt: float = 0.0
    """Lower bound of the seconds between the order and the receipt of the record."""
    order_known: bool = False
    """Whether an update on this service was received, even one that says there is no order."""
    version_in_use: str | None = None
    """The version to use while there is no record."""
    instances: list[ListedInstance] = field(default_factory=list)
    instance_ids: frozenset[str] = frozenset()
    counting_since: int = 0
    """When this proxy began to count for the order; identifies the series of counts in reports."""
    requests: int = 0
    trial_credit: float = 0.0
    """How many attempts the trial may still be sent."""
    trial_threshold: float | None = None
    """The trial is sent an attempt when its credit reaches this.

    It is drawn at random, so that the sum over many lightly loaded proxies has the intended share.
    """
    reserved: int = 0
    """Attempts assigned to the trial that have not been sent yet."""
    in_flight: Counter[str] = field(default_factory=Counter)
    """Attempts in flight, by version."""
    outcomes: OrderOutcomes = field(default_factory=OrderOutcomes)
    latency_targets: dict[str, int] = field(default_factory=dict)
    """The targets by which outcomes are judged during the order, by route; in microseconds."""
    failures: dict[str, ConsecutiveFailures] = field(default_factory=dict)
    no_trial_until: int = 0
    request_rate: float = 0.0
    """Exponentially decaying count of requests, with half the HORIZON as its time constant."""
    rate_at: int = 0
    reported_at: int | None = None
    last_reported: ReportKey | None = None
    base_version: str | None = None
    """The version in use: the one before the order, until the order is settled."""
    base_instances: int = 0
    target_instances: list[ListedInstance] = field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether a rollout is under way."""
        return self.record is not None and self.record.state == RolloutState.RUNNING

    # Updates and requests

    def successor(self, now: int) -> "ServiceRollout":
        """Return the initial state for a new order; keeps what is not specific to the last one."""
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
        """Apply a later record."""
        elapsed = 0.0
        if self.record is not None:
            elapsed = self.elapsed_at_receipt + (now - self.received_at) / SECOND
        self.elapsed_at_receipt = max(record.elapsed_seconds, elapsed)
        if self.record is None or record.stage != self.record.stage:
            self.stage_since = now
        self.record, self.received_at = record, now
        self._derive_versions()

    def update_instances(self, instances: Sequence[ListedInstance]) -> None:
        """Replace the instances of the service that may be used."""
        self.instances = sorted(instances)
        self.instance_ids = frozenset(instance.id for instance in instances)
        for id in self.failures.keys() - self.instance_ids:
            del self.failures[id]
        present = {instance.version for instance in instances}
        if self.record is None and present:
            outdated = self.version_in_use not in present and self.order_known
            if self.version_in_use is None or outdated:
                # A rollout may be under way that this proxy does not know of yet. The lower version
                # is assumed to be the earlier one.
                self.version_in_use = oldest_first(list(present))[0]
        self._derive_versions()

    def _derive_versions(self) -> None:
        """Derive the base version and the target instances from the record and the instances."""
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
        """Count a client's request; do not call this for retries."""
        self.requests += 1
        self.request_rate = self.request_rate * exp((self.rate_at - now) / (HORIZON / 2)) + 1
        self.rate_at = now
        if self.running:
            self.trial_credit += TRIAL_SHARE

    # Choice of the version

    def trial_instances(self, now: int) -> tuple[str, ...]:
        """Return the new version's instances that may be sent attempts now.

        They are few, so that each has a realistic load.
        """
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
        healthy = [id for id in warm if not self._ejected(now, id)] or warm
        if record.stage:
            return tuple(healthy[: instances_for_share(record.stage, self.base_instances)])
        turn = int(self.elapsed_at_receipt * SECOND + now - self.received_at) // TRIAL_TURN
        if turn % 3 == 2:
            return ()
        return tuple(healthy[:2][turn % 2 :][:1] or healthy[:1])

    def _ejected(self, now: int, id: str) -> bool:
        failures = self.failures.get(id)
        if failures is None:
            return False
        return failures.attempts >= EJECTION_FAILURES and now - failures.at < EJECTION_TIME

    def choose_version(self, now: int, stage: int, draw: float, retry: bool) -> str | None:
        """Return the version this attempt must go to; `stage` is the one the proxy acts by."""
        record, base = self.record, self.base_version
        if record is None or record.state != RolloutState.RUNNING:
            return base
        if stage == FINAL_STAGE:
            return record.target
        if stage == NO_TRIAL or retry or not self.trial_instances(now):
            return base
        if stage and now - self.stage_since <= STEP_LEASE * record.ramp_seconds * SECOND:
            return record.target if draw < STAGE_SHARES[stage] else base
        return record.target if self._take_credit(draw) else base

    def _take_credit(self, draw: float) -> bool:
        """Whether to send this attempt to the trial, within its share of the requests so far."""
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
        """Whether this version may be sent an attempt now; checked right before sending."""
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
        """Note that an attempt was sent to an instance of this version."""
        self.in_flight[version] += 1
        record = self.record
        if record is None or record.state != RolloutState.RUNNING or version != record.target:
            return
        if self.reserved:
            self.reserved -= 1
        else:
            self.trial_credit -= 1

    def latency_target(self, route: str, configured: int) -> int:
        """Return the target to judge outcomes by, see `RolloutObserver.latency_target`."""
        return self.latency_targets.setdefault(route, configured) if self.running else configured

    def attempt_ended(
        self,
        now: int,
        version: str,
        instance: str,
        listed_at: int,
        in_time: bool,
        result: AttemptResult,
        retry: bool,
    ) -> None:
        """Record the end of a sent attempt, see `RolloutObserver.attempt_ended`."""
        self._no_longer_in_flight(version)
        failed = result is not AttemptResult.SUCCESS
        self._note_failure(now, instance, failed)
        if result is not AttemptResult.NO_RESPONSE:
            counts_late = not retry and now - listed_at >= WARM_UP_TIME
            self._count_response(version, instance, failed, counts_late and not in_time)
        if not retry:
            self._count_outcome(now, version, instance, listed_at, in_time and not failed, failed)

    def attempt_abandoned(
        self, now: int, version: str, instance: str, listed_at: int, in_time: bool, retry: bool
    ) -> None:
        """Record an abandoned attempt, see `RolloutObserver.attempt_abandoned`."""
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
        """Score an attempt for its version, unless the instance is still warming up."""
        record = self.record
        if record is None or record.state != RolloutState.RUNNING:
            return
        if now - listed_at < WARM_UP_TIME:
            return
        if version == record.target:
            self.outcomes.add_trial(instance, good, failed)
            if record.stage:
                self._watch_trial(now, record, good)
        elif version == self.base_version:
            self.outcomes.add_baseline(now, good, failed)

    def _count_response(self, version: str, instance: str, error: bool, late: bool) -> None:
        """Count a complete response, also one to a retry or of an instance that is warming up."""
        record = self.record
        if record is None or record.state != RolloutState.RUNNING:
            return
        if version == record.target:
            self.outcomes.add_trial_response(instance, error, late)
        elif version == self.base_version:
            self.outcomes.add_baseline_response(error, late)

    def _note_failure(self, now: int, instance: str, failed: bool) -> None:
        if not failed:
            self.failures.pop(instance, None)
        elif instance in self.instance_ids:
            last = self.failures.get(instance)
            attempts = 1 if last is None else last.attempts + 1
            self.failures[instance] = ConsecutiveFailures(attempts, now)

    def _watch_trial(self, now: int, record: RolloutRecord, good: bool) -> None:
        """Stop using the trial for a while if its outcomes at this proxy raise the alarm.

        This acts without the controllers: they may be changing their leader just now.
        """
        shares = record.baseline_shares
        if self.outcomes.raises_alarm(good, 0.0 if shares is None else shares.bad_outcomes):
            self.no_trial_until = now + BACK_OFF_TIME

    # Votes and reports

    def vote(self, now: int) -> Vote | None:
        """Return the vote by Test & Roll on this proxy's own outcomes; None if there are too few.

        There are enough once the trial has n* outcomes (the paper's equation 10, test_roll.needed),
        or VOTE_AFTER its newest instance was listed. At least MIN_OUTCOMES are always needed.
        """
        if not self.running:
            return None
        trial, baseline = self.outcomes.trial, self.outcomes.baseline
        mu = INITIAL_MEAN
        if baseline.total >= MIN_OUTCOMES:
            mu = baseline.good / baseline.total
        mu = min(MAX_MEAN, mu)
        newest = max((instance.listed_at for instance in self.target_instances), default=now)
        waited_enough = bool(self.target_instances) and now - newest >= VOTE_AFTER
        expected = 2 * self.request_rate * exp((self.rate_at - now) / (HORIZON / 2))
        if trial.total < MIN_OUTCOMES:
            return None
        if not waited_enough and trial.total < needed(expected, mu, SIGMA, MIN_OUTCOMES):
            return None
        inferior = trails(trial.good / trial.total, trial.total, mu)
        return Vote.REVERT if inferior else Vote.ADVANCE

    def previous_in_flight(self, target: str) -> int:
        """Return the number of attempts in flight at versions other than the target."""
        return sum(count for version, count in self.in_flight.items() if version != target)

    def report_key(self, stage: int, vote: Vote | None, previous_in_flight: int) -> ReportKey:
        """Return the values that are compared with the last report to see if a new one is due."""
        outcomes = self.outcomes
        return ReportKey(
            stage, vote, previous_in_flight > 0, outcomes.trial_bad, outcomes.baseline.bad
        )

    def report(
        self, now: int, service: str, record: RolloutRecord, key: ReportKey, previous: int
    ) -> ProxyReport:
        """Return the report to the controller; `previous` counts attempts at other versions."""
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
            self.outcomes.trial,
            self.outcomes.baseline,
            self.outcomes.by_instance,
            previous,
            self.requests,
            self.base_instances,
            warm,
            self.outcomes.responses,
        )
