"""Decodes and validates a configuration as the operator sends it (PROTOCOL.md, "The operator").

Open `parse` first. Rejected is what that page calls invalid, what a proxy could not follow (no
horizon, a prefix without its slashes, two routes in one place, a mix that carries no traffic) and
what is of another type than shown. Anything else is accepted.

cerberus finds out what is wrong. It takes some 0.4 ms a route, so routes of the usual shape are
first tried by plain comparisons, which only ever accept: some 7 us a route, the search for equal
places included.
"""

import json
from collections.abc import Callable, Generator, Mapping
from functools import cache
from string import hexdigits
from typing import Any, NamedTuple

from umbermoor.gateway.config.errors import ValidationError, first_cerberus_error
from umbermoor.gateway.config.quantities import normalize_host, to_microseconds

ROUTE_KINDS = ("safe", "unsafe")
REVISION_DIGITS = 8
MAX_NUMBER = 1e15  # leaves room for microseconds
MAX_TARGET_LEAD_US = 60_000_000  # a setpoint this far above its horizon is invalid

# Units of work between two yields of `check_in_steps`, in plain checks.
_CERBERUS_CHECK_COST = 60
_STEP_COST = 1_500  # some 10 ms

_NUMBER_TYPES = (int, float)  # bool is none of them


class Configuration(NamedTuple):
    """A configuration that was found valid.

    Attributes:
        revision: Its revision as a number.
        body: The decoded JSON object, which a `RouteTable` is compiled from.
    """

    revision: int
    body: dict[str, Any]


def parse(raw: bytes) -> Configuration | ValidationError:
    """Decodes and validates a body in one go."""
    body = decode(raw)
    if isinstance(body, ValidationError):
        return body
    return check(body) or Configuration(int(body["revision"], 16), body)


def decode(raw: bytes) -> dict[str, Any] | ValidationError:
    """The JSON object in a body, not validated further.

    Returns a `ValidationError` if there is none, if it is cut short, or if it names a key twice.
    """
    try:
        body = json.loads(
            raw.decode(), object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        return ValidationError("", "", f"cannot be read whole: {error}")
    return body if isinstance(body, dict) else ValidationError("", "", "must be a table")


def check(body: object) -> ValidationError | None:
    """What is wrong with a decoded configuration; None if nothing is."""
    steps = check_in_steps(body)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def check_in_steps(body: object) -> Generator[None, None, ValidationError | None]:
    """Validates like `check` in steps of 10 to 20 ms, yielding between them."""
    validators = _validators()
    error = _validate("", validators.document, body)
    if error or not isinstance(body, dict):
        return error
    services = body["services"]
    error, cost = yield from _check_services(services, validators.service)
    if error:
        return error
    return (yield from _check_routes(body["routes"], services, validators.route, cost))


def _check_services(
    services: Mapping[str, Any], validator: Any
) -> Generator[None, None, tuple[ValidationError | None, int]]:
    """What is wrong with the services, and the cost of the step that is not over yet."""
    cost = _CERBERUS_CHECK_COST  # of the document itself
    for name, service in services.items():
        cost += 1
        if not _is_usual_service(service):
            cost += _CERBERUS_CHECK_COST
            if error := _validate(f"service {name}", validator, service):
                return error, cost
        if cost >= _STEP_COST:
            cost = 0
            yield
    return None, cost


def _check_routes(
    routes: Mapping[str, Any], services: Mapping[str, Any], validator: Any, cost: int
) -> Generator[None, None, ValidationError | None]:
    name_by_place: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        location = f"route {name}"
        cost += 1
        if not _is_usual_route(route, services):
            cost += _CERBERUS_CHECK_COST
            error = _validate(location, validator, route)
            if error := error or _find_inconsistency(location, route, services):
                return error
        place = normalize_host(route["host"]), route["prefix"]
        first_name = name_by_place.setdefault(place, name)
        if first_name is not name:
            return ValidationError(
                location, "prefix", f"is in the same place as route {first_name}"
            )
        if cost >= _STEP_COST:
            cost = 0
            yield
    return None


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        seen: set[str] = set()
        for name, _ in pairs:
            if name in seen:
                raise ValueError(f"{name!r} is there twice")
            seen.add(name)
    return table


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is no number")


def _is_usual_service(service: Any) -> bool:
    """Whether a service is surely valid; others may be valid all the same."""
    return (
        type(service) is dict
        and type(service.get("probe", "")) is str
        and type(service.get("protocol", "")) is str
        and type(service.get("tls", False)) is bool
        and _is_usable_number(service.get("saturation", 0))
    )


def _is_usual_route(route: Any, services: Mapping[str, Any]) -> bool:
    """Whether a route is surely valid; others may be valid all the same."""
    if type(route) is not dict:
        return False
    get: Callable[..., Any] = route.get
    host, prefix, horizon, tries = get("host"), get("prefix"), get("horizonS"), get("tries", 1)
    if not (type(host) is str and host and type(prefix) is str and _is_in_slashes(prefix)):
        return False
    if not (
        get("kind") in ROUTE_KINDS
        and _is_usable_number(horizon)
        and horizon > 0
        and _is_usable_number(tries)
        and tries >= 1
    ):
        return False
    if not (_is_usable_number(get("priority", 0)) and _is_near(get("setpointS", 0), horizon)):
        return False
    service, mix = get("service"), get("mix")
    if service is not None and not (type(service) is str and service in services):
        return False
    if mix is None:
        return service is not None
    return type(mix) is list and _is_usual_mix(mix, services)


def _is_usual_mix(mix: list[Any], services: Mapping[str, Any]) -> bool:
    total_gain = 0
    for part in mix:
        if type(part) is not dict:
            return False
        service: Any = part.get("service")
        gain: Any = part.get("gain")
        if not (type(service) is str and service in services):
            return False
        if not (_is_usable_number(gain) and gain >= 0):
            return False
        total_gain += gain
    return total_gain > 0


def _is_usable_number(value: Any) -> bool:
    return type(value) in _NUMBER_TYPES and -MAX_NUMBER <= value <= MAX_NUMBER


def _is_in_slashes(prefix: str) -> bool:
    return prefix[:1] == "/" == prefix[-1:]


def _is_near(setpoint: Any, horizon: float) -> bool:
    """Whether a setpoint is a usable number less than a minute above its horizon."""
    if not _is_usable_number(setpoint):
        return False
    if setpoint <= horizon:
        return True
    return to_microseconds(setpoint) - to_microseconds(horizon) < MAX_TARGET_LEAD_US


def _validate(location: str, validator: Any, table: object) -> ValidationError | None:
    if not isinstance(table, dict):
        return ValidationError(location, "", "must be a table")
    valid = validator.validate(table, normalize=False)
    error = None if valid else first_cerberus_error(location, validator.errors)
    validator.document = None  # lets the table be freed
    return error


def _find_inconsistency(
    location: str, route: Mapping[str, Any], services: Mapping[str, Any]
) -> ValidationError | None:
    """What is wrong between the fields of a route that are each well formed."""
    horizon, setpoint = route["horizonS"], route.get("setpointS")
    if setpoint is not None and not _is_near(setpoint, horizon):
        return ValidationError(
            location, "setpointS", f"{setpoint} is a minute or more above horizonS, {horizon}"
        )
    service, mix = route.get("service"), route.get("mix")
    if service is not None and service not in services:
        return ValidationError(location, "service", f"names an unknown service, {service}")
    if service is None and mix is None:
        return ValidationError(location, "service", "names no service, and there is no mix")
    for index, part in enumerate(mix or ()):
        if part["service"] not in services:
            return ValidationError(
                location,
                f"mix.{index}.service",
                f"names an unknown service, {part['service']}",
            )
    if mix is not None and not any(part["gain"] > 0 for part in mix):
        return ValidationError(location, "mix", "has no gain above 0")
    return None


class _Validators(NamedTuple):
    document: Any
    service: Any
    route: Any


def _rule(holds: Callable[[Any], bool], reason: str) -> Callable[[str, Any, Any], None]:
    """A rule for cerberus' `check_with` that passes over null, which other rules judge."""

    def check_value(field: str, value: Any, error: Any) -> None:
        if value is not None and not holds(value):
            error(field, reason)

    return check_value


def _is_revision(text: str) -> bool:
    return len(text) == REVISION_DIGITS and all(digit in hexdigits for digit in text)


_USABLE = _rule(_is_usable_number, "must be a finite number")
_ABOVE_ZERO = _rule(lambda value: value > 0, "must be above 0")
_IN_SLASHES = _rule(_is_in_slashes, "must begin and end with a slash")
_REVISION = _rule(_is_revision, "must be eight hexadecimal digits")

_NAME = {"type": "string", "required": True, "empty": False}
_OPTIONAL_TEXT = {"type": "string", "nullable": True}
_OPTIONAL_NUMBER = {"type": "number", "nullable": True, "check_with": _USABLE}
_MIX_PART = {
    "service": _NAME,
    "gain": {"type": "number", "required": True, "min": 0, "check_with": _USABLE},
}
_ENVELOPE = {
    "headerBytes": _OPTIONAL_NUMBER,
    "bodyBytes": _OPTIONAL_NUMBER,
    "headerS": _OPTIONAL_NUMBER,
    "idleS": _OPTIONAL_NUMBER,
}
_DOCUMENT_SCHEMA = {
    "revision": {"type": "string", "required": True, "check_with": _REVISION},
    "routes": {"type": "dict", "required": True},
    "services": {"type": "dict", "required": True},
    "envelope": {"type": "dict", "nullable": True, "schema": _ENVELOPE},
}
_SERVICE_SCHEMA = {
    "probe": _OPTIONAL_TEXT,
    "saturation": _OPTIONAL_NUMBER,
    "protocol": _OPTIONAL_TEXT,
    "tls": {"type": "boolean", "nullable": True},
}
_ROUTE_SCHEMA = {
    "host": _NAME,
    "prefix": _NAME | {"check_with": _IN_SLASHES},
    "kind": {"type": "string", "required": True, "allowed": list(ROUTE_KINDS)},
    "horizonS": {"type": "number", "required": True, "check_with": [_USABLE, _ABOVE_ZERO]},
    "setpointS": _OPTIONAL_NUMBER,
    "priority": _OPTIONAL_NUMBER,
    "tries": _OPTIONAL_NUMBER | {"min": 1},
    "service": _OPTIONAL_TEXT,
    "mix": {"type": "list", "nullable": True, "schema": {"type": "dict", "schema": _MIX_PART}},
}


@cache
def _validators() -> _Validators:
    from cerberus import Validator

    schemas = _DOCUMENT_SCHEMA, _SERVICE_SCHEMA, _ROUTE_SCHEMA
    return _Validators(*(Validator(schema, allow_unknown=True) for schema in schemas))
