"""One instance of a service as seen by one proxy, with the proxy's estimates of its speed and load.

The estimates are based on this proxy's own measurements and on the load that instances report.
Times are whole microseconds of the caller's monotonic clock. No I/O.
"""

from math import exp

from umbermoor.gateway.discovery.registry import READY, InstanceRecord
from umbermoor.gateway.units import MILLISECOND, SECOND

REPORT_DECAY_US = 600 * MILLISECOND
EJECTION_BASE_US = 150 * MILLISECOND
EJECTION_MAX_US = 3 * SECOND
EJECTION_MAX_DOUBLINGS = 6
FAILURES_TO_EJECT = 3  # consecutive, of kinds that may not be the instance's fault

SERVICE_MEAN_WEIGHT = 0.02  # weight of the newest response in a service's mean
INSTANCE_WEIGHT = 0.075  # weight of the newest response in an instance's relative service time
RELATIVE_TIME_MIN, RELATIVE_TIME_MAX = 0.4, 4.0

OCCUPANCY_COST = 0.3  # relative slowdown of a response when all slots of its instance are in use
WARMUP_COST = 2.0  # factor on the expected time of an instance while it warms up
REMOTE_ZONE_COST = 1.2  # cross-zone traffic has a cost: another zone must be this much faster
NOT_READY_COST = 4
# An instance with requests in flight counts as hanging after this many of its usual service times
# without a response.
HANG_FACTOR = 6.0
HANG_COST = 20

MAX_REPORTED_DIGITS = 8
REPORT_FIELDS = 3  # running, waiting, slots


class LoadEstimate:
    """Estimate of the number of requests at an instance.

    It combines the instance's last report, which decays with age, with the requests that this proxy
    has sent since:

    load = max(in_flight, reported * d + in_flight - in_flight_at_report * d)
    with d = exp(-(now - reported_at) / REPORT_DECAY_US); unit: requests. This is "join the shortest
    queue" with stale information: the older a report is, the less it counts.
    """

    __slots__ = ("in_flight", "in_flight_at_report", "reported", "reported_at")

    def __init__(self) -> None:
        self.in_flight = 0  # attempts sent by this proxy
        self.reported = 0.0  # requests running and waiting at the instance, as it reported
        self.reported_at = 0
        self.in_flight_at_report = 0

    def at(self, now: int) -> float:
        """Return the estimate at `now`, in requests."""
        decay = exp((self.reported_at - now) / REPORT_DECAY_US)
        in_flight = self.in_flight
        return max(in_flight, self.reported * decay + in_flight - self.in_flight_at_report * decay)

    def report(self, now: int, requests: float) -> None:
        """Record a load report of the instance."""
        self.reported = requests
        self.reported_at = now
        self.in_flight_at_report = self.in_flight


class OutlierEjection:
    """Excludes a failing instance from the choice for a time, like Envoy's outlier detection.

    ejected_until = now + min(EJECTION_MAX_US, EJECTION_BASE_US * 2 ** n), where n is the number of
    consecutive failures that count, at most EJECTION_MAX_DOUBLINGS; unit: microseconds. A failed
    connection counts immediately, other failures only from the FAILURES_TO_EJECT-th consecutive one
    on. A response ends the ejection.
    """

    __slots__ = ("consecutive_failures", "ejected_until")

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejected_until = 0

    def failure(self, now: int, connect_failed: bool) -> None:
        """Record a failed attempt.

        Args:
            now: The present time.
            connect_failed: Whether no connection to the instance could be established.
        """
        self.consecutive_failures += 1
        failures = self.consecutive_failures
        if not connect_failed:
            failures -= FAILURES_TO_EJECT - 1
        if failures > 0:
            doublings = min(EJECTION_MAX_DOUBLINGS, failures)
            self.ejected_until = now + min(EJECTION_MAX_US, EJECTION_BASE_US << doublings)

    def success(self) -> None:
        """End the ejection after a response of the instance."""
        self.consecutive_failures = 0
        self.ejected_until = 0


class ServiceTimeEstimate:
    """Mean response time of one service, measured on this proxy's own attempts.

    mean += SERVICE_MEAN_WEIGHT * (duration - mean): an exponentially weighted moving average in
    microseconds, which starts at the first duration.
    """

    __slots__ = ("mean_us",)

    def __init__(self, first_duration_us: int) -> None:
        self.mean_us = float(first_duration_us)

    def add(self, duration_us: int) -> None:
        """Add the duration of a complete response to the mean."""
        self.mean_us += (duration_us - self.mean_us) * SERVICE_MEAN_WEIGHT


class Instance:
    """One incarnation of an instance.

    Attributes:
        entry: Its record from service discovery.
        id: Its id, the same as in the entry.
        listed_at: When it was first listed at this proxy.
        warm_at: When its warm-up ends.
        load: The estimated number of requests at it.
        ejection: Its exclusion from the choice after failures.
        relative_service_time: Its service time as a multiple of the service's mean.
        last_response_at: When it last responded to a request.
        busy_since: When this proxy's requests in flight to it last rose from 0.
    """

    __slots__ = (
        "busy_since",
        "ejection",
        "entry",
        "id",
        "last_response_at",
        "listed_at",
        "load",
        "relative_service_time",
        "warm_at",
    )

    def __init__(self, entry: InstanceRecord, now: int) -> None:
        self.entry = entry
        self.id = entry.id
        self.listed_at = now
        self.warm_at = now + entry.warmup_us
        self.load = LoadEstimate()
        self.ejection = OutlierEjection()
        self.relative_service_time = 1.0
        self.last_response_at = now
        self.busy_since = 0

    def expected_time(self, now: int, mean_us: float, zone: str) -> float:
        """Return the expected time until the response to a request sent now, in microseconds.

        mean * relative * (1 + (load + 1 - slots)+ / slots + OCCUPANCY_COST * load / slots): the
        request's own service time, the time that it queues, and the slowdown by other requests.
        The result is multiplied by the cost factors for warming up, for another zone, for not being
        ready and for hanging, where they apply.

        Args:
            now: The present time.
            mean_us: The mean service time of the service.
            zone: The zone of the proxy.
        """
        entry = self.entry
        slots, load = entry.capacity, self.load.at(now)
        own_us = mean_us * self.relative_service_time
        expected = own_us * (1 + max(0.0, load + 1 - slots) / slots + OCCUPANCY_COST * load / slots)
        if now < self.warm_at:
            expected *= WARMUP_COST
        if entry.zone != zone:
            expected *= REMOTE_ZONE_COST
        if entry.state != READY:
            expected *= NOT_READY_COST
        if self.load.in_flight:
            silent_us = now - max(self.last_response_at, self.busy_since)
            if silent_us > HANG_FACTOR * mean_us * self.relative_service_time:
                expected *= HANG_COST
        return expected

    def attempt_started(self, now: int) -> None:
        """Record that a request was sent to the instance."""
        if not self.load.in_flight:
            self.busy_since = now
        self.load.in_flight += 1

    def attempt_ended(self) -> None:
        """Record that a request is no longer in flight, whatever its outcome."""
        self.load.in_flight -= 1

    def load_reported(self, now: int, header: str) -> None:
        """Record an X-Load-Level header, "running,waiting,slots"; ignore it if it is malformed."""
        parts = header.split(",")
        if len(parts) == REPORT_FIELDS and all(
            part.strip().isdecimal() and len(part) <= MAX_REPORTED_DIGITS for part in parts
        ):
            self.load.report(now, float(parts[0]) + float(parts[1]))

    def responded(self, now: int, duration_us: int, mean_us: float) -> None:
        """Record a complete response.

        Args:
            now: The present time.
            duration_us: The time from the request to the response, in microseconds.
            mean_us: The mean service time of the service before this response.
        """
        ratio = min(RELATIVE_TIME_MAX, duration_us / mean_us)
        relative = self.relative_service_time
        relative += (ratio - relative) * INSTANCE_WEIGHT
        self.relative_service_time = min(RELATIVE_TIME_MAX, max(RELATIVE_TIME_MIN, relative))
        self.last_response_at = now

    def abandoned(self, waited_us: int, mean_us: float) -> None:
        """Record that an attempt was aborted after `waited_us` without a response.

        The response would have taken longer. This is a censored observation: a wait above the
        estimate raises the estimate, a shorter one gives no information.
        """
        ratio = min(RELATIVE_TIME_MAX, waited_us / mean_us)
        if ratio > self.relative_service_time:
            self.relative_service_time += (ratio - self.relative_service_time) * INSTANCE_WEIGHT

    def rejected(self, now: int) -> None:
        """Record that the instance rejected a request because it is overloaded."""
        self.last_response_at = now
        self.load.report(now, max(self.load.reported, 2.0 * self.entry.capacity))
