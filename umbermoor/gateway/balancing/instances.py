"""The instances that one proxy may send requests to, and the choice among them.

Start with `Instances.choose`. It chooses the instance with the least expected time, as in "shortest
expected delay" balancing (the estimates are in `instance`). Random jitter keeps proxies that have
the same information from all choosing the same instance. No I/O.
"""

from collections.abc import Callable, Container, Iterable

from umbermoor.gateway.balancing.instance import Instance, ServiceTimeEstimate
from umbermoor.gateway.discovery.registry import DRAINING, GONE, READY, InstanceRecord

MAX_JITTER = 0.15  # random addition to an expected time, as a fraction of it
RETRY_PENALTY = 10  # in mean service times; puts instances that were tried before last
DEFAULT_SERVICE_TIME_US = 50_000.0  # assumed before the first response of a service


class Instances:
    """Instances by id and by service, according to the last update from service discovery.

    Attributes:
        zone: The zone of this proxy.
        by_id: All instances.
        by_service: The instances of each service, by id.
        service_times: The mean service time of each service that has responded.
        changed_services: Services whose instances changed since the caller last cleared this set.
    """

    def __init__(self, zone: str = "") -> None:
        self.zone = zone
        self.by_id: dict[str, Instance] = {}
        self.by_service: dict[str, dict[str, Instance]] = {}
        self.service_times: dict[str, ServiceTimeEstimate] = {}
        self.changed_services: set[str] = set()

    def update(self, now: int, entries: Iterable[InstanceRecord]) -> list[Instance]:
        """Apply changed entries; return the instances that may not be sent requests any more."""
        removed = []
        for entry in entries:
            instance = self.by_id.get(entry.id)
            if entry.state in (GONE, DRAINING):
                if instance is not None:
                    self._remove(instance)
                    removed.append(instance)
                continue
            if instance is None:
                if not entry.service or entry.state != READY:
                    continue
                instance = self._add(entry, now)
            elif instance.entry.state != entry.state or instance.entry.revision != entry.revision:
                self.changed_services.add(entry.service)
            instance.entry = entry
            if entry.warmup_us:
                instance.warm_at = now + entry.warmup_us
        return removed

    def _add(self, entry: InstanceRecord, now: int) -> Instance:
        instance = self.by_id[entry.id] = Instance(entry, now)
        self.by_service.setdefault(entry.service, {})[entry.id] = instance
        self.changed_services.add(entry.service)
        return instance

    def _remove(self, instance: Instance) -> None:
        del self.by_id[instance.id]
        self.by_service.get(instance.entry.service, {}).pop(instance.id, None)
        self.changed_services.add(instance.entry.service)

    def forget(self, instance_id: str) -> None:
        """Remove an instance that no controller lists any more."""
        if instance := self.by_id.get(instance_id):
            self._remove(instance)

    def misdirected(self, instance: Instance) -> None:
        """Remove an instance whose address now belongs to another instance."""
        if self.is_listed(instance):
            self._remove(instance)

    def of_service(self, service: str) -> Iterable[Instance]:
        """Return the instances of a service."""
        return self.by_service.get(service, {}).values()

    def evaluated_by_rollout(self, service: str) -> list[Instance]:
        """Return the instances that the rollout evaluates.

        For each version these are the ready instances, or the silent ones if none is ready. A dead
        instance that is still listed would make the last live instance of a version look like one
        of several, and failures of the version would be attributed to that instance alone.
        """
        instances = list(self.of_service(service))
        ready_revisions = {item.entry.revision for item in instances if item.entry.state == READY}
        return [
            instance
            for instance in instances
            if instance.entry.state == READY or instance.entry.revision not in ready_revisions
        ]

    def is_listed(self, instance: Instance) -> bool:
        """Whether an instance may be sent requests: it is still listed and not draining."""
        return self.by_id.get(instance.id) is instance

    def service_time_us(self, service: str, default_us: float) -> float:
        """Return the mean service time of a service in microseconds, or `default_us` if unknown."""
        estimate = self.service_times.get(service)
        return default_us if estimate is None else estimate.mean_us

    def choose(
        self,
        now: int,
        service: str,
        revision: str,
        only: Container[str],
        tried: Container[str],
        random: Callable[[], float],
        max_wait_us: float,
    ) -> Instance | None:
        """Return the instance of a version that is expected to respond soonest.

        Args:
            now: The present time.
            service: The service that the request is for.
            revision: The version of the service.
            only: The ids that may be chosen; empty if there is no such restriction.
            tried: Ids of instances that this request was sent to before; they are chosen last.
            random: Returns a random number in [0, 1).
            max_wait_us: The longest expected time, in microseconds.

        Returns:
            The instance, or None if no instance is expected to respond in time.
        """
        estimate = self.service_times.get(service)
        mean_us = DEFAULT_SERVICE_TIME_US if estimate is None else estimate.mean_us
        best, least, zone = None, 0.0, self.zone
        for instance in self.of_service(service):
            if instance.entry.revision != revision or (only and instance.id not in only):
                continue
            ejected_us = instance.ejection.ejected_until - now
            if ejected_us > 0 and instance.load.in_flight > 0:
                continue
            jitter = 1 + MAX_JITTER * random()
            expected = instance.expected_time(now, mean_us, zone) * jitter
            if ejected_us > 0:
                expected += ejected_us
            if instance.id in tried:
                expected += RETRY_PENALTY * mean_us
            if best is None or expected < least:
                best, least = instance, expected
        return best if best is not None and least <= max_wait_us else None

    def responded(self, now: int, instance: Instance, duration_us: int) -> None:
        """Record a complete response of an instance, `duration_us` after the request."""
        service = instance.entry.service
        duration_us = max(1, duration_us)
        estimate = self.service_times.get(service)
        if estimate is None:
            self.service_times[service] = ServiceTimeEstimate(duration_us)
            instance.last_response_at = now
        else:
            instance.responded(now, duration_us, estimate.mean_us)
            estimate.add(duration_us)
        instance.ejection.success()

    def abandoned(self, instance: Instance, waited_us: int) -> None:
        """Record that an attempt was aborted after `waited_us` without a response."""
        estimate = self.service_times.get(instance.entry.service)
        if estimate is not None:
            instance.abandoned(waited_us, estimate.mean_us)
