"""The controller's part in rollouts: pools the proxies' reports, and decides the next step.

A proxy's vote alone moves nothing: `cusum` judges the outcomes of all proxies together.
A step forward needs, besides, that its stage's time has come, that most proxies follow the present
stage, and that they do not vote against it.

Times are whole microseconds, unless a name says seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from umbermoor.gateway.rollout.cusum import ALARM, DOUBT, SequentialTest
from umbermoor.gateway.rollout.judgement import MIN_OUTCOMES
from umbermoor.gateway.rollout.records import (
    OutcomeCounts,
    ProxyReport,
    RecordChanges,
    RecordDocument,
    ReportDocument,
    RolloutRecord,
    Vote,
    advanced_to,
    reverted,
    settled,
    supersedes,
)
from umbermoor.gateway.rollout.stages import FINAL_STAGE, STAGE_STARTS
from umbermoor.gateway.units import SECOND

REPORT_TIMEOUT = SECOND
"""A proxy whose last report is older than this does not count among those that are heard."""
SETTLE_DELAY = 7 * SECOND // 10
"""After all proxies said that nothing goes to the previous version, before it may be stopped."""
MIN_STAGE_SHARE = 0.03
"""A stage lasts this part of the ramp time at least."""
VOTE_WAIT_SHARE = 0.04
"""A stage waits this part of the ramp time longer for votes to turn."""
RENEW_INTERVAL = SECOND
"""The record is written again after this long, for its elapsed time."""
REWRITE_INTERVAL = 3 * SECOND // 10
"""So is one that was to be written and has not come back."""
LIGHT_TRAFFIC_REQUESTS = 300
"""Up to so many requests since the order, one outcome is enough to leave the trial stage."""
MAX_PROXIES = 256
"""Proxies whose reports are remembered."""


@dataclass(slots=True)
class _ReceivedReport:
    at: int
    report: ProxyReport


@dataclass(slots=True)
class OrderProgress:
    """What this controller knows of a service's last order."""

    record: RolloutRecord
    recorded_at: int
    """When the record's elapsed time was true, on this controller's clock."""
    stage_since: int
    """When this controller learnt of the stage."""
    proposed: RolloutRecord | None = None
    """The record that was last returned to be written."""
    proposed_at: int = 0
    reports: dict[str, _ReceivedReport] = field(default_factory=dict)
    """The last of each proxy."""
    test: SequentialTest = field(default_factory=SequentialTest)
    quiet_since: int | None = None
    """Since when no proxy sends to the previous version."""

    def elapsed_seconds(self, now: int) -> float:
        """Since the order."""
        return self.record.elapsed_seconds + (now - self.recorded_at) / SECOND

    def update(self, now: int, record: RolloutRecord) -> None:
        """A later record of the same order is in force."""
        if record.stage != self.record.stage:
            self.stage_since, self.quiet_since = now, None
        own = self.proposed is not None and self.proposed.document == record.document
        recorded_at = self.proposed_at if own else now
        elapsed = self.elapsed_seconds(now)
        if record.elapsed_seconds + (now - recorded_at) / SECOND < elapsed:
            # time does not go back
            recorded_at = now - round((elapsed - record.elapsed_seconds) * SECOND)
        self.record, self.recorded_at = record, recorded_at

    def receive(self, now: int, proxy: str, report: ProxyReport) -> None:
        """Counts what a proxy reports, unless a later report of it came before."""
        known = self._known_report(proxy, report)
        if known is not None and (
            report.trial.total < known.trial.total or report.baseline.total < known.baseline.total
        ):
            return
        if proxy not in self.reports and len(self.reports) >= MAX_PROXIES:
            del self.reports[min(self.reports, key=lambda name: self.reports[name].at)]
        self.reports[proxy] = _ReceivedReport(now, report)
        if report.elapsed_seconds > self.elapsed_seconds(now):
            # proxies count on while another controller takes over
            behind = report.elapsed_seconds - self.record.elapsed_seconds
            self.recorded_at = now - round(behind * SECOND)
        self._count(now, proxy, known, report)

    def _known_report(self, proxy: str, report: ProxyReport) -> ProxyReport | None:
        """The proxy's last report, if it belongs to the same count."""
        last = self.reports.get(proxy)
        return last.report if last is not None and last.report.since == report.since else None

    def _count(self, now: int, proxy: str, known: ProxyReport | None, report: ProxyReport) -> None:
        test = self.test
        trial = known.trial if known is not None else OutcomeCounts()
        previous = known.baseline if known is not None else OutcomeCounts()
        by_instance = known.by_instance if known is not None else {}
        test.trial.add_difference(report.trial, trial)
        test.previous.add_difference(report.baseline, previous)
        test.baseline.add(
            now, report.baseline.total - previous.total, report.baseline.good - previous.good
        )
        for instance, (outcomes, bad) in report.by_instance.items():
            outcomes_before, bad_before = by_instance.get(instance, (0, 0))
            if outcomes > outcomes_before:
                test.add_pending(now, proxy, instance, outcomes - outcomes_before, bad - bad_before)

    def recent_reports(self, now: int) -> list[ProxyReport]:
        """The last reports of proxies that reported lately."""
        return [
            received.report
            for received in self.reports.values()
            if now - received.at <= REPORT_TIMEOUT
        ]


class RolloutCoordinator:
    """Rollouts at the controller that leads them.

    Any controller can go on from the durable records and the proxies' reports.
    """

    def __init__(self) -> None:
        self.orders: dict[str, OrderProgress] = {}
        """The last order of each service."""

    def apply_record(self, now: int, service: str, document: RecordDocument | None) -> None:
        """The durable record in force; an older one is ignored."""
        progress = self.orders.get(service)
        if document is None:
            return
        if progress is not None and not supersedes(document, progress.record.document):
            return
        record = RolloutRecord.read(document)
        if progress is None or record.order != progress.record.order:
            self.orders[service] = OrderProgress(record, now, now)
        else:
            progress.update(now, record)

    def receive_report(self, now: int, proxy: str, document: ReportDocument) -> None:
        """What a proxy reports; that of an unknown order is ignored.

        Raises:
            KeyError, TypeError, ValueError, IndexError, AttributeError: it is malformed.
        """
        progress = self.orders.get(document.get("service", ""))
        if progress is not None and progress.record.order == document["order"]:
            progress.receive(now, proxy, ProxyReport.read(document))

    def tick(self, now: int) -> list[tuple[str, RecordDocument]]:
        """Records to be written now, by service.

        Each is to take only the place of the record that it was decided on (`admission`): then two
        controllers that both believe they lead do no harm. To be called at the controller that
        leads, after each report or some ten times a second.
        """
        proposals = []
        for service, progress in self.orders.items():
            if not progress.record.running:
                continue
            changes = _next_changes(now, progress)
            if _awaits_write(now, progress, ends="state" in changes):
                continue
            if not changes and now - progress.recorded_at < RENEW_INTERVAL:
                continue
            record = progress.record.next(changes, round(progress.elapsed_seconds(now), 3))
            progress.proposed, progress.proposed_at = record, now
            proposals.append((service, record.document))
        return proposals


def _awaits_write(now: int, progress: OrderProgress, ends: bool) -> bool:
    """Whether the last proposal may still be written; one that ends the order does not wait."""
    proposed = progress.proposed
    if proposed is None or not supersedes(proposed.document, progress.record.document):
        return False
    return now - progress.proposed_at < REWRITE_INTERVAL and (not ends or not proposed.running)


def _next_changes(now: int, progress: OrderProgress) -> RecordChanges:
    """What changes in the record now; empty: nothing."""
    stage, test = progress.record.stage, progress.test
    reports = progress.recent_reports(now)
    instances = max((report.warm_instances for report in reports), default=1)
    test.weigh(now, lone=stage == FINAL_STAGE)
    evidence = test.evidence(instances, len(reports))
    counts = f"{test.trial.to_json()}, before {test.previous.to_json()}"
    if evidence.against >= ALARM:
        return reverted(f"bad answers: {counts}")
    votes = [report.vote for report in reports]
    reverts, advances = votes.count(Vote.REVERT), votes.count(Vote.ADVANCE)
    trails = test.trails(instances, len(reports))
    if trails and reverts >= 2 and reverts > advances:
        return reverted(f"votes: {reverts} back, {advances} on")
    if stage == FINAL_STAGE:
        return _settle(now, progress, reports)
    if not _next_stage_due(now, progress, reports):
        return {}
    if trails:
        return reverted(f"behind: {counts}")
    following = sum(report.stage == stage for report in reports)
    if evidence.confirmed >= DOUBT or 2 * following <= len(reports):
        return {}
    ramp_part = progress.elapsed_seconds(now) / progress.record.ramp_seconds
    if reverts > advances and ramp_part < STAGE_STARTS[stage + 1] + VOTE_WAIT_SHARE:
        return {}
    return advanced_to(stage + 1)


def _next_stage_due(now: int, progress: OrderProgress, reports: Sequence[ProxyReport]) -> bool:
    """Whether the next stage's time has come, with outcomes and instances enough."""
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
    """Settled once no proxy sends to the previous version, and SETTLE_DELAY has passed."""
    quiet = bool(reports) and all(
        report.stage == FINAL_STAGE and not report.previous_in_flight for report in reports
    )
    if not quiet:
        progress.quiet_since = None
        return {}
    if progress.quiet_since is None:
        progress.quiet_since = now
    return settled() if now - progress.quiet_since >= SETTLE_DELAY else {}
