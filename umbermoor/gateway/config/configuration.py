"""A configuration as the operator sends it, and whether it holds (PROTOCOL.md, "The operator").

Refused is what the page calls invalid, what a front could not follow (no horizon, a prefix without
its slashes, two routes in one place, a mix that carries nothing) and what is of another type than
shown. Anything else is let by.

cerberus says what is wrong. It takes some 0.4 ms a route, so routes of the usual shape are first
tried by plain comparisons, which only ever let by: some 7 us a route, the search for equal places
included.
"""

import json
from collections.abc import Callable, Generator, Mapping
from functools import cache
from string import hexdigits
from typing import Any, NamedTuple

from umbermoor.gateway.config.errors import Fault, first_fault
from umbermoor.gateway.config.quantities import host_name, us

_KINDS = ("safe", "unsafe")
_NUMBERS = (int, float)
_LARGEST = 1e15  # no figure is above it; leaves room for microseconds
_LEAD_US = 60_000_000  # a setpoint this far above its horizon is one too many
_SLOW = 60  # what a check by cerberus costs, in plain ones
_CHUNK = 1_500  # plain checks between two yields: some 10 ms


class Configuration(NamedTuple):
    """A configuration that was found sound."""

    revision: int
    body: dict[str, Any]  # as decoded; what Routes are compiled from


def parse(raw: bytes) -> Configuration | Fault:
    """Reads and checks a body in one go; a fault says what is wrong with it first."""
    body = read(raw)
    if isinstance(body, Fault):
        return body
    return check(body) or Configuration(int(body["revision"], 16), body)


def read(raw: bytes) -> dict[str, Any] | Fault:
    """The JSON object in a body, not checked further; a fault if it is none, is cut short, or names
    a key twice."""
    try:
        body = json.loads(raw.decode(), object_pairs_hook=_once, parse_constant=_constant)
    except (ValueError, RecursionError) as error:
        return Fault("", "", f"cannot be read whole: {error}")
    return body if isinstance(body, dict) else Fault("", "", "must be a table")


def check(body: object) -> Fault | None:
    """What is wrong with a decoded configuration; None if nothing is."""
    steps = check_slowly(body)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def check_slowly(body: object) -> Generator[None, None, Fault | None]:
    """The same in steps of 10 to 20 ms, yielding between them; returns what check would."""
    checkers = _checkers()
    fault = _judge("", checkers.whole, body)
    if fault or not isinstance(body, dict):
        return fault
    work = _SLOW
    services = body["services"]
    for name, service in services.items():
        work += 1
        if not _usual_service(service):
            work += _SLOW
            if fault := _judge(f"service {name}", checkers.service, service):
                return fault
        if work >= _CHUNK:
            work = 0
            yield
    places: dict[tuple[str, str], str] = {}
    for name, route in body["routes"].items():
        work += 1
        if not _usual_route(route, services):
            work += _SLOW
            if fault := _judge(f"route {name}", checkers.route, route) or _unfit(
                f"route {name}", route, services
            ):
                return fault
        first = places.setdefault((host_name(route["host"]), route["prefix"]), name)
        if first is not name:
            return Fault(f"route {name}", "prefix", f"is in the same place as route {first}")
        if work >= _CHUNK:
            work = 0
            yield
    return None


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        seen: set[str] = set()
        for name, _ in pairs:
            if name in seen:
                raise ValueError(f"{name!r} is there twice")
            seen.add(name)
    return table


def _constant(name: str) -> Any:
    raise ValueError(f"{name} is no number")


def _usual_service(service: Any) -> bool:
    return (
        type(service) is dict
        and type(service.get("probe", "")) is str
        and type(service.get("protocol", "")) is str
        and type(service.get("tls", False)) is bool
        and _figure(service.get("saturation", 0))
    )


def _usual_route(route: Any, services: Mapping[str, Any]) -> bool:
    """Whether a route is surely sound. What it does not let by may still be."""
    if type(route) is not dict:
        return False
    get = route.get
    host, prefix, horizon, tries = get("host"), get("prefix"), get("horizonS"), get("tries", 1)
    if not (
        type(host) is str and host and type(prefix) is str and prefix[:1] == "/" == prefix[-1:]
    ):
        return False
    if not (
        get("kind") in _KINDS and _figure(horizon) and horizon > 0 and _figure(tries) and tries >= 1
    ):
        return False
    if not (_figure(get("priority", 0)) and _near(get("setpointS", 0), horizon)):
        return False
    service, mix = get("service"), get("mix")
    if service is not None and not (type(service) is str and service in services):
        return False
    if mix is None:
        return service is not None
    if type(mix) is not list:
        return False
    total = 0
    for part in mix:
        if type(part) is not dict:
            return False
        service, gain = part.get("service"), part.get("gain")
        if not (type(service) is str and service in services and _figure(gain) and gain >= 0):
            return False
        total += gain
    return total > 0


def _figure(value: Any) -> bool:
    return type(value) in _NUMBERS and -_LARGEST <= value <= _LARGEST


def _near(setpoint: Any, horizon: float) -> bool:
    return _figure(setpoint) and (setpoint <= horizon or us(setpoint) - us(horizon) < _LEAD_US)


def _judge(where: str, checker: Any, table: object) -> Fault | None:
    if not isinstance(table, dict):
        return Fault(where, "", "must be a table")
    fault = None if checker.validate(table, normalize=False) else first_fault(where, checker.errors)
    checker.document = None  # lets go of the table
    return fault


def _unfit(where: str, route: Mapping[str, Any], services: Mapping[str, Any]) -> Fault | None:
    """What is wrong between the fields of a route that are each well formed."""
    horizon, setpoint = route["horizonS"], route.get("setpointS")
    if setpoint is not None and not _near(setpoint, horizon):
        return Fault(
            where, "setpointS", f"{setpoint} is a minute or more above horizonS, {horizon}"
        )
    service, mix = route.get("service"), route.get("mix")
    if service is not None and service not in services:
        return Fault(where, "service", f"names an unknown service, {service}")
    if service is None and mix is None:
        return Fault(where, "service", "names no service, and there is no mix")
    for index, part in enumerate(mix or ()):
        if part["service"] not in services:
            return Fault(
                where, f"mix.{index}.service", f"names an unknown service, {part['service']}"
            )
    if mix is not None and not any(part["gain"] > 0 for part in mix):
        return Fault(where, "mix", "has no gain above 0")
    return None


class _Checkers(NamedTuple):
    whole: Any
    service: Any
    route: Any


@cache
def _checkers() -> _Checkers:
    from cerberus import Validator

    def demand(holds: Callable[[Any], bool], what: str) -> Callable[[str, Any, Any], None]:
        """A check that leaves null to the other rules: cerberus calls it for null all the same."""

        def judge(field: str, value: Any, error: Any) -> None:
            if value is not None and not holds(value):
                error(field, what)

        return judge

    usable = demand(_figure, "must be a finite number")
    over_zero = demand(lambda value: value > 0, "must be above 0")
    slashed = demand(
        lambda value: value[:1] == "/" == value[-1:], "must begin and end with a slash"
    )
    digits = demand(
        lambda value: len(value) == 8 and all(digit in hexdigits for digit in value),
        "must be eight hexadecimal digits",
    )
    name = {"type": "string", "required": True, "empty": False}
    text = {"type": "string", "nullable": True}
    figure = {"type": "number", "nullable": True, "check_with": usable}
    part = {
        "service": name,
        "gain": {"type": "number", "required": True, "min": 0, "check_with": usable},
    }
    envelope = {"headerBytes": figure, "bodyBytes": figure, "headerS": figure, "idleS": figure}
    whole = {
        "revision": {"type": "string", "required": True, "check_with": digits},
        "routes": {"type": "dict", "required": True},
        "services": {"type": "dict", "required": True},
        "envelope": {"type": "dict", "nullable": True, "schema": envelope},
    }
    service = {
        "probe": text,
        "saturation": figure,
        "protocol": text,
        "tls": {"type": "boolean", "nullable": True},
    }
    route = {
        "host": name,
        "prefix": name | {"check_with": slashed},
        "kind": {"type": "string", "required": True, "allowed": list(_KINDS)},
        "horizonS": {"type": "number", "required": True, "check_with": [usable, over_zero]},
        "setpointS": figure,
        "priority": figure,
        "tries": figure | {"min": 1},
        "service": text,
        "mix": {"type": "list", "nullable": True, "schema": {"type": "dict", "schema": part}},
    }
    return _Checkers(*(Validator(schema, allow_unknown=True) for schema in (whole, service, route)))
