"""A proxy's part in rollouts: the version of each attempt, its outcomes, and reports of them.

Times are whole microseconds.
"""

from collections.abc import Sequence

from umbermoor.gateway.rollout.records import (
    RecordDocument,
    ReportDocument,
    RolloutRecord,
    supersedes,
)
from umbermoor.gateway.rollout.service_rollout import (
    KEEP_OFF,
    ListedInstance,
    ReportKey,
    ServiceRollout,
)
from umbermoor.gateway.units import SECOND

UPDATE_TIMEOUT = 3 * SECOND // 2
"""Without confirmed updates for longer than this, a proxy sends nothing to a trial."""
REPORT_INTERVAL = SECOND // 4
"""A report is sent again after this long."""
MIN_REPORT_INTERVAL = SECOND // 25
"""The least time between reports when bad outcomes come."""


class RolloutObserver:
    """Rollouts at one proxy.

    For each attempt, `choose_version` names the version, `trial_instances` narrows the choice
    within the new one, `may_send` is asked right before the sending, then `attempt_sent` and,
    however it ends, `attempt_ended`. Nothing raises; an unknown service has no version until
    instances are listed.
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
        """The stage this proxy acts by; KEEP_OFF if it lacks updates or saw too much."""
        if state.record is None or now < state.kept_off_until:
            return KEEP_OFF
        if self.confirmed_at is None or now - self.confirmed_at > UPDATE_TIMEOUT:
            return KEEP_OFF
        return state.record.stage

    # Updates

    def confirm(self, now: int) -> None:
        """The updates from the controllers are complete as of now, changed or not."""
        self.confirmed_at = now

    def apply_record(
        self, now: int, service: str, document: RecordDocument | None, confirmed: bool = True
    ) -> None:
        """The durable record in force, or that there is none; an older one is ignored.

        Args:
            now: microseconds.
            service: the service's name.
            document: the record's JSON.
            confirmed: whether the updates are complete as of now.
        """
        if confirmed:
            self.confirm(now)
        state = self._service(service)
        state.order_known = True
        if document is None:
            return
        if state.record is not None and not supersedes(document, state.record.document):
            return
        record = RolloutRecord.read(document)
        if state.record is None or record.order != state.record.order:
            state = self.services[service] = state.successor(now)
        state.apply(now, record)

    def update_instances(
        self, now: int, service: str, instances: Sequence[tuple[str, str, int]]
    ) -> None:
        """All instances of a service that may be used: id, version, when it was first listed."""
        listed = [ListedInstance(*instance) for instance in instances]
        self._service(service).update_instances(listed)

    # Requests and attempts

    def request_received(self, now: int, service: str) -> None:
        """A client's request for the service came; retries are none."""
        self._service(service).request_received(now)

    def target(self, service: str) -> str | None:
        """The new version that an order under way names."""
        state = self._service(service)
        return state.record.target if state.record is not None and state.running else None

    def trial_instances(self, now: int, service: str) -> tuple[str, ...]:
        """Ids of the new version's instances that carry its share now."""
        return self._service(service).trial_instances(now)

    def choose_version(
        self, now: int, service: str, draw: float, retry: bool = False
    ) -> str | None:
        """The version that an attempt must go to; `draw` is from 0 to 1, at random."""
        state = self._service(service)
        return state.choose_version(now, self._stage(now, state), draw, retry)

    def may_send(self, now: int, service: str, version: str) -> bool:
        """Whether this version may be sent an attempt now; to be asked right before the sending."""
        state = self._service(service)
        return state.may_send(self._stage(now, state), version)

    def attempt_sent(self, now: int, service: str, version: str) -> None:
        """An attempt was sent to an instance of this version."""
        self._service(service).attempt_sent(version)

    def attempt_ended(
        self,
        now: int,
        service: str,
        version: str,
        instance: str,
        listed_at: int,
        in_time: bool,
        failed: bool,
        retry: bool,
    ) -> None:
        """An attempt that was sent has ended.

        Args:
            now: microseconds.
            service: the service's name.
            version: the instance's version.
            instance: its id.
            listed_at: when this proxy first had it listed.
            in_time: whether it met the route's latency target.
            failed: whether no complete and good response came.
            retry: whether its outcome does not count: a retry, or never executed.
        """
        state = self._service(service)
        state.attempt_ended(now, version, instance, listed_at, in_time, failed, retry)

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
        """An attempt that was sent was broken off, as its client left: it has no outcome.

        Args:
            now: microseconds.
            service: the service's name.
            version: the instance's version.
            instance: its id.
            listed_at: when this proxy first had it listed.
            in_time: whether it could still have met the route's latency target; else it is known
                to have missed it, and counts so.
            retry: whether it does not count.
        """
        state = self._service(service)
        state.attempt_abandoned(now, version, instance, listed_at, in_time, retry)

    # Reports

    def reports(self, now: int) -> list[ReportDocument]:
        """What to tell the controller now; to be called several times a second.

        Besides after bad outcomes and after updates.
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
    """Whether the last report is old, or what it said has changed; the more urgent, the sooner."""
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
