"""`configuration` reads and replaces the configuration in force."""

from pathlib import Path

from cyclopts import App

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.options import ControlAddresses, TimeoutSeconds
from umbermoor.gateway.cli.output import (
    print_error,
    print_line,
    read_file,
    report_failure,
    revision_of,
)
from umbermoor.gateway.config.configuration import parse
from umbermoor.gateway.config.errors import ValidationError

configuration = App(name="configuration", help="Read or replace the configuration in force.")


@configuration.command(name="read")
def configuration_read(
    *, at: ControlAddresses, to: Path | None = None, within_s: TimeoutSeconds = 8.0
) -> int:
    """Read the newest configuration.

    Args:
        to: File to write it to; without this it is printed.
    """
    response = ControlClient(at, within_s).call("GET", "/Config.Read")
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    if to is None:
        print_line(response.body.decode())
        return ExitStatus.SUCCESS
    try:
        to.write_bytes(response.body)
    except OSError as error:
        return print_error(f"{to}: {error.strerror}", ExitStatus.BAD_INPUT)
    print_line(f"{to}: revision {revision_of(response.body)}")
    return ExitStatus.SUCCESS


@configuration.command(name="replace")
def configuration_replace(
    file: Path, *, at: ControlAddresses, within_s: TimeoutSeconds = 20.0
) -> int:
    """Validate a configuration and put it in force.

    A configuration whose revision is not above that in force is accepted but changes nothing.
    """
    text = read_file(file)
    if isinstance(text, ValidationError):
        return print_error(str(text), ExitStatus.BAD_INPUT)
    checked = parse(text)
    if isinstance(checked, ValidationError):
        return print_error(str(checked), ExitStatus.BAD_INPUT)
    client = ControlClient(at, within_s)
    response = client.call("POST", "/Config.Replace", text)
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    revision = checked.body["revision"]
    accepted = f"taken by {response.address}: revision {revision}"
    in_force = _revision_in_force(client)
    if in_force is not None and in_force.lower() != revision.lower():
        accepted += f"; in force is {in_force}"
    print_line(accepted)
    return ExitStatus.SUCCESS


def _revision_in_force(client: ControlClient) -> str | None:
    response = client.call("GET", "/Config.Read")
    if not isinstance(response, ControlResponse) or not response.succeeded:
        return None
    revision = revision_of(response.body)
    return revision if isinstance(revision, str) else None
