"""`rollout` starts and monitors rollouts of services."""

import json
import time
from http import HTTPStatus
from typing import Any, NamedTuple, TypeGuard
from urllib.parse import quote

from cyclopts import App

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.options import ControlAddresses, TimeoutSeconds
from umbermoor.gateway.cli.output import json_object, print_line, report_failure

POLL_INTERVAL_S = 0.5  # between two reads in `rollout watch`

rollout = App(name="rollout", help="Start or show the rollout of a new version of a service.")


class RolloutStatus(NamedTuple):
    """The state and target version of a rollout."""

    state: str | None
    target: str | None


@rollout.command(name="begin")
def rollout_begin(
    service: str,
    target: str,
    *,
    ramp_s: float,
    at: ControlAddresses,
    key: str = "",
    within_s: TimeoutSeconds = 5.0,
) -> int:
    """Order a rollout.

    Args:
        service: The service.
        target: The version to roll out.
        ramp_s: Seconds that the rollout should take.
        key: Distinguishes this order from an earlier one with the same target. Without a key, a
            target that was ordered before is a repetition, which changes nothing.
    """
    order: dict[str, Any] = {"service": service, "target": target, "rampS": ramp_s}
    if key:
        order["key"] = key
    response = ControlClient(at, within_s).call(
        "POST", "/Rollouts.Begin", json.dumps(order).encode()
    )
    if _is_under_way(response):
        print_line(f"under way: {service}, as {response.address} says; see rollout read")
        return ExitStatus.SUCCESS
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    print_line(f"taken by {response.address}: {service} to {target}")
    return ExitStatus.SUCCESS


@rollout.command(name="read")
def rollout_read(service: str, *, at: ControlAddresses, within_s: TimeoutSeconds = 5.0) -> int:
    """Print the state of a rollout."""
    status = _read_status(ControlClient(at, within_s), service)
    if isinstance(status, ExitStatus):
        return status
    print_line(f"{service} {status.state} {status.target}")
    return ExitStatus.SUCCESS


@rollout.command(name="watch")
def rollout_watch(service: str, *, at: ControlAddresses, within_s: TimeoutSeconds = 20.0) -> int:
    """Print each change of a rollout until it ends; exit with 1 if it was reverted."""
    client = ControlClient(at, within_s)
    begun_at = time.monotonic()
    last_printed: RolloutStatus | None = None
    while True:
        status = _read_status(client, service)
        if isinstance(status, ExitStatus):
            return status
        if status != last_printed:
            last_printed = status
            elapsed_s = time.monotonic() - begun_at
            print_line(f"{elapsed_s:.1f} s {service} {status.state} {status.target}")
        if status.state != "running":
            return ExitStatus.REFUSED if status.state == "reverted" else ExitStatus.SUCCESS
        time.sleep(POLL_INTERVAL_S)


def read_rollout(client: ControlClient, service: str) -> ControlResponse | NoResponse:
    """Read the rollout of a service from the controllers."""
    return client.call("GET", f"/Rollouts.Read/{quote(service, safe='')}")


def _read_status(client: ControlClient, service: str) -> RolloutStatus | ExitStatus:
    response = read_rollout(client, service)
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    record = json_object(response.body) or {}
    return RolloutStatus(record.get("state"), record.get("target"))


def _is_under_way(response: ControlResponse | NoResponse) -> TypeGuard[ControlResponse]:
    """Whether a conflict may be due to an earlier attempt that was executed without a response."""
    return (
        isinstance(response, ControlResponse)
        and response.status == HTTPStatus.CONFLICT
        and response.attempts > 1
    )
