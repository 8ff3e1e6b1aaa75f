"""Inputs for a proxy under test: its settings, two routes, and an update that lists instances."""

from collections.abc import Sequence
from typing import Any

SETTINGS = """
nodeName = "front-1"
role = "my-front"
machineClass = "front"
ip = "127.0.0.1"
zone = "z"
portRange = [{port},{port}]
seeds = ["127.0.0.9:8649"]
margins = [{margins}]
[envelope]
memoryMb = 64
"""
ROUTE_KINDS = ("safe", "unsafe")
CONTROLLER_ADDRESS = "127.0.0.9"


def settings_text(port: int = 7000, **margins: float) -> str:
    """Return a settings file with a practically unlimited retry budget."""
    all_margins = {"retryRatio": 100, **margins}
    return SETTINGS.format(
        port=port, margins=", ".join(f'"{name}={value}"' for name, value in all_margins.items())
    )


def configuration(
    revision: int = 1, kinds: Sequence[str] = ROUTE_KINDS, timeout_s: float = 5
) -> dict[str, Any]:
    """Return a configuration with a route `/KIND/` on host h for each kind, all to service s."""
    routes = {
        kind: {
            "host": "h",
            "prefix": f"/{kind}/",
            "kind": kind,
            "horizonS": timeout_s,
            "service": "s",
            "tries": 2,
        }
        for kind in kinds
    }
    return {"revision": f"{revision:08x}", "services": {"s": {}}, "routes": routes}


def instances_update(number: int, records: list[Any]) -> dict[str, Any]:
    """Return a controller update with these instance records, in wire form."""
    return {
        "kind": "news",
        "life": 1,
        "number": number,
        "machines": records,
        "register": [0, 0],
        "keys": {},
        "everyone": [CONTROLLER_ADDRESS],
        "head": CONTROLLER_ADDRESS,
        "firm": True,
        "revision": 0,
    }
