"""Routes compiled from a validated configuration, looked up by a request's host and path.

Start with `RouteTable`. No other module of the data plane reads the configuration's keys.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from umbermoor.gateway.config.quantities import normalize_host, to_microseconds

DEFAULT_HEALTH_CHECK_PATH = "/health"
DEFAULT_MAX_CONNECTIONS = 100

WeightedServices = tuple[tuple[str, float], ...]  # weights are above 0 and add up to 1


class ClientLimits(NamedTuple):
    """Limits on client requests: the "envelope" of PROTOCOL.md.

    Attributes:
        header_bytes: Maximum size of a request's head, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout_us: Maximum time to send a head, in microseconds.
        idle_timeout_us: Maximum time that a connection may stay idle, in microseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout_us: int = 3_000_000
    idle_timeout_us: int = 15_000_000


class Service(NamedTuple):
    """Properties that all instances of a service share.

    Attributes:
        name: Its name in the configuration.
        health_check_path: The path of an instance's health check.
        max_connections: Connections that an instance accepts from all clients together.
        protocol: The protocol that instances speak, such as "h1".
        tls: Whether they use it over TLS.
    """

    name: str
    health_check_path: str
    max_connections: int
    protocol: str
    tls: bool


class Route:
    """The route of the requests for one host and path prefix.

    Attributes:
        name: Its name in the configuration.
        host: The host in lower case, without a port.
        prefix: The path prefix; it begins and ends with a slash.
        idempotent: Whether a request may be executed more than once ("safe").
        timeout_us: Maximum time until a request is answered ("horizonS"), in microseconds.
        latency_target_us: The response time up to which a response has its full value
            ("setpointS"), in microseconds; the timeout if none is configured.
        priority: The priority; 0 is the highest.
        max_attempts: Maximum number of instances that one request is sent to ("tries").
        weighted_services: Services and their weights ("mix").
    """

    __slots__ = (
        "host",
        "idempotent",
        "latency_target_us",
        "max_attempts",
        "name",
        "prefix",
        "priority",
        "timeout_us",
        "weighted_services",
    )

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_us: int
    latency_target_us: int
    priority: float
    max_attempts: int
    weighted_services: WeightedServices

    def __init__(
        self, name: str, host: str, weighted_services: WeightedServices, table: Mapping[str, Any]
    ) -> None:
        timeout_s = table["horizonS"]
        target_s = table.get("setpointS")
        tries = table.get("tries")
        self.name = name
        self.host = host
        self.prefix = table["prefix"]
        self.idempotent = table["kind"] == "safe"
        self.timeout_us = max(1, to_microseconds(timeout_s))
        self.latency_target_us = (
            self.timeout_us if target_s is None else max(0, to_microseconds(target_s))
        )
        self.priority = table.get("priority") or 0
        self.max_attempts = 1 if tries is None else int(tries)
        self.weighted_services = weighted_services

    def service_for(self, draw: float) -> str:
        """Return the service for a random number drawn uniformly from [0, 1)."""
        for service, weight in self.weighted_services:
            if draw < weight:
                return service
            draw -= weight
        return self.weighted_services[-1][0]

    def __repr__(self) -> str:
        return f"Route({self.name!r}, {self.host!r}, {self.prefix!r})"


class RouteTable:
    """An immutable configuration in the form that proxies use.

    It takes about 0.5 KB of memory per route, strings included.
    """

    __slots__ = (
        "_longest_prefix",
        "_routes_by_host",
        "client_limits",
        "revision",
        "revision_text",
        "services",
    )

    def __init__(self, body: Mapping[str, Any]) -> None:
        """Compile a decoded configuration that `configuration.check` found valid.

        The table keeps the configuration's strings but not its dicts.

        Raises:
            KeyError, TypeError, ValueError: The configuration is invalid.
        """
        self.revision_text: str = body["revision"]
        self.revision = int(self.revision_text, 16)
        self.services: dict[str, Service] = {
            name: _service(name, table) for name, table in body["services"].items()
        }
        self.client_limits = _client_limits(body.get("envelope") or {})
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        self._longest_prefix = 0
        hosts: dict[str, str] = {}  # equal hosts and mixes share one object
        mixes: dict[WeightedServices, WeightedServices] = {}
        for name, table in body["routes"].items():
            host = hosts.get(table["host"])
            if host is None:
                host = hosts[table["host"]] = normalize_host(table["host"])
            mix = _weighted_services(table)
            route = Route(name, host, mixes.setdefault(mix, mix), table)
            self._routes_by_host.setdefault(host, {})[route.prefix] = route
            self._longest_prefix = max(self._longest_prefix, len(route.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix of the path, or None.

        The host may contain a port and capital letters; a query in the path is ignored. This takes
        a few microseconds regardless of the number of routes.
        """
        routes = self._routes_by_host.get(host) or self._routes_by_host.get(normalize_host(host))
        if routes is None:
            return None
        query = path.find("?")
        longest = self._longest_prefix
        end = path.rfind("/", 0, longest if query < 0 else min(query, longest))
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def __iter__(self) -> Iterator[Route]:
        for routes in self._routes_by_host.values():
            yield from routes.values()

    def __len__(self) -> int:
        return sum(map(len, self._routes_by_host.values()))


def is_newer(revision: str | int | None, other: str | int | None) -> bool:
    """Whether `revision` is newer than `other`.

    Each is a string of hexadecimal digits or a number; None stands for no revision, which is older
    than any other.
    """
    return _revision_number(revision) > _revision_number(other)


def _revision_number(revision: str | int | None) -> int:
    if revision is None:
        return -1
    return revision if isinstance(revision, int) else int(revision, 16)


def _weighted_services(table: Mapping[str, Any]) -> WeightedServices:
    mix = table.get("mix")
    if not mix:
        return ((table["service"], 1.0),)
    gains: dict[str, float] = {}
    for part in mix:
        if part["gain"] > 0:
            gains[part["service"]] = gains.get(part["service"], 0) + part["gain"]
    total = sum(gains.values())
    return tuple([(service, gain / total) for service, gain in gains.items()])


def _service(name: str, table: Mapping[str, Any]) -> Service:
    saturation = table.get("saturation")
    return Service(
        name=name,
        health_check_path=table.get("probe") or DEFAULT_HEALTH_CHECK_PATH,
        max_connections=DEFAULT_MAX_CONNECTIONS if saturation is None else max(1, int(saturation)),
        protocol=table.get("protocol") or "h1",
        tls=bool(table.get("tls")),
    )


def _client_limits(table: Mapping[str, Any]) -> ClientLimits:
    configured = {
        "header_bytes": _optional_int(table.get("headerBytes")),
        "body_bytes": _optional_int(table.get("bodyBytes")),
        "header_timeout_us": _optional_microseconds(table.get("headerS")),
        "idle_timeout_us": _optional_microseconds(table.get("idleS")),
    }
    return ClientLimits(**{name: value for name, value in configured.items() if value is not None})


def _optional_int(number: float | None) -> int | None:
    return None if number is None else int(number)


def _optional_microseconds(seconds: float | None) -> int | None:
    return None if seconds is None else to_microseconds(seconds)
