"""The controller's side of rollouts: pools the proxies' reports and decides the next step.

A single proxy's vote never changes the stage: `cusum` tests the pooled outcomes of all proxies, and
`responses` their complete responses. To advance, the next stage's start time must also have come,
most proxies must act by the current stage, and the proxies' votes must not oppose the step.

Times are whole microseconds, unless a name says seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import log

from umbermoor.gateway.rollout.cusum import (
    ALARM_THRESHOLD,
    MAX_ADVANCE_EVIDENCE,
    Evidence,
    SequentialTest,
)
from umbermoor.gateway.rollout.judgement import MIN_OUTCOMES
from umbermoor.gateway.rollout.records import (
    BaselineShares,
    RecordChanges,
    RecordDocument,
    RolloutRecord,
    Vote,
    advanced_to,
    advanced_to_last,
    reverted,
    settled,
    supersedes,
)
from umbermoor.gateway.rollout.reports import (
    OutcomeCounts,
    ProxyReport,
    ReportDocument,
    ResponseCounts,
    VersionResponses,
)
from umbermoor.gateway.rollout.responses import ResponseTest
from umbermoor.gateway.rollout.stages import FINAL_STAGE, STAGE_STARTS
from umbermoor.gateway.units import SECOND

REPORT_TIMEOUT = SECOND
"""A proxy whose last report is older than this is ignored in votes and counts of proxies."""
SETTLE_DELAY = 7 * SECOND // 10
"""How long no proxy may have attempts at the previous version before the rollout is settled.

Instances of the previous version may be stopped once the rollout is settled.
"""
MIN_STAGE_SHARE = 0.03
"""Each stage lasts at least this fraction of the ramp time."""
VOTE_WAIT_SHARE = 0.04
"""Adverse votes delay the next stage by at most this fraction of the ramp time."""
TRIAL_REVERT_EVIDENCE = log(1000)
"""Evidence of more bad outcomes or error responses that reverts the rollout at the trial stage."""
REVERT_EVIDENCE = log(200)
"""Such evidence that reverts it later, or when a stage is to begin or the rollout to be settled."""
HOLD_EVIDENCE = log(3)
"""Such evidence that delays the next stage."""
HOLD_SHARE = 0.06
"""It delays the next stage by at most this fraction of the ramp time."""
MIN_SETTLE_SHARE = 0.86
"""The rollout is settled this fraction of the ramp time after the order, or later.

Nobody watches the new version after that.
"""
RENEW_INTERVAL = SECOND
"""Without other changes, the record is written this often to store its elapsed time."""
REWRITE_INTERVAL = 3 * SECOND // 10
"""A proposed record that has not been applied after this long is proposed again."""
LIGHT_TRAFFIC_REQUESTS = 300
"""Up to this many requests since the order, one outcome suffices to leave the trial stage."""
MAX_PROXIES = 256
"""How many proxies' last reports are kept; the one reported longest ago is dropped first."""


@dataclass(slots=True)
class _ReceivedReport:
    at: int
    report: ProxyReport


@dataclass(slots=True)
class OrderProgress:
    """This controller's state for a service's last order."""

    record: RolloutRecord
    recorded_at: int
    """The time on this controller's clock that corresponds to the record's elapsed time."""
    stage_since: int
    """When this controller learned of the current stage."""
    proposed: RolloutRecord | None = None
    """The last record that `RolloutCoordinator.tick` returned to be written."""
    proposed_at: int = 0
    reports: dict[str, _ReceivedReport] = field(default_factory=dict)
    """The last report of each proxy."""
    test: SequentialTest = field(default_factory=SequentialTest)
    responses: ResponseTest = field(default_factory=ResponseTest)
    previous_idle_since: int | None = None
    """Since when no proxy has attempts at the previous version; None if one has."""

    def baseline_shares(self) -> BaselineShares:
        """Return the earlier version's shares of bad outcomes now."""
        return BaselineShares(
            self.test.baseline.final_estimate(),
            self.responses.errors.baseline.final_estimate(),
            self.responses.errors_or_late.baseline.final_estimate(),
        )

    def apply_baseline_shares(self) -> None:
        """Use the shares in the record, if there are any, from now on."""
        shares = self.record.baseline_shares
        if shares is not None:
            self.test.baseline.final_share = shares.bad_outcomes
            self.responses.errors.baseline.final_share = shares.error_responses
            self.responses.errors_or_late.baseline.final_share = shares.bad_responses

    def elapsed_seconds(self, now: int) -> float:
        """Return the seconds since the order."""
        return self.record.elapsed_seconds + (now - self.recorded_at) / SECOND

    def update(self, now: int, record: RolloutRecord) -> None:
        """Apply a later record of the same order."""
        if record.stage != self.record.stage:
            self.stage_since, self.previous_idle_since = now, None
        is_own_proposal = self.proposed is not None and self.proposed.document == record.document
        recorded_at = self.proposed_at if is_own_proposal else now
        elapsed = self.elapsed_seconds(now)
        if record.elapsed_seconds + (now - recorded_at) / SECOND < elapsed:
            # The elapsed time must not decrease.
            recorded_at = now - round((elapsed - record.elapsed_seconds) * SECOND)
        self.record, self.recorded_at = record, recorded_at

    def receive(self, now: int, proxy: str, report: ProxyReport) -> None:
        """Count a proxy's report, unless a later one of that proxy was received before it."""
        earlier = self._comparable_report(proxy, report)
        if earlier is not None and not report.continues(earlier):
            return
        if proxy not in self.reports and len(self.reports) >= MAX_PROXIES:
            del self.reports[min(self.reports, key=lambda name: self.reports[name].at)]
        self.reports[proxy] = _ReceivedReport(now, report)
        if report.elapsed_seconds > self.elapsed_seconds(now):
            # Proxies keep counting while the leadership moves to another controller.
            since_record = report.elapsed_seconds - self.record.elapsed_seconds
            self.recorded_at = now - round(since_record * SECOND)
        self._count(now, proxy, earlier, report)

    def _comparable_report(self, proxy: str, report: ProxyReport) -> ProxyReport | None:
        """Return the proxy's last report if both count from the same start, else None."""
        last = self.reports.get(proxy)
        return last.report if last is not None and last.report.since == report.since else None

    def _count(
        self, now: int, proxy: str, earlier: ProxyReport | None, report: ProxyReport
    ) -> None:
        test = self.test
        trial = earlier.trial if earlier is not None else OutcomeCounts()
        previous = earlier.baseline if earlier is not None else OutcomeCounts()
        by_instance = earlier.by_instance if earlier is not None else {}
        test.trial.add_difference(report.trial, trial)
        test.previous.add_difference(report.baseline, previous)
        test.baseline.add(
            now,
            report.baseline.total - previous.total,
            report.baseline.bad - previous.bad,
            earlier is None,
        )
        for instance, (outcomes, bad) in report.by_instance.items():
            outcomes_before, bad_before = by_instance.get(instance, (0, 0))
            if outcomes > outcomes_before:
                test.add_pending(
                    now,
                    proxy,
                    instance,
                    outcomes - outcomes_before,
                    bad - bad_before,
                    earlier is None,
                )
        self._count_responses(now, earlier, report)

    def _count_responses(self, now: int, earlier: ProxyReport | None, report: ProxyReport) -> None:
        responses, none = report.responses, VersionResponses({}, ResponseCounts())
        before = earlier.responses if earlier is not None else none
        is_backlog = earlier is None
        self.responses.add_baseline(now, responses.baseline.since(before.baseline), is_backlog)
        for instance, counts in responses.trial.items():
            counts_before = before.trial.get(instance, none.baseline)
            self.responses.add_trial(now, instance, counts.since(counts_before), is_backlog)

    def recent_reports(self, now: int) -> list[ProxyReport]:
        """Return the last reports of the proxies that reported within REPORT_TIMEOUT."""
        return [
            received.report
            for received in self.reports.values()
            if now - received.at <= REPORT_TIMEOUT
        ]


class RolloutCoordinator:
    """Runs the rollouts of all services at the leading controller.

    Another controller can take over at any time: the durable records and the proxies' reports
    contain all state that it needs.
    """

    def __init__(self) -> None:
        self.orders: dict[str, OrderProgress] = {}
        """The last order of each service."""

    def apply_record(self, now: int, service: str, document: RecordDocument | None) -> None:
        """Apply the durable record in force; an older one is ignored.

        Raises:
            InvalidRecordError: it is not the JSON of a record; it has no effect.
        """
        progress = self.orders.get(service)
        if document is None:
            return
        record = RolloutRecord.read(document)
        if progress is not None and not supersedes(document, progress.record.document):
            return
        if progress is None or record.order != progress.record.order:
            progress = self.orders[service] = OrderProgress(record, now, now)
        else:
            progress.update(now, record)
        progress.apply_baseline_shares()

    def receive_report(self, now: int, proxy: str, document: ReportDocument) -> None:
        """Receive a proxy's report; a report on an unknown order is ignored.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: the report is malformed.
        """
        progress = self.orders.get(document.get("service", ""))
        if progress is not None and progress.record.order == document["order"]:
            progress.receive(now, proxy, ProxyReport.read(document))

    def tick(self, now: int) -> list[tuple[str, RecordDocument]]:
        """Return the records to be written now, with their services.

        Each may replace only the record that it was decided on (see `admission`), so that two
        controllers that both believe they lead do no harm. Call this at the leading controller,
        after each report or about ten times a second.
        """
        proposals = []
        for service, progress in self.orders.items():
            if not progress.record.running:
                continue
            changes = _next_changes(now, progress)
            if _awaits_write(now, progress, ends_order="state" in changes):
                continue
            if not changes and now - progress.recorded_at < RENEW_INTERVAL:
                continue
            record = progress.record.next(changes, round(progress.elapsed_seconds(now), 3))
            progress.proposed, progress.proposed_at = record, now
            proposals.append((service, record.document))
        return proposals


def _awaits_write(now: int, progress: OrderProgress, ends_order: bool) -> bool:
    """Whether to wait for the last proposal; a record that ends the order waits for no other."""
    proposed = progress.proposed
    if proposed is None or not supersedes(proposed.document, progress.record.document):
        return False
    return now - progress.proposed_at < REWRITE_INTERVAL and (
        not ends_order or not proposed.running
    )


@dataclass(frozen=True, slots=True)
class _Judgement:
    """What the outcomes and the votes say about the new version now."""

    reports: list[ProxyReport]
    """Of the proxies that reported recently."""
    evidence: Evidence
    excess: float
    """The evidence in the number of bad responses."""
    has_too_many_bad: bool
    trails: bool
    """Whether it is worse by Test & Roll."""
    reverts: int
    advances: int
    """Votes of the proxies."""
    counts: str
    """The outcomes of both versions, for logs."""


def _judge(now: int, progress: OrderProgress) -> _Judgement:
    """Evaluate the reported outcomes."""
    test, responses = progress.test, progress.responses
    reports = progress.recent_reports(now)
    instances = max((report.warm_instances for report in reports), default=1)
    no_baseline = progress.record.stage == FINAL_STAGE
    test.evaluate_pending(now, no_baseline)
    responses.evaluate_pending(now, no_baseline)
    votes = [report.vote for report in reports]
    return _Judgement(
        reports,
        test.evidence(instances, len(reports)),
        responses.evidence(instances),
        test.exceeds_bad_answers(instances, len(reports)),
        test.trails(instances, len(reports)),
        votes.count(Vote.REVERT),
        votes.count(Vote.ADVANCE),
        f"{test.trial.to_json()}, before {test.previous.to_json()}",
    )


def _next_changes(now: int, progress: OrderProgress) -> RecordChanges:
    """Return the changes due in the record now; empty if there are none."""
    stage, judgement = progress.record.stage, _judge(now, progress)
    if changes := _revert(stage, judgement):
        return changes
    if stage == FINAL_STAGE:
        return _settle(now, progress, judgement.reports)
    if not _next_stage_due(now, progress, judgement.reports):
        return {}
    if judgement.trails:
        return reverted(f"behind: {judgement.counts}")
    if judgement.excess >= REVERT_EVIDENCE:
        return reverted(f"more bad answers: {judgement.counts}")
    if _holds(now, progress, judgement):
        return {}
    if stage + 1 == FINAL_STAGE:
        return advanced_to_last(FINAL_STAGE, progress.baseline_shares())
    return advanced_to(stage + 1)


def _revert(stage: int, judgement: _Judgement) -> RecordChanges:
    """Return the changes that revert the order if it must not wait for the next stage."""
    counts, reverts, advances = judgement.counts, judgement.reverts, judgement.advances
    if judgement.evidence.against >= ALARM_THRESHOLD:
        return reverted(f"bad answers: {counts}")
    if judgement.excess >= (REVERT_EVIDENCE if stage else TRIAL_REVERT_EVIDENCE):
        return reverted(f"more bad answers: {counts}")
    if judgement.has_too_many_bad:
        return reverted(f"too many bad answers: {counts}")
    if judgement.trails and reverts >= 2 and reverts > advances:
        return reverted(f"votes: {reverts} back, {advances} on")
    return {}


def _holds(now: int, progress: OrderProgress, judgement: _Judgement) -> bool:
    """Whether the next stage, which is due, must still wait."""
    stage, reports = progress.record.stage, judgement.reports
    at_stage = sum(report.stage == stage for report in reports)
    if judgement.evidence.confirmed >= MAX_ADVANCE_EVIDENCE or 2 * at_stage <= len(reports):
        return True
    waited = progress.elapsed_seconds(now) / progress.record.ramp_seconds - STAGE_STARTS[stage + 1]
    if judgement.reverts > judgement.advances and waited < VOTE_WAIT_SHARE:
        return True
    return judgement.excess >= HOLD_EVIDENCE and waited < HOLD_SHARE


def _next_stage_due(now: int, progress: OrderProgress, reports: Sequence[ProxyReport]) -> bool:
    """Whether the next stage may begin by its time, the outcomes so far and the warm instances."""
    record = progress.record
    if not reports:
        return False
    if progress.elapsed_seconds(now) / record.ramp_seconds < STAGE_STARTS[record.stage + 1]:
        return False
    if (now - progress.stage_since) / SECOND < MIN_STAGE_SHARE * record.ramp_seconds:
        return False
    requests = sum(received.report.requests for received in progress.reports.values())
    needed = 1 if requests <= LIGHT_TRAFFIC_REQUESTS else MIN_OUTCOMES
    if progress.test.trial.total < needed:
        return False
    previous = max(report.previous_instances for report in reports)
    warm = max(report.warm_instances for report in reports)
    return warm > 0 and 2 * warm >= previous


def _settle(now: int, progress: OrderProgress, reports: Sequence[ProxyReport]) -> RecordChanges:
    """Settle the order once no proxy has used the previous version for SETTLE_DELAY."""
    previous_idle = bool(reports) and all(
        report.stage == FINAL_STAGE and not report.previous_in_flight for report in reports
    )
    if not previous_idle:
        progress.previous_idle_since = None
        return {}
    if progress.previous_idle_since is None:
        progress.previous_idle_since = now
    if progress.elapsed_seconds(now) < MIN_SETTLE_SHARE * progress.record.ramp_seconds:
        return {}
    return settled() if now - progress.previous_idle_since >= SETTLE_DELAY else {}
