"""`check` validates files without a running gateway."""

from pathlib import Path

from cyclopts import App

from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.output import print_error, print_line, read_file
from umbermoor.gateway.config.configuration import parse
from umbermoor.gateway.config.errors import ValidationError
from umbermoor.gateway.config.node_settings import read_node_settings

check = App(name="check", help="Validate a file and print the first error found.")


@check.command(name="settings")
def check_settings(file: Path) -> int:
    """Validate a settings file."""
    settings = read_node_settings(str(file))
    if isinstance(settings, ValidationError):
        return print_error(str(settings), ExitStatus.BAD_INPUT)
    print_line(f"{file}: sound, {settings.name} in {settings.zone}")
    return ExitStatus.SUCCESS


@check.command(name="configuration")
def check_configuration(file: Path) -> int:
    """Validate a configuration file."""
    text = read_file(file)
    configuration = text if isinstance(text, ValidationError) else parse(text)
    if isinstance(configuration, ValidationError):
        return print_error(str(configuration), ExitStatus.BAD_INPUT)
    body = configuration.body
    print_line(f"{file}: sound, revision {body['revision']}, {len(body['routes'])} routes")
    return ExitStatus.SUCCESS
