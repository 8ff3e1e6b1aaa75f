"""The front's configuration: reading, validation and defaults."""

import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from umbermoor.front.interface import Charter, Control, Group
from umbermoor.front.start_settings import REPEATS, micros, read_start_settings

Address = tuple[str, int]

_NUMBERS = {  # optional settings that must be numbers
    "limits": ("try_limit", "max_retry_after_ms", "connect_timeout_ms", "idle_close_ms"),
    "rules": (
        "stop_sending_within_ms",
        "cold_from",
        "warm_within_ms",
        "overload_factor",
        "fall_ms",
    ),
    "domain": (
        "to_advance",
        "back_votes",
        "to_pause",
        "vote_allowance",
        "vote_life_ms",
        "vote_wait_ms",
        "least_stage_ms",
        "guarded_stages",
        "spare_tries",
        "metrics_period_ms",
        "complaint_share",
    ),
}

MIN_MEMORY_MB = 28  # MB, of which the interpreter and its libraries take most
MIN_SOCKETS = 40  # fewer leave none for clients and machines


class ConfigurationError(Exception):
    """The configuration is invalid; the text names the key."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A checked configuration, with its defaults filled in; times in microseconds."""

    name: str
    listen: Address
    discovery: Address
    platform: Address
    charter: Charter
    sockets: int
    memory: int  # bytes
    profiles: Mapping[str, int]  # profile names and their indices
    zones: Mapping[str, int]
    connect_within: int
    idle_close: int
    load_fields: tuple[str, ...]
    service: str  # the Host header of requests to machines
    initial_stage: Mapping[str, Any] | None  # the platform's state at the start, in its own format
    initial_list: Mapping[str, Any] | None  # the machines at the start, in discovery's format


def read_configuration(environ: Mapping[str, str], path: str | None = None) -> Configuration:
    """Read the JSON file at `path`, or at LB_CONFIG; other LB_ variables are defaults for its keys.

    Raises:
        ConfigurationError: The configuration cannot be read or is invalid.
    """
    path = path or environ.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG: not set, and no --config given")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"LB_CONFIG: {path}: {os.strerror(error.errno or 0)}") from None
    try:
        given = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"LB_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(given, dict):
        raise ConfigurationError(f"LB_CONFIG: {path}: not a JSON object")
    return check_configuration(
        {
            **{
                key: environ[name]
                for key, name in (
                    ("name", "LB_NAME"),
                    ("listen", "LB_LISTEN"),
                    ("discovery", "LB_DISCOVERY"),
                )
                if name in environ
            },
            **given,
        }
    )


def check_configuration(given: Mapping[str, Any]) -> Configuration:
    """Validate a configuration and fill in its defaults.

    Raises:
        ConfigurationError: A key is missing or has an invalid value.
    """
    settings = _get(given, "settings", dict)
    seed = _get(given, "seed", str, "0")
    try:
        seeded = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed: not a hexadecimal number: {seed!r}") from None
    rows = _get(settings, "request_classes", list, prefix="settings.")
    for index, row in enumerate(rows):
        where = f"settings.request_classes[{index}]"
        if not isinstance(row, dict):
            raise ConfigurationError(f"{where}: not an object")
        for key, kind in (("name", str), ("aim_ms", float), ("give_up_ms", float), ("repeat", str)):
            _get(row, key, kind, prefix=where + ".")
        for key in ("late_worth", "window_ms", "worth"):
            _get(row, key, float, None, prefix=where + ".")
        _one_of(row, "repeat", REPEATS, prefix=where + ".")
        _one_of(row, "group", [group.value for group in Group], prefix=where + ".")
    for part, keys in _NUMBERS.items():
        values = _get(settings, part, dict, {}, prefix="settings.")
        for key in keys:
            _get(values, key, float, None, prefix=f"settings.{part}.")
    domain, limits = settings.get("domain") or {}, settings.get("limits") or {}
    _one_of(domain, "gate_mode", [control.value for control in Control], prefix="settings.domain.")
    for cap in _get(domain, "stage_cap", list, [], prefix="settings.domain."):
        _get({"stage_cap": cap}, "stage_cap", float, prefix="settings.domain.")
    try:
        charter = read_start_settings(seeded, settings)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"settings: {type(error).__name__}: {error}") from None
    zones = _get(settings, "zones", list, [], prefix="settings.")
    reports = _get(settings, "load_info", dict, {}, prefix="settings.")
    api = _get(given, "release_api", dict)
    bounds = _get(given, "limits", dict, {})
    sockets = _get(bounds, "sockets", int, 1024, prefix="limits.")
    memory = _get(bounds, "memory_mb", float, 64.0, prefix="limits.")
    if sockets < MIN_SOCKETS:
        raise ConfigurationError(
            f"limits.sockets: {sockets} is fewer than the {MIN_SOCKETS} that a front needs"
        )
    if memory < MIN_MEMORY_MB:
        raise ConfigurationError(
            f"limits.memory_mb: {memory} is less than the {MIN_MEMORY_MB} that a front needs"
        )
    return Configuration(
        name=_get(given, "name", str, "front"),
        listen=_address(given, "listen"),
        discovery=_address(given, "discovery"),
        platform=_address(api, "address", "release_api."),
        charter=charter,
        sockets=sockets,
        memory=round(memory * 2**20),
        profiles={row["name"]: index for index, row in enumerate(rows)},
        zones={name: index for index, name in enumerate(zones)},
        connect_within=micros(
            _get(limits, "connect_timeout_ms", float, 1000.0, prefix="settings.limits.")
        ),
        idle_close=micros(_get(limits, "idle_close_ms", float, 10000.0, prefix="settings.limits.")),
        service=_get(given, "service", str, "api.internal"),
        load_fields=tuple(_get(reports, "fields", list, [], prefix="settings.load_info.")),
        initial_stage=_get(api, "news", dict, None, prefix="release_api."),
        initial_list=_get(given, "known", dict, None),
    )


_TYPE_NAMES = {
    dict: "an object",
    list: "an array",
    str: "a text",
    int: "a whole number",
    float: "a number",
}
_REQUIRED: Any = object()


def _get(
    given: Mapping[str, Any], key: str, kind: type, default: Any = _REQUIRED, prefix: str = ""
) -> Any:
    value = given.get(key)
    if value is None:
        if default is _REQUIRED:
            raise ConfigurationError(f"{prefix}{key}: missing")
        return default
    if not isinstance(value, (int, float) if kind is float else kind) or isinstance(value, bool):
        raise ConfigurationError(f"{prefix}{key}: not {_TYPE_NAMES[kind]}: {value!r:.60}")
    return value


def _one_of(given: Mapping[str, Any], key: str, allowed: Iterable[str], prefix: str) -> None:
    if (value := given.get(key)) is not None and value not in allowed:
        raise ConfigurationError(f"{prefix}{key}: not one of {', '.join(allowed)}: {value!r:.60}")


def _address(given: Mapping[str, Any], key: str, prefix: str = "") -> Address:
    text = _get(given, key, str, prefix=prefix)
    if (address := read_address(text)) is None:
        raise ConfigurationError(f"{prefix}{key}: not host:port: {text!r:.60}")
    return address


def read_address(text: str) -> Address | None:
    """Parse host:port; return None if it is malformed."""
    host, _, port = text.rpartition(":")
    return (
        (host, int(port))
        if host and port.isascii() and port.isdigit() and 0 < int(port) < 65536
        else None
    )
