"""`status` and `instances` show the controllers' state; `story` and `machines` are deprecated.

The deprecated commands make the calls of the previous release, so that they also work with its
controllers during an upgrade. They print the deprecation only after a success, because scripts
expect a failed command to print a single line on standard error: the reason.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from umbermoor.gateway.cli.application import app
from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.options import ControlAddresses, TimeoutSeconds
from umbermoor.gateway.cli.output import (
    json_object,
    print_line,
    report_failure,
    warn_deprecated,
)


class ControllerStatus(NamedTuple):
    """The status that a controller reports."""

    name: str
    epoch: int | None
    chain: list[str]
    role: str | None
    version: list[int]
    instances: int | None
    connected: bool | None
    controllers: list[str]  # IP addresses of all controllers that it knows

    def to_line(self, address: str, instances_label: str) -> str:
        """Return the line that a command prints for the controller at an address."""
        chain = ",".join(self.chain) or "none"
        version = ".".join(map(str, self.version))
        return (
            f"{address} {self.name} epoch={self.epoch} chain={chain} role={self.role} "
            f"version={version} {instances_label}={self.instances} "
            f"connected={str(self.connected).lower()}"
        )


def _status_from_wire(body: dict[str, Any]) -> ControllerStatus:
    replica_set = body.get("replicaSet") or {}
    return _status(body, body.get("instances"), replica_set.get("addresses"))


def _status_from_earlier_wire(body: dict[str, Any]) -> ControllerStatus:
    return _status(body, body.get("machines"), body.get("everyone"))


def _status(
    body: dict[str, Any], instances: int | None, controllers: list[str] | None
) -> ControllerStatus:
    return ControllerStatus(
        body.get("name", ""),
        body.get("epoch"),
        body.get("chain") or [],
        body.get("role"),
        body.get("version") or [],
        instances,
        body.get("connected"),
        controllers or [],
    )


@app.command(name="status")
def status(*, at: ControlAddresses) -> int:
    """Print a line for each controller: its view of the chain, its role, what it stores.

    The system is healthy if all controllers are listed, agree on the epoch and the chain, and none
    has the role blank (an empty disk). The exit status is 3 if no controller answered.
    """
    statuses = _read_statuses(at, "/Status", _status_from_wire)
    return _print_statuses(statuses, "instances")


@app.command(name="story")
def story(*, at: ControlAddresses) -> int:
    """Deprecated: use `status`."""
    statuses = _read_statuses(at, "/Story", _status_from_earlier_wire)
    exit_status = _print_statuses(statuses, "machines")
    if exit_status == ExitStatus.SUCCESS:
        warn_deprecated("story", "status")
    return exit_status


@app.command(name="instances")
def instances(
    *, at: ControlAddresses, service: str | None = None, within_s: TimeoutSeconds = 5.0
) -> int:
    """Print a line for each instance that a controller knows.

    Id, service, address, zone, version, state, seconds since its last change was received.

    Args:
        service: Only print instances of this service.
    """
    return _print_instances(ControlClient(at, within_s), "/Instances", "instances", service)


@app.command(name="machines")
def machines(
    *, at: ControlAddresses, service: str | None = None, within_s: TimeoutSeconds = 5.0
) -> int:
    """Deprecated: use `instances`.

    Args:
        service: Only print instances of this service.
    """
    exit_status = _print_instances(ControlClient(at, within_s), "/Machines", "machines", service)
    if exit_status == ExitStatus.SUCCESS:
        warn_deprecated("machines", "instances")
    return exit_status


def _read_statuses(
    addresses: Iterable[str], path: str, from_wire: Callable[[dict[str, Any]], ControllerStatus]
) -> dict[str, ControllerStatus | NoResponse]:
    """Call each controller once and return the statuses by control address.

    Controllers that one of them names are called too, at the same port.
    """
    client = ControlClient(())
    statuses: dict[str, ControllerStatus | NoResponse] = {}
    pending = list(addresses)  # grows while it is iterated over
    for address in pending:
        if address in statuses:
            continue
        response = client.call_once(address, "GET", path)
        body = _body_of(response)
        if body is None:
            statuses[address] = _no_response(address, response)
            continue
        controller = statuses[address] = from_wire(body)
        port = address.rpartition(":")[2]
        pending.extend(f"{ip}:{port}" for ip in controller.controllers)
    return statuses


def _body_of(response: ControlResponse | NoResponse) -> dict[str, Any] | None:
    if isinstance(response, NoResponse) or not response.succeeded:
        return None
    return json_object(response.body)


def _no_response(address: str, response: ControlResponse | NoResponse) -> NoResponse:
    if isinstance(response, NoResponse):
        return response
    return NoResponse(f"{address}: answered {response.status}")


def _print_statuses(
    statuses: dict[str, ControllerStatus | NoResponse], instances_label: str
) -> ExitStatus:
    answered = False
    for address, controller in statuses.items():
        if isinstance(controller, NoResponse):
            print_line(f"{address} silent: {controller.reason}")
        else:
            answered = True
            print_line(controller.to_line(address, instances_label))
    return ExitStatus.SUCCESS if answered else ExitStatus.NO_RESPONSE


def _print_instances(client: ControlClient, path: str, key: str, service: str | None) -> ExitStatus:
    response = client.call("GET", path)
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    records = (json_object(response.body) or {}).get(key, {})
    for id, record in sorted(records.items(), key=lambda item: (item[1]["service"], item[0])):
        if service is None or record["service"] == service:
            print_line(_instance_line(id, record))
    return ExitStatus.SUCCESS


def _instance_line(id: str, record: dict[str, Any]) -> str:
    texts = (record[key] or "-" for key in ("service", "address", "zone", "revision"))
    return f"{id} {' '.join(texts)} {record['state']} {record['heardS']:.1f}"
