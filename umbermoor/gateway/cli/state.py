"""`state` verifies, exports and imports the state that the controllers store."""

import json
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeGuard

from cyclopts import App, Parameter

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.options import ControlAddresses, DryRun, TimeoutSeconds
from umbermoor.gateway.cli.output import (
    json_object,
    print_error,
    print_line,
    read_file,
    report_failure,
    revision_of,
)
from umbermoor.gateway.cli.rollout import read_rollout
from umbermoor.gateway.config.configuration import Configuration, parse
from umbermoor.gateway.config.errors import ValidationError

EXPORT_FORMAT = 1

state = App(
    name="state",
    help="Verify, export or import the state that the controllers store.",
)


class Export(NamedTuple):
    """The content of a file written by `state export`."""

    configuration_text: bytes
    configuration: Configuration
    rollouts: dict[str, dict[str, Any]]  # by service


@state.command(name="verify")
def state_verify(folder: Path) -> int:
    """Check a controller's dataDir as at its start, without changing anything.

    Best run while the controller is stopped.

    Args:
        folder: Path of the dataDir.
    """
    from umbermoor.gateway.replication.store import STORE_ERRORS, verify  # loads the database

    try:
        records, size = verify(str(folder))
    except STORE_ERRORS as error:
        return print_error(f"{folder}: {error}", ExitStatus.REFUSED)
    except OSError as error:
        return print_error(f"{folder}: {error.strerror or error}", ExitStatus.BAD_INPUT)
    print_line(f"{folder}: sound, {records} records of {size} bytes")
    return ExitStatus.SUCCESS


@state.command(name="export")
def state_export(to: Path, *, at: ControlAddresses, within_s: TimeoutSeconds = 8.0) -> int:
    """Write the newest configuration, byte for byte, and the state of rollouts to a file.

    Args:
        to: File to write.
    """
    client = ControlClient(at, within_s)
    response = client.call("GET", "/Config.Read")
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    services = (json_object(response.body) or {}).get("services", {})
    rollouts = _read_rollouts(client, services)
    if isinstance(rollouts, ExitStatus):
        return rollouts
    export = {
        "format": EXPORT_FORMAT,
        "configuration": response.body.decode(),
        "rollouts": rollouts,
    }
    try:
        to.write_text(json.dumps(export, indent=1) + "\n")
    except OSError as error:
        return print_error(f"{to}: {error.strerror}", ExitStatus.BAD_INPUT)
    print_line(f"{to}: revision {revision_of(response.body)}, {len(rollouts)} roll-outs")
    return ExitStatus.SUCCESS


@state.command(name="import")
def state_import(
    file: Path,
    *,
    at: ControlAddresses,
    dry_run: Annotated[
        DryRun,
        Parameter(negative="--no-dry-run", help="Only print what would change."),
    ] = False,
    within_s: TimeoutSeconds = 20.0,
) -> int:
    """Print what an exported configuration changes, then put it in force.

    Exported rollouts are only printed; they must be ordered by hand.

    Args:
        file: File written by `state export`.
    """
    export = _read_export(file)
    if isinstance(export, ExitStatus):
        return export
    client = ControlClient(at, within_s)
    current = client.call("GET", "/Config.Read")
    if not _is_found_or_absent(current):
        return report_failure(current)
    in_force = (json_object(current.body) or {}) if current.succeeded else {}
    _print_changes(in_force, export.configuration.body)
    revision = export.configuration.body["revision"]
    is_older = in_force and int(in_force["revision"], 16) >= export.configuration.revision
    if is_older and current.body != export.configuration_text:
        line = f"in force is {in_force['revision']}, not below {revision}"
        return print_error(line, ExitStatus.REFUSED)
    _print_rollouts(export.rollouts)
    if dry_run:
        print_line(f"revision {revision} would be put; nothing was")
        return ExitStatus.SUCCESS
    response = client.call("POST", "/Config.Replace", export.configuration_text)
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    print_line(f"taken by {response.address}: revision {revision}")
    return ExitStatus.SUCCESS


def _read_rollouts(
    client: ControlClient, services: dict[str, Any]
) -> dict[str, dict[str, Any] | None] | ExitStatus:
    """Return the rollouts of the services that have one, or the exit status of a failure."""
    rollouts = {}
    for service in services:
        response = read_rollout(client, service)
        if not _is_found_or_absent(response):
            return report_failure(response)
        if response.succeeded:
            rollouts[service] = json_object(response.body)
    return rollouts


def _is_found_or_absent(response: ControlResponse | NoResponse) -> TypeGuard[ControlResponse]:
    """Whether a read succeeded or was answered with 404."""
    return isinstance(response, ControlResponse) and (
        response.succeeded or response.status == HTTPStatus.NOT_FOUND
    )


def _read_export(file: Path) -> Export | ExitStatus:
    content = read_file(file)
    if isinstance(content, ValidationError):
        return print_error(f"{file}: {content}", ExitStatus.BAD_INPUT)
    export = json_object(content)
    if export is None or export.get("format") != EXPORT_FORMAT:
        return print_error(f"{file}: no export of this format", ExitStatus.BAD_INPUT)
    text = str(export.get("configuration", "")).encode()
    configuration = parse(text)
    if isinstance(configuration, ValidationError):
        return print_error(f"{file}: configuration: {configuration}", ExitStatus.BAD_INPUT)
    return Export(text, configuration, export.get("rollouts", {}))


def _print_changes(in_force: dict[str, Any], imported: dict[str, Any]) -> None:
    for kind in ("services", "routes"):
        old, new = in_force.get(kind, {}), imported[kind]
        changed = sum(old[name] != new[name] for name in new.keys() & old.keys())
        print_line(
            f"{kind}: {len(new.keys() - old.keys())} added, "
            f"{len(old.keys() - new.keys())} removed, {changed} changed"
        )


def _print_rollouts(rollouts: dict[str, dict[str, Any]]) -> None:
    for service, record in rollouts.items():
        print_line(
            f"to be ordered by hand: {service} {record.get('target')}, "
            f"{record.get('state')} at the export"
        )
