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

MEMORY_LEAST = 28  # MB, of which the interpreter and its libraries take most
SOCKETS_LEAST = 40  # fewer leave none for clients and machines


class ConfigurationError(Exception):
    """The configuration is invalid; the text names the key."""


@dataclass(frozen=True, slots=True)
class Configuration:
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
    news: Mapping[str, Any] | None  # the platform's state at the start, in its own format
    known: Mapping[str, Any] | None  # the list of machines at the start, in discovery's format


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
    settings = _at(given, "settings", dict)
    seed = _at(given, "seed", str, "0")
    try:
        seeded = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed: not a hexadecimal number: {seed!r}") from None
    rows = _at(settings, "request_classes", list, within="settings.")
    for place, row in enumerate(rows):
        where = f"settings.request_classes[{place}]"
        if not isinstance(row, dict):
            raise ConfigurationError(f"{where}: not an object")
        for key, kind in (("name", str), ("aim_ms", float), ("give_up_ms", float), ("repeat", str)):
            _at(row, key, kind, within=where + ".")
        for key in ("late_worth", "window_ms", "worth"):
            _at(row, key, float, None, within=where + ".")
        _one_of(row, "repeat", REPEATS, within=where + ".")
        _one_of(row, "group", [group.value for group in Group], within=where + ".")
    for part, keys in _NUMBERS.items():
        values = _at(settings, part, dict, {}, within="settings.")
        for key in keys:
            _at(values, key, float, None, within=f"settings.{part}.")
    domain, limits = settings.get("domain") or {}, settings.get("limits") or {}
    _one_of(domain, "gate_mode", [control.value for control in Control], within="settings.domain.")
    for cap in _at(domain, "stage_cap", list, [], within="settings.domain."):
        _at({"stage_cap": cap}, "stage_cap", float, within="settings.domain.")
    try:
        charter = read_start_settings(seeded, settings)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"settings: {type(error).__name__}: {error}") from None
    zones = _at(settings, "zones", list, [], within="settings.")
    reports = _at(settings, "load_info", dict, {}, within="settings.")
    api = _at(given, "release_api", dict)
    bounds = _at(given, "limits", dict, {})
    sockets = _at(bounds, "sockets", int, 1024, within="limits.")
    memory = _at(bounds, "memory_mb", float, 64.0, within="limits.")
    if sockets < SOCKETS_LEAST:
        raise ConfigurationError(
            f"limits.sockets: {sockets} is fewer than the {SOCKETS_LEAST} that a front needs"
        )
    if memory < MEMORY_LEAST:
        raise ConfigurationError(
            f"limits.memory_mb: {memory} is less than the {MEMORY_LEAST} that a front needs"
        )
    return Configuration(
        name=_at(given, "name", str, "front"),
        listen=_address(given, "listen"),
        discovery=_address(given, "discovery"),
        platform=_address(api, "address", "release_api."),
        charter=charter,
        sockets=sockets,
        memory=round(memory * 2**20),
        profiles={row["name"]: place for place, row in enumerate(rows)},
        zones={name: place for place, name in enumerate(zones)},
        connect_within=micros(
            _at(limits, "connect_timeout_ms", float, 1000.0, within="settings.limits.")
        ),
        idle_close=micros(_at(limits, "idle_close_ms", float, 10000.0, within="settings.limits.")),
        service=_at(given, "service", str, "api.internal"),
        load_fields=tuple(_at(reports, "fields", list, [], within="settings.load_info.")),
        news=_at(api, "news", dict, None, within="release_api."),
        known=_at(given, "known", dict, None),
    )


_WORDS = {
    dict: "an object",
    list: "an array",
    str: "a text",
    int: "a whole number",
    float: "a number",
}
_NEEDED: Any = object()


def _at(
    given: Mapping[str, Any], key: str, kind: type, otherwise: Any = _NEEDED, within: str = ""
) -> Any:
    value = given.get(key)
    if value is None:
        if otherwise is _NEEDED:
            raise ConfigurationError(f"{within}{key}: missing")
        return otherwise
    if not isinstance(value, (int, float) if kind is float else kind) or isinstance(value, bool):
        raise ConfigurationError(f"{within}{key}: not {_WORDS[kind]}: {value!r:.60}")
    return value


def _one_of(given: Mapping[str, Any], key: str, known: Iterable[str], within: str) -> None:
    if (value := given.get(key)) is not None and value not in known:
        raise ConfigurationError(f"{within}{key}: not one of {', '.join(known)}: {value!r:.60}")


def _address(given: Mapping[str, Any], key: str, within: str = "") -> Address:
    text = _at(given, key, str, within=within)
    if (address := read_address(text)) is None:
        raise ConfigurationError(f"{within}{key}: not host:port: {text!r:.60}")
    return address


def read_address(text: str) -> Address | None:
    """Parse host:port; return None if it is malformed."""
    host, _, port = text.rpartition(":")
    return (
        (host, int(port))
        if host and port.isascii() and port.isdigit() and 0 < int(port) < 65536
        else None
    )
