"""A proxy's side of rollouts: chooses the version of each attempt and reports the outcomes.

Times are whole microseconds.
"""

from collections.abc import Sequence

from umbermoor.gateway.rollout.records import (
    AttemptResult,
    RecordDocument,
    RolloutRecord,
    supersedes,
)
from umbermoor.gateway.rollout.reports import ReportDocument
from umbermoor.gateway.rollout.service_rollout import ListedInstance, ReportKey, ServiceRollout
from umbermoor.gateway.rollout.stages import NO_TRIAL
from umbermoor.gateway.units import SECOND

UPDATE_TIMEOUT = 3 * SECOND // 2
"""A proxy without confirmed updates for longer than this sends nothing to a trial."""
REPORT_INTERVAL = SECOND // 4
"""A report is sent at least this often."""
MIN_REPORT_INTERVAL = SECOND // 25
"""The minimum time between reports, unless the stage or the vote has changed.

Reports of which only the baseline's bad outcomes changed wait twice as long.
"""


class RolloutObserver:
    """Runs the rollouts of all services at one proxy.

    For each attempt, the caller gets the version from `choose_version` and, for the new version,
    the eligible instances from `trial_instances`. It checks `may_send` right before sending, and
    then calls `attempt_sent` and, when the attempt has ended, `attempt_ended` or
    `attempt_abandoned`. No method raises; an unknown service has no version until instances are
    listed.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceRollout] = {}
        self.confirmed_at: int | None = None

    def _service(self, service: str) -> ServiceRollout:
        state = self.services.get(service)
        if state is None:
            state = self.services[service] = ServiceRollout()
        return state

    def _stage(self, now: int, state: ServiceRollout) -> int:
        """Return the stage to act by: NO_TRIAL without recent updates or after an alarm."""
        if state.record is None or now < state.no_trial_until:
            return NO_TRIAL
        if self.confirmed_at is None or now - self.confirmed_at > UPDATE_TIMEOUT:
            return NO_TRIAL
        return state.record.stage

    # Updates

    def confirm(self, now: int) -> None:
        """Note that the updates from the controllers are complete as of now."""
        self.confirmed_at = now

    def apply_record(
        self, now: int, service: str, document: RecordDocument | None, confirmed: bool = True
    ) -> None:
        """Apply the durable record in force; an older one is ignored.

        Args:
            now: microseconds.
            service: the service's name.
            document: the record's JSON; None if there is no record.
            confirmed: whether the updates are complete as of now.

        Raises:
            InvalidRecordError: it is not the JSON of a record; it has no effect.
        """
        if confirmed:
            self.confirm(now)
        state = self._service(service)
        state.order_known = True
        if document is None:
            return
        record = RolloutRecord.read(document)
        if state.record is not None and not supersedes(document, state.record.document):
            return
        if state.record is None or record.order != state.record.order:
            state = self.services[service] = state.successor(now)
        state.apply(now, record)

    def update_instances(
        self, now: int, service: str, instances: Sequence[tuple[str, str, int]]
    ) -> None:
        """Replace a service's usable instances: id, version and time of the first listing."""
        listed = [ListedInstance(*instance) for instance in instances]
        self._service(service).update_instances(listed)

    # Requests and attempts

    def request_received(self, now: int, service: str) -> None:
        """Count a client's request for the service; do not call this for retries."""
        self._service(service).request_received(now)

    def target(self, service: str) -> str | None:
        """Return the target version of the rollout under way; None if there is none."""
        state = self._service(service)
        return state.record.target if state.record is not None and state.running else None

    def trial_instances(self, now: int, service: str) -> tuple[str, ...]:
        """Return the ids of the new version's instances that may be sent attempts now."""
        return self._service(service).trial_instances(now)

    def choose_version(
        self, now: int, service: str, draw: float, retry: bool = False
    ) -> str | None:
        """Return the version an attempt must go to; `draw` is a random number from 0 to 1."""
        state = self._service(service)
        return state.choose_version(now, self._stage(now, state), draw, retry)

    def may_send(self, now: int, service: str, version: str) -> bool:
        """Whether this version may be sent an attempt now; check right before sending."""
        state = self._service(service)
        return state.may_send(self._stage(now, state), version)

    def latency_target(self, service: str, route: str, configured: int) -> int:
        """Return the latency target by which the service's outcomes on a route are judged.

        During a rollout it stays what it was at the first outcome after the order, so that both
        versions, and all stages, are judged by the same measure.

        Args:
            service: the service's name.
            route: the route's name.
            configured: the target in the configuration of the request, in microseconds.
        """
        return self._service(service).latency_target(route, configured)

    def attempt_sent(self, now: int, service: str, version: str) -> None:
        """Note that an attempt was sent to an instance of this version."""
        self._service(service).attempt_sent(version)

    def attempt_ended(
        self,
        now: int,
        service: str,
        version: str,
        instance: str,
        listed_at: int,
        in_time: bool,
        result: AttemptResult,
        retry: bool,
    ) -> None:
        """Record the end of an attempt that was sent.

        Args:
            now: microseconds.
            service: the service's name.
            version: the instance's version.
            instance: its id.
            listed_at: when this proxy first had it listed.
            in_time: whether it met the latency target, see `latency_target`.
            result: how it ended.
            retry: whether its outcome is not counted: it was a retry, or was never executed. Its
                response, if there is one, is counted all the same.
        """
        state = self._service(service)
        state.attempt_ended(now, version, instance, listed_at, in_time, result, retry)

    def attempt_abandoned(
        self,
        now: int,
        service: str,
        version: str,
        instance: str,
        listed_at: int,
        in_time: bool,
        retry: bool,
    ) -> None:
        """Record that a sent attempt was abandoned because its client left, without an outcome.

        Args:
            now: microseconds.
            service: the service's name.
            version: the instance's version.
            instance: its id.
            listed_at: when this proxy first had it listed.
            in_time: whether it could still have met the latency target; if not, it is counted as
                late.
            retry: whether it is not counted.
        """
        state = self._service(service)
        state.attempt_abandoned(now, version, instance, listed_at, in_time, retry)

    # Reports

    def reports(self, now: int) -> list[ReportDocument]:
        """Return the reports to send to the controller now.

        Call this several times a second, and also after bad outcomes and after updates.
        """
        documents = []
        for service, state in self.services.items():
            record = state.record
            if record is None or not state.running:
                continue
            previous = state.previous_in_flight(record.target)
            key = state.report_key(self._stage(now, state), state.vote(now), previous)
            if _report_due(now, state, key):
                state.reported_at, state.last_reported = now, key
                report = state.report(now, service, record, key, previous)
                documents.append(report.to_document())
        return documents


def _report_due(now: int, state: ServiceRollout, key: ReportKey) -> bool:
    """Whether a report is due: the last is old, or has changed. Urgent changes are sent sooner."""
    last = state.last_reported
    if state.reported_at is None or last is None:
        return True
    age = now - state.reported_at
    if age >= REPORT_INTERVAL:
        return True
    if key == last:
        return False
    if age < MIN_REPORT_INTERVAL:
        return key[:2] != last[:2]
    if age < 2 * MIN_REPORT_INTERVAL:
        return key[:4] != last[:4]
    return True
