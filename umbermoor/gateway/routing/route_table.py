"""Routes compiled from a checked configuration, and which of them a request's host and path
pick."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from umbermoor.gateway.config.quantities import host_name, us

DEFAULT_PROBE = "/health"
DEFAULT_SATURATION = 100


class Envelope(NamedTuple):
    """What a client may send and how long it may take (PROTOCOL.md, "The operator"); idle_us is a
    free wait."""

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_us: int = 3_000_000
    idle_us: int = 15_000_000


class Service(NamedTuple):
    """What holds for all machines of a service."""

    name: str
    probe: str  # path
    saturation: int  # connections a machine accepts from all callers together
    protocol: str
    tls: bool


class Route:
    """Where requests of one host and prefix go, and what may be done with them."""

    __slots__ = (
        "horizon_us",
        "host",
        "mix",
        "name",
        "prefix",
        "priority",
        "safe",
        "setpoint_us",
        "tries",
    )

    name: str
    host: str  # lower case, without port
    prefix: str
    safe: bool  # may run more than once
    horizon_us: int  # the longest a request may be held
    setpoint_us: int  # an answer within it earns its full worth; the horizon where none is stated
    priority: float  # 0 is highest
    tries: int  # the most machines one try may go to
    mix: tuple[
        tuple[str, float], ...
    ]  # services and their shares, which are over 0 and add up to 1

    def __init__(
        self, name: str, host: str, mix: tuple[tuple[str, float], ...], table: Mapping[str, Any]
    ) -> None:
        horizon = table["horizonS"]
        setpoint = table.get("setpointS")
        tries = table.get("tries")
        self.name = name
        self.host = host
        self.prefix = table["prefix"]
        self.safe = table["kind"] == "safe"
        self.horizon_us = max(1, us(horizon))
        self.setpoint_us = self.horizon_us if setpoint is None else max(0, us(setpoint))
        self.priority = table.get("priority") or 0
        self.tries = 1 if tries is None else int(tries)
        self.mix = mix

    def service_for(self, chance: float) -> str:
        """The service for a number drawn evenly from 0 up to 1."""
        for service, share in self.mix:
            if chance < share:
                return service
            chance -= share
        return self.mix[-1][0]

    def __repr__(self) -> str:
        return f"Route({self.name!r}, {self.host!r}, {self.prefix!r})"


class Routes:
    """A configuration as fronts use it; never changed once built. About 0.5 KB a route, texts
    included."""

    __slots__ = ("_hosts", "_longest", "envelope", "revision", "revision_text", "services")

    def __init__(self, body: Mapping[str, Any]) -> None:
        """From a decoded configuration that `configuration.check` found sound; keeps its texts, not
        its tables."""
        self.revision_text: str = body["revision"]
        self.revision = int(self.revision_text, 16)
        self.services: dict[str, Service] = {
            name: _service(name, table) for name, table in body["services"].items()
        }
        self.envelope = _envelope(body.get("envelope") or {})
        self._hosts: dict[str, dict[str, Route]] = {}
        self._longest = 0  # of all prefixes
        hosts: dict[str, str] = {}  # equal hosts and mixes are kept once
        mixes: dict[Any, Any] = {}
        for name, table in body["routes"].items():
            host = hosts.get(table["host"])
            if host is None:
                host = hosts[table["host"]] = host_name(table["host"])
            mix = _mix(table)
            route = Route(name, host, mixes.setdefault(mix, mix), table)
            self._hosts.setdefault(host, {})[route.prefix] = route
            self._longest = max(self._longest, len(route.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """The route of this host whose prefix is the longest that begins the path; None is a 404.

        The host may carry a port and capitals; a query is not looked at. A few microseconds,
        however many routes.
        """
        prefixes = self._hosts.get(host) or self._hosts.get(host_name(host))
        if prefixes is None:
            return None
        query = path.find("?")
        end = path.rfind("/", 0, self._longest if query < 0 else min(query, self._longest))
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def __iter__(self) -> Iterator[Route]:
        for prefixes in self._hosts.values():
            yield from prefixes.values()

    def __len__(self) -> int:
        return sum(map(len, self._hosts.values()))


def newer(a: str | int | None, b: str | int | None) -> bool:
    """Whether revision `a` is above `b`; as eight hexadecimal digits or a number, None where there
    is none."""
    return _number(a) > _number(b)


def _number(revision: str | int | None) -> int:
    if revision is None:
        return -1
    return revision if isinstance(revision, int) else int(revision, 16)


def _mix(table: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    parts = table.get("mix")
    if not parts:
        return ((table["service"], 1.0),)
    gains: dict[str, float] = {}
    for part in parts:
        if part["gain"] > 0:
            gains[part["service"]] = gains.get(part["service"], 0) + part["gain"]
    total = sum(gains.values())
    return tuple([(service, gain / total) for service, gain in gains.items()])


def _service(name: str, table: Mapping[str, Any]) -> Service:
    saturation = table.get("saturation")
    return Service(
        name,
        table.get("probe") or DEFAULT_PROBE,
        DEFAULT_SATURATION if saturation is None else max(1, int(saturation)),
        table.get("protocol") or "h1",
        bool(table.get("tls")),
    )


def _envelope(table: Mapping[str, Any]) -> Envelope:
    said = {
        "header_bytes": _whole(table.get("headerBytes")),
        "body_bytes": _whole(table.get("bodyBytes")),
        "header_us": _micros(table.get("headerS")),
        "idle_us": _micros(table.get("idleS")),
    }
    return Envelope(**{key: value for key, value in said.items() if value is not None})


def _whole(figure: float | None) -> int | None:
    return None if figure is None else int(figure)


def _micros(seconds: float | None) -> int | None:
    return None if seconds is None else us(seconds)
