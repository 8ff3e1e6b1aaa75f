"""The startup settings of one process, read from its TOML settings file.

Start with `NodeSettings`. `parse_node_settings` is the only place that reads the file's keys
(DEPLOY.md, "What a process is told"); the fields have the gateway's own names, and every time is a
whole number of microseconds. An error in a file is returned as a `ValidationError`, not raised.
cerberus is imported when a file is first checked.
"""

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from umbermoor.gateway.config.errors import ValidationError, first_cerberus_error
from umbermoor.gateway.config.quantities import to_microseconds

MAX_PORT = 65535

MarginValue = float | bool
SocketAddress = tuple[str, int]  # IP address, port


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The contents of a settings file; unknown keys are ignored, missing ones get these defaults.

    Attributes:
        name: Name of this process, unique in the system.
        role: The role that the deployment assigns to it.
        machine_class: The class of the machine that it runs on.
        ip: The address that its own sockets listen on.
        zone: The zone that it runs in.
        port_range: The first and the last port reserved for the gateway's own use.
        region: The region that the zone belongs to.
        serves: The functions that the deployment assigns to it.
        seeds: Control addresses of controllers to contact first, as "ip:port".
        cold_start: Whether the whole system starts for the first time.
        quorum_member: Whether this controller is a member of the replica set.
        data_dir: The directory for its data; None if it has no disk.
        heartbeat_interval_us: Time between two heartbeats of an instance, in microseconds.
        invariants: The invariants that the deployment requires.
        margins: Tuning parameters by name; times are in seconds.
        zones: The region of each zone.
        listen: Addresses to listen on, by "front", "ready" and "control", as far as configured.
        memory_mb: Memory that the process may use, in MiB.
        descriptors: File descriptors that it may open.
        cpu_share: Fraction of one core's time that it may use.
        cores: Number of cores of its machine.
        disk_mb: Disk space that it may use, in MiB.
        tolerated_machine_losses: Machines of quorum members that may fail at the same time.
    """

    name: str
    role: str
    machine_class: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    region: str = ""
    serves: tuple[str, ...] = ()
    seeds: tuple[str, ...] = ()
    cold_start: bool = False
    quorum_member: bool = False
    data_dir: str | None = None
    heartbeat_interval_us: int = 1_500_000
    invariants: tuple[str, ...] = ()
    margins: Mapping[str, MarginValue] = field(default_factory=dict)
    zones: Mapping[str, str] = field(default_factory=dict)
    listen: Mapping[str, SocketAddress] = field(default_factory=dict)
    memory_mb: float = 256
    descriptors: int = 1024
    cpu_share: float = 1.0
    cores: float = 1
    disk_mb: float = 0
    tolerated_machine_losses: int = 0

    def margin(self, name: str, default: MarginValue) -> MarginValue:
        """Return the configured value of a margin, or `default` if it is not configured."""
        return self.margins.get(name, default)

    def margin_us(self, name: str, default_s: float) -> int:
        """Return a margin that is a time, in microseconds; the default is in seconds."""
        value = self.margins.get(name, default_s)
        return to_microseconds(default_s if isinstance(value, bool) else value)


def read_node_settings(path: str) -> NodeSettings | ValidationError:
    """Read the settings file at `path`.

    Returns:
        The settings, or a `ValidationError` if the file cannot be read, if it is not TOML, or if a
        key is missing or invalid.
    """
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as error:
        return ValidationError("settings", path, error.strerror or "cannot be read")
    return parse_node_settings(raw)


def parse_node_settings(raw: bytes) -> NodeSettings | ValidationError:
    """Parse the bytes of a settings file; return the settings, or the first error in them."""
    try:
        table = tomllib.loads(raw.decode())
    except (ValueError, RecursionError) as error:
        return ValidationError("settings", "", f"no TOML: {error}")
    validator = _validator()
    if not validator.validate(table, normalize=False):
        return first_cerberus_error("settings", validator.errors)
    first_port, last_port = table["portRange"]
    return NodeSettings(
        name=table["nodeName"],
        role=table["role"],
        machine_class=table["machineClass"],
        ip=table["ip"],
        zone=table["zone"],
        port_range=(first_port, last_port),
        **_optional_fields(table),
    )


def _optional_fields(table: Mapping[str, Any]) -> dict[str, Any]:
    """Return the optional fields that are present in a valid table."""
    envelope = table.get("envelope", {})
    period_s = table.get("periodS")
    fields: dict[str, Any] = {
        "region": table.get("region"),
        "serves": _tuple(table.get("serves")),
        "seeds": _tuple(table.get("seeds")),
        "cold_start": table.get("coldStart"),
        "quorum_member": table.get("quorumMember"),
        "data_dir": table.get("dataDir") or None,
        "heartbeat_interval_us": None if period_s is None else to_microseconds(period_s),
        "invariants": _tuple(table.get("invariants")),
        "margins": _margins(table.get("margins", [])),
        "zones": table.get("zones"),
        "listen": {name: _address(text) for name, text in table.get("listen", {}).items()},
        "memory_mb": envelope.get("memoryMb"),
        "descriptors": envelope.get("descriptors"),
        "cpu_share": envelope.get("cpuShare"),
        "cores": envelope.get("cores"),
        "disk_mb": envelope.get("diskMb"),
        "tolerated_machine_losses": table.get("robustness", {}).get("machines"),
    }
    return {name: value for name, value in fields.items() if value is not None}


def _tuple(texts: list[str] | None) -> tuple[str, ...] | None:
    return None if texts is None else tuple(texts)


def _address(text: str) -> SocketAddress:
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def _margins(texts: list[str] | str) -> dict[str, MarginValue]:
    """Return margins by name from "name=value" strings.

    Values that are neither finite numbers nor booleans are ignored: they may be meant for another
    reader of the same file, such as a later release.
    """
    margins: dict[str, MarginValue] = {}
    for text in texts.split(",") if isinstance(texts, str) else texts:
        name, _, value = (part.strip() for part in text.partition("="))
        if value in ("true", "false"):
            margins[name] = value == "true"
            continue
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            margins[name] = number
    return margins


def _check_finite(field: str, value: Any, error: Any) -> None:
    if not math.isfinite(value):
        error(field, "must be a finite number")


def _check_address(field: str, value: str, error: Any) -> None:
    ip, _, port = value.rpartition(":")
    if not ip or not port.isdecimal() or int(port) > MAX_PORT:
        error(field, f"must be ip:port, not {value!r}")


def _check_not_descending(field: str, value: list[int], error: Any) -> None:
    if len(value) == 2 and value[0] > value[1]:
        error(field, "must not fall")


_TEXT = {"type": "string"}
_REQUIRED_TEXT = {"type": "string", "required": True, "empty": False}
_TEXTS = {"type": "list", "schema": _TEXT}
_FLAG = {"type": "boolean"}
_AMOUNT = {"type": "number", "min": 0, "check_with": _check_finite}
_COUNT = {"type": "integer", "min": 0}
_PORT = {"type": "integer", "min": 1, "max": MAX_PORT}
_ADDRESS = {"type": "string", "check_with": _check_address}
_SCHEMA = {
    "nodeName": _REQUIRED_TEXT,
    "role": _REQUIRED_TEXT,
    "machineClass": _REQUIRED_TEXT,
    "ip": _REQUIRED_TEXT,
    "zone": _REQUIRED_TEXT,
    "region": _TEXT,
    "portRange": {
        "type": "list",
        "required": True,
        "minlength": 2,
        "maxlength": 2,
        "schema": _PORT,
        "check_with": _check_not_descending,
    },
    "serves": _TEXTS,
    "seeds": {"type": "list", "schema": _ADDRESS},
    "coldStart": _FLAG,
    "quorumMember": _FLAG,
    "dataDir": _TEXT,
    "periodS": {"type": "number", "min": 0.001, "check_with": _check_finite},
    "invariants": _TEXTS,
    "margins": {"anyof": [_TEXTS, _TEXT]},
    "zones": {"type": "dict", "valuesrules": _TEXT},
    "listen": {"type": "dict", "valuesrules": _ADDRESS},
    "envelope": {
        "type": "dict",
        "schema": {
            "cpuShare": _AMOUNT,
            "cores": _AMOUNT,
            "memoryMb": _AMOUNT,
            "descriptors": _COUNT,
            "diskMb": _AMOUNT,
        },
    },
    "robustness": {"type": "dict", "schema": {"machines": _COUNT}},
}


@cache
def _validator() -> Any:
    from cerberus import Validator

    return Validator(_SCHEMA, allow_unknown=True)
