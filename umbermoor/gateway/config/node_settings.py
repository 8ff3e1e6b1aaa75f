"""A process's papers: its settings file (DEPLOY.md, "What a process is told"), times as whole
microseconds."""

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from umbermoor.gateway.config.errors import Fault, first_fault
from umbermoor.gateway.config.quantities import us

Figure = float | bool
Place = tuple[str, int]  # IP address, port


@dataclass(frozen=True, slots=True)
class Papers:
    """What the settings file says. Unknown fields are skipped; absent ones have the values
    shown."""

    name: str
    role: str
    machine_class: str
    ip: str
    zone: str
    ports: tuple[int, int]  # first and last of those free for the gateway's own use
    region: str = ""
    serves: tuple[str, ...] = ()
    seeds: tuple[str, ...] = ()  # control addresses, "ip:port"
    cold: bool = False  # the whole system starts for the first time
    quorum: bool = False
    data_dir: str | None = None
    period_us: int = 1_500_000  # between a machine's beats
    invariants: tuple[str, ...] = ()
    margins: Mapping[str, Figure] = field(default_factory=dict)
    zones: Mapping[str, str] = field(default_factory=dict)  # region by zone
    listen: Mapping[str, Place] = field(
        default_factory=dict
    )  # front, ready, control: whichever are there
    memory_mb: float = 256
    descriptors: int = 1024
    cpu_share: float = 1.0
    cores: float = 1
    disk_mb: float = 0
    bear_machines: int = 0  # machines with quorumMember that may be lost at once

    def margin(self, name: str, default: Figure) -> Figure:
        """A margin's figure as written, or the default where there is none."""
        return self.margins.get(name, default)

    def margin_us(self, name: str, default_s: float) -> int:
        """A margin that is a time, in microseconds; the default is in seconds."""
        figure = self.margins.get(name, default_s)
        return us(default_s if isinstance(figure, bool) else figure)


def read_papers(path: str) -> Papers | Fault:
    """Reads the file at `path`; a fault if it cannot be read, is no TOML, or a field is missing or
    odd."""
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as error:
        return Fault("settings", path, error.strerror or "cannot be read")
    return papers_from(raw)


def papers_from(raw: bytes) -> Papers | Fault:
    """Papers from a settings file's bytes."""
    try:
        table = tomllib.loads(raw.decode())
    except (ValueError, RecursionError) as error:
        return Fault("settings", "", f"no TOML: {error}")
    checker = _checker()
    if not checker.validate(table, normalize=False):
        return first_fault("settings", checker.errors)
    envelope = table.get("envelope", {})
    listen = {name: _place(text) for name, text in table.get("listen", {}).items()}
    told: dict[str, Any] = {
        "region": table.get("region"),
        "serves": _tuple(table.get("serves")),
        "seeds": _tuple(table.get("seeds")),
        "cold": table.get("coldStart"),
        "quorum": table.get("quorumMember"),
        "data_dir": table.get("dataDir") or None,
        "period_us": us(table["periodS"]) if "periodS" in table else None,
        "invariants": _tuple(table.get("invariants")),
        "margins": _margins(table.get("margins", [])),
        "zones": table.get("zones"),
        "listen": listen,
        "memory_mb": envelope.get("memoryMb"),
        "descriptors": envelope.get("descriptors"),
        "cpu_share": envelope.get("cpuShare"),
        "cores": envelope.get("cores"),
        "disk_mb": envelope.get("diskMb"),
        "bear_machines": table.get("robustness", {}).get("machines"),
    }
    first, last = table["portRange"]
    return Papers(
        name=table["nodeName"],
        role=table["role"],
        machine_class=table["machineClass"],
        ip=table["ip"],
        zone=table["zone"],
        ports=(first, last),
        **{key: value for key, value in told.items() if value is not None},
    )


def _tuple(texts: list[str] | None) -> tuple[str, ...] | None:
    return None if texts is None else tuple(texts)


def _place(text: str) -> Place:
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def _margins(texts: list[str] | str) -> dict[str, Figure]:
    """Figures by name; what is no figure may be for a later reader and is skipped."""
    margins: dict[str, Figure] = {}
    for text in texts.split(",") if isinstance(texts, str) else texts:
        name, _, value = (part.strip() for part in text.partition("="))
        if value in ("true", "false"):
            margins[name] = value == "true"
            continue
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure):
            margins[name] = figure
    return margins


@cache
def _checker() -> Any:
    from cerberus import Validator

    def finite(field: str, value: Any, error: Any) -> None:
        if not math.isfinite(value):
            error(field, "must be a finite number")

    def place(field: str, value: str, error: Any) -> None:
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdecimal() or int(port) > 65535:
            error(field, f"must be ip:port, not {value!r}")

    def rising(field: str, value: list[int], error: Any) -> None:
        if len(value) == 2 and value[0] > value[1]:
            error(field, "must not fall")

    text = {"type": "string"}
    named = {"type": "string", "required": True, "empty": False}
    texts = {"type": "list", "schema": text}
    flag = {"type": "boolean"}
    amount = {"type": "number", "min": 0, "check_with": finite}
    count = {"type": "integer", "min": 0}
    port = {"type": "integer", "min": 1, "max": 65535}
    schema = {
        "nodeName": named,
        "role": named,
        "machineClass": named,
        "ip": named,
        "zone": named,
        "region": text,
        "portRange": {
            "type": "list",
            "required": True,
            "minlength": 2,
            "maxlength": 2,
            "schema": port,
            "check_with": rising,
        },
        "serves": texts,
        "seeds": {"type": "list", "schema": {"type": "string", "check_with": place}},
        "coldStart": flag,
        "quorumMember": flag,
        "dataDir": text,
        "periodS": {"type": "number", "min": 0.001, "check_with": finite},
        "invariants": texts,
        "margins": {"anyof": [texts, text]},
        "zones": {"type": "dict", "valuesrules": text},
        "listen": {"type": "dict", "valuesrules": {"type": "string", "check_with": place}},
        "envelope": {
            "type": "dict",
            "schema": {
                "cpuShare": amount,
                "cores": amount,
                "memoryMb": amount,
                "descriptors": count,
                "diskMb": amount,
            },
        },
        "robustness": {"type": "dict", "schema": {"machines": count}},
    }
    return Validator(schema, allow_unknown=True)
