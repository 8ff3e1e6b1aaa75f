"""Entry point of the command line: parses the arguments and runs one command."""

from cyclopts import CycloptsError

from umbermoor.gateway.cli import local, programs, status  # noqa: F401 -- they add commands to app
from umbermoor.gateway.cli.application import app
from umbermoor.gateway.cli.checks import check
from umbermoor.gateway.cli.configuration import configuration
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.members import member
from umbermoor.gateway.cli.output import print_error
from umbermoor.gateway.cli.rollout import rollout
from umbermoor.gateway.cli.state import state

for group in (check, configuration, rollout, member, state):
    app.command(group)


def main(tokens: list[str] | None = None) -> int:
    """Run one command.

    Args:
        tokens: the arguments; None for those of the process.

    Returns:
        The command's exit status.
    """
    try:
        command, bound, *_ = app.parse_args(tokens, exit_on_error=False, print_error=False)
        return int(command(*bound.args, **bound.kwargs) or 0)
    except CycloptsError as error:
        return print_error(" ".join(str(error).split()), ExitStatus.BAD_INPUT)
    except KeyboardInterrupt:
        return print_error("interrupted", ExitStatus.REFUSED)
