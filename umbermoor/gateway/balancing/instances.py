"""All instances that one proxy may send requests to, and the choice among them.

Open `Instances.choose` first: the instance with the least expected time, in the way of "least
expected delay" balancing (each estimate is in `instance`), with random spread so that proxies that
know the same do not all choose the same. No I/O.
"""

from collections.abc import Callable, Container, Iterable

from umbermoor.gateway.balancing.instance import Instance, ServiceTimeEstimate
from umbermoor.gateway.discovery.registry import DRAINING, GONE, READY, InstanceRecord

RANDOM_SPREAD = 0.15  # how much longer an instance may be taken to need, by chance
RETRY_PENALTY = 10  # mean service times: an instance that was tried before comes last
DEFAULT_SERVICE_TIME_US = 50_000.0  # before the first response of a service


class Instances:
    """Instances by id and by service, as the last update of discovery has them.

    Attributes:
        zone: The zone of this proxy.
        by_id: All instances.
        by_service: The instances of each service, by id.
        service_times: The usual service time of each service that has answered.
        changed_services: Services whose instances changed since the caller emptied this.
    """

    def __init__(self, zone: str = "") -> None:
        self.zone = zone
        self.by_id: dict[str, Instance] = {}
        self.by_service: dict[str, dict[str, Instance]] = {}
        self.service_times: dict[str, ServiceTimeEstimate] = {}
        self.changed_services: set[str] = set()

    def update(self, now: int, entries: Iterable[InstanceRecord]) -> list[Instance]:
        """Takes over changed entries; returns the instances that may get no request any more."""
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
        """Removes an instance that no controller knows any more."""
        if instance := self.by_id.get(instance_id):
            self._remove(instance)

    def misdirected(self, instance: Instance) -> None:
        """Removes an instance whose address another one has by now."""
        if self.is_listed(instance):
            self._remove(instance)

    def of_service(self, service: str) -> Iterable[Instance]:
        """The instances of a service."""
        return self.by_service.get(service, {}).values()

    def evaluated_by_rollout(self, service: str) -> list[Instance]:
        """Those by which a version is judged: its ready ones or, where it has none, the silent.

        A dead one that is still listed would make a version's last instance seem one of several,
        and its failures that instance's own.
        """
        instances = list(self.of_service(service))
        ready_revisions = {one.entry.revision for one in instances if one.entry.state == READY}
        return [
            instance
            for instance in instances
            if instance.entry.state == READY or instance.entry.revision not in ready_revisions
        ]

    def is_listed(self, instance: Instance) -> bool:
        """Whether an instance may be sent requests: it is listed still, and not draining."""
        return self.by_id.get(instance.id) is instance

    def service_time_us(self, service: str, default_us: float) -> float:
        """The mean service time of a service, in microseconds."""
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
        """The instance of a version that is expected to respond soonest.

        Args:
            now: The present time.
            service: The service that the request is for.
            revision: The version of the service.
            only: Unless empty, the ids that may be chosen.
            tried: Ids that this request went to before, which come last.
            random: Draws a number from 0 up to 1.
            max_wait_us: The longest expected time, in microseconds.

        Returns:
            None where no instance can respond in time.
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
            spread = 1 + RANDOM_SPREAD * random()
            expected = instance.expected_time(now, mean_us, zone) * spread
            if ejected_us > 0:
                expected += ejected_us
            if instance.id in tried:
                expected += RETRY_PENALTY * mean_us
            if best is None or expected < least:
                best, least = instance, expected
        return best if best is not None and least <= max_wait_us else None

    def responded(self, now: int, instance: Instance, duration_us: int) -> None:
        """A complete response of an instance came after `duration_us`."""
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
        """An attempt at an instance was broken off after `waited_us` without a response."""
        estimate = self.service_times.get(instance.entry.service)
        if estimate is not None:
            instance.abandoned(waited_us, estimate.mean_us)
