"""Decodes and validates a configuration as the operator sends it (PROTOCOL.md, "The operator").

Start with `parse`. A configuration is rejected if that page calls it invalid, if a proxy could not
apply it (no horizon, a prefix without its slashes, two routes with the same host and prefix, a mix
without traffic), or if a value has another type than shown there. Anything else is accepted.

cerberus finds the errors. It takes some 0.4 ms per route, so routes are first checked by a fast
path of plain comparisons, which can only accept: some 7 us per route, including the search for
duplicate hosts and prefixes. What the fast path does not accept is checked by cerberus.
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
MAX_NUMBER = 1e15  # small enough to convert to microseconds
MAX_TARGET_LEAD_US = 60_000_000  # a setpoint at least this far above its horizon is invalid

# Costs in units of one fast-path check; `check_in_steps` yields after work of `_STEP_COST`.
_CERBERUS_CHECK_COST = 60
_STEP_COST = 1_500  # some 10 ms

_NUMBER_TYPES = (int, float)  # bool is excluded


class Configuration(NamedTuple):
    """A valid configuration.

    Attributes:
        revision: The revision as a number.
        body: The decoded JSON object, from which a `RouteTable` is compiled.
    """

    revision: int
    body: dict[str, Any]


def parse(raw: bytes) -> Configuration | ValidationError:
    """Decode and validate a request body."""
    body = decode(raw)
    if isinstance(body, ValidationError):
        return body
    return check(body) or Configuration(int(body["revision"], 16), body)


def decode(raw: bytes) -> dict[str, Any] | ValidationError:
    """Decode a request body that contains a JSON object, without validating it further.

    Returns:
        The object, or a `ValidationError` if the body contains none, if it is truncated, or if a
        key occurs twice in an object.
    """
    try:
        body = json.loads(
            raw.decode(), object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        return ValidationError("", "", f"cannot be read whole: {error}")
    return body if isinstance(body, dict) else ValidationError("", "", "must be a table")


def check(body: object) -> ValidationError | None:
    """Return the first error in a decoded configuration, or None if it is valid."""
    steps = check_in_steps(body)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def check_in_steps(body: object) -> Generator[None, None, ValidationError | None]:
    """Validate like `check`, but in steps of 10 to 20 ms, yielding between them."""
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
    """Return the first error in the services, and the cost of the unfinished step so far."""
    cost = _CERBERUS_CHECK_COST  # for the check of the document itself
    for name, service in services.items():
        cost += 1
        if not _is_plainly_valid_service(service):
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
    route_names: dict[tuple[str, str], str] = {}  # by host and prefix
    for name, route in routes.items():
        location = f"route {name}"
        cost += 1
        if not _is_plainly_valid_route(route, services):
            cost += _CERBERUS_CHECK_COST
            error = _validate(location, validator, route)
            if error := error or _find_inconsistency(location, route, services):
                return error
        host_and_prefix = normalize_host(route["host"]), route["prefix"]
        first_name = route_names.setdefault(host_and_prefix, name)
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


def _is_plainly_valid_service(service: Any) -> bool:
    """Whether a service passes the fast path; one that does not may still be valid."""
    return (
        type(service) is dict
        and type(service.get("probe", "")) is str
        and type(service.get("protocol", "")) is str
        and type(service.get("tls", False)) is bool
        and _is_usable_number(service.get("saturation", 0))
    )


def _is_plainly_valid_route(route: Any, services: Mapping[str, Any]) -> bool:
    """Whether a route passes the fast path; one that does not may still be valid."""
    if type(route) is not dict:
        return False
    get: Callable[..., Any] = route.get
    host, prefix, horizon, tries = get("host"), get("prefix"), get("horizonS"), get("tries", 1)
    if not (type(host) is str and host and type(prefix) is str and _has_outer_slashes(prefix)):
        return False
    if not (
        get("kind") in ROUTE_KINDS
        and _is_usable_number(horizon)
        and horizon > 0
        and _is_usable_number(tries)
        and tries >= 1
    ):
        return False
    if not (
        _is_usable_number(get("priority", 0)) and _is_valid_setpoint(get("setpointS", 0), horizon)
    ):
        return False
    service, mix = get("service"), get("mix")
    if service is not None and not (type(service) is str and service in services):
        return False
    if mix is None:
        return service is not None
    return type(mix) is list and _is_plainly_valid_mix(mix, services)


def _is_plainly_valid_mix(mix: list[Any], services: Mapping[str, Any]) -> bool:
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


def _has_outer_slashes(prefix: str) -> bool:
    return prefix[:1] == "/" == prefix[-1:]


def _is_valid_setpoint(setpoint: Any, horizon: float) -> bool:
    """Whether a setpoint is a usable number that is less than a minute above its horizon."""
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
    validator.document = None  # so that the table can be garbage collected
    return error


def _find_inconsistency(
    location: str, route: Mapping[str, Any], services: Mapping[str, Any]
) -> ValidationError | None:
    """Return the first inconsistency between fields of a route that are each well formed."""
    horizon, setpoint = route["horizonS"], route.get("setpointS")
    if setpoint is not None and not _is_valid_setpoint(setpoint, horizon):
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


def _rule(is_valid: Callable[[Any], bool], reason: str) -> Callable[[str, Any, Any], None]:
    """Make a function for cerberus' `check_with` that ignores null, which other rules check."""

    def check_value(field: str, value: Any, error: Any) -> None:
        if value is not None and not is_valid(value):
            error(field, reason)

    return check_value


def _is_revision(text: str) -> bool:
    return len(text) == REVISION_DIGITS and all(digit in hexdigits for digit in text)


_USABLE = _rule(_is_usable_number, "must be a finite number")
_ABOVE_ZERO = _rule(lambda value: value > 0, "must be above 0")
_OUTER_SLASHES = _rule(_has_outer_slashes, "must begin and end with a slash")
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
    "prefix": _NAME | {"check_with": _OUTER_SLASHES},
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
