"""One instance of a service as one proxy sees it, and the estimates that the proxy makes of it.

The estimates rest on what this proxy measures itself and on the load that instances report. Times
are whole microseconds of the caller's steady clock. No I/O.
"""

from math import exp

from umbermoor.gateway.discovery.registry import READY, InstanceRecord
from umbermoor.gateway.units import MILLISECOND, SECOND

REPORT_DECAY_US = 600 * MILLISECOND
EJECTION_BASE_US = 150 * MILLISECOND
EJECTION_MAX_US = 3 * SECOND
EJECTION_MAX_DOUBLINGS = 6
FAILURES_TO_EJECT = 3  # in a row, of kinds that need not be the instance's fault

SERVICE_MEAN_WEIGHT = 0.02  # of the newest response in a service's mean
INSTANCE_WEIGHT = 0.075  # of the newest response in an instance's relative service time
RELATIVE_TIME_MIN, RELATIVE_TIME_MAX = 0.4, 4.0

OCCUPANCY_COST = 0.3  # how much slower a response is at an instance whose slots are all taken
WARMUP_COST = 2.0  # how much slower an instance is taken to be while it warms up
REMOTE_ZONE_COST = 1.2  # traffic between zones costs: chosen only where it seems so much faster
NOT_READY_COST = 4
HANG_FACTOR = 6.0  # silent for so many usual service times, with requests in flight: it hangs
HANG_COST = 20

MAX_REPORTED_DIGITS = 8
REPORT_FIELDS = 3  # running, waiting, slots


class LoadEstimate:
    """Requests at an instance: what it reported, decaying, and what this proxy sent since.

    load = max(in_flight, reported * d + in_flight - in_flight_at_report * d)
    with d = exp(-(now - reported_at) / REPORT_DECAY_US); unit: requests. As in "join the shortest
    queue" with stale information: a report counts less the older it is.
    """

    __slots__ = ("in_flight", "in_flight_at_report", "reported", "reported_at")

    def __init__(self) -> None:
        self.in_flight = 0  # attempts of this proxy
        self.reported = 0.0  # requests running and waiting there, as the instance reported
        self.reported_at = 0
        self.in_flight_at_report = 0

    def at(self, now: int) -> float:
        """The estimate at `now`, in requests."""
        decay = exp((self.reported_at - now) / REPORT_DECAY_US)
        in_flight = self.in_flight
        return max(in_flight, self.reported * decay + in_flight - self.in_flight_at_report * decay)

    def report(self, now: int, requests: float) -> None:
        """Takes over a report of the instance."""
        self.reported = requests
        self.reported_at = now
        self.in_flight_at_report = self.in_flight


class OutlierEjection:
    """Keeps an instance that fails out of the choice for a time, as outlier detection of Envoy.

    ejected_until = now + min(EJECTION_MAX_US, EJECTION_BASE_US * 2 ** n), n the failures in a row
    that count, EJECTION_MAX_DOUBLINGS at most; unit: microseconds. A refused connection counts at
    once, other failures from FAILURES_TO_EJECT in a row on. A response ends it.
    """

    __slots__ = ("consecutive_failures", "ejected_until")

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejected_until = 0

    def failure(self, now: int, connect_failed: bool) -> None:
        """Counts a failed attempt; `connect_failed`: nothing there took the connection."""
        self.consecutive_failures += 1
        failures = self.consecutive_failures
        if not connect_failed:
            failures -= FAILURES_TO_EJECT - 1
        if failures > 0:
            doublings = min(EJECTION_MAX_DOUBLINGS, failures)
            self.ejected_until = now + min(EJECTION_MAX_US, EJECTION_BASE_US << doublings)

    def success(self) -> None:
        """Takes the instance up again after a response."""
        self.consecutive_failures = 0
        self.ejected_until = 0


class ServiceTimeEstimate:
    """The usual time of a response of one service, from this proxy's own attempts.

    mean += SERVICE_MEAN_WEIGHT * (duration - mean): an exponentially weighted moving average in
    microseconds, which begins at the first duration.
    """

    __slots__ = ("mean_us",)

    def __init__(self, first_duration_us: int) -> None:
        self.mean_us = float(first_duration_us)

    def add(self, duration_us: int) -> None:
        """Takes the duration of one more complete response into the mean."""
        self.mean_us += (duration_us - self.mean_us) * SERVICE_MEAN_WEIGHT


class Instance:
    """One incarnation of an instance.

    Attributes:
        entry: What discovery says of it.
        id: Its id, the entry's.
        listed_at: When this proxy first had it listed.
        warm_at: When it has warmed up.
        load: Requests there.
        ejection: Whether it is kept out of the choice after failures.
        relative_service_time: Its service time as a multiple of its service's mean.
        last_response_at: When it last answered anything.
        busy_since: When this proxy last began to have requests in flight there.
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
        """Time until a response to a request sent now, in microseconds.

        mean * relative * (1 + (load + 1 - slots)+ / slots + OCCUPANCY_COST * load / slots): the
        request's own work, what waits before it, and what slows it down; times the costs of
        warming up, of another zone, of not being ready and of hanging.

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
        """A request was sent to it."""
        if not self.load.in_flight:
            self.busy_since = now
        self.load.in_flight += 1

    def attempt_ended(self) -> None:
        """A request is no longer in flight, whatever became of it."""
        self.load.in_flight -= 1

    def load_reported(self, now: int, header: str) -> None:
        """Takes over X-Load-Level: "running,waiting,slots"; anything else is ignored."""
        parts = header.split(",")
        if len(parts) == REPORT_FIELDS and all(
            part.strip().isdecimal() and len(part) <= MAX_REPORTED_DIGITS for part in parts
        ):
            self.load.report(now, float(parts[0]) + float(parts[1]))

    def responded(self, now: int, duration_us: int, mean_us: float) -> None:
        """A complete response came after `duration_us`; `mean_us` is its service's mean before."""
        ratio = min(RELATIVE_TIME_MAX, duration_us / mean_us)
        relative = self.relative_service_time
        relative += (ratio - relative) * INSTANCE_WEIGHT
        self.relative_service_time = min(RELATIVE_TIME_MAX, max(RELATIVE_TIME_MIN, relative))
        self.last_response_at = now

    def abandoned(self, waited_us: int, mean_us: float) -> None:
        """An attempt was broken off after `waited_us`: its response would have taken longer.

        A wait above the estimate raises it; a shorter one says nothing (a censored observation).
        """
        ratio = min(RELATIVE_TIME_MAX, waited_us / mean_us)
        if ratio > self.relative_service_time:
            self.relative_service_time += (ratio - self.relative_service_time) * INSTANCE_WEIGHT

    def rejected(self, now: int) -> None:
        """It rejected a request: it has all that it can carry."""
        self.last_response_at = now
        self.load.report(now, max(self.load.reported, 2.0 * self.entry.capacity))
