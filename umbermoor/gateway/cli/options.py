"""Options that several commands share."""

from typing import Annotated, Any

from cyclopts import Parameter

MAX_PORT = 65535


def _check_addresses(type_: Any, addresses: tuple[str, ...]) -> None:
    for address in addresses:
        ip, _, port = address.rpartition(":")
        if not ip or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"must be ip:port, not {address!r}")


ControlAddresses = Annotated[
    tuple[str, ...],
    Parameter(
        name="--at",
        env_var="UMBERMOOR_AT",
        validator=_check_addresses,
        negative=(),
        help="A control address, ip:port. Repeat the option for several, or list them in "
        "UMBERMOOR_AT, separated by spaces.",
    ),
]
TimeoutSeconds = Annotated[
    float,
    Parameter(name="--within-s", help="Seconds after which a call without an answer fails."),
]
DryRun = Annotated[
    bool,
    Parameter(
        name="--dry-run",
        negative=(),
        help="Only print the result that the change would have, or why it would be refused.",
    ),
]
