"""umbermoor: a front that routes queries and votes on staged releases.

Usage:
  umbermoor serve [--config FILE] [--sheet FILE] [--log LEVEL]
  umbermoor check [--config FILE] [--sheet FILE]
  umbermoor version
  umbermoor lab [<words>...]
  umbermoor capture [<words>...]
  umbermoor plan [<words>...]
  umbermoor ctl [<words>...]
  umbermoor (-h | --help)

Commands:
  serve    serve queries until SIGTERM; SIGHUP reads the configuration again
  check    read the configuration, and say what it holds or which key is at fault
  version  print the version
  lab      play days in virtual time or on loopback, compare, report; see umbermoor lab --help
  capture  what a front was asked, as it wrote it down; see umbermoor capture --help
  ctl      ask a front that runs: status, drain, resume, watch; see umbermoor ctl --help
  plan     what breaks first, and how many machines hold the goal; see umbermoor plan --help

Options:
  --config FILE  the configuration, in place of the one that LB_CONFIG names
  --sheet FILE   our own settings beside it, in KDL: captures, the form of the log; see docs/settings.md
  --log LEVEL    DEBUG, INFO, WARNING or ERROR [default: INFO]
"""

import importlib
import os
import sys
from functools import partial

from docopt import docopt

from umbermoor import VERSION
from umbermoor.front.configuration import ConfigurationError, read_configuration
from umbermoor.logs import configure_logging

EXTRAS = {
    "lab": "umbermoor.lab.command",
    "capture": "umbermoor.front.capture.command",
    "plan": "umbermoor.planner.command",
    "ctl": "umbermoor.front.lifecycle.command",
}


def extra(words: list[str]) -> int:
    """Run a sub-command that parses its own arguments.

    It is imported here only, to keep its modules out of the memory of `serve`.
    """
    try:
        command = importlib.import_module(EXTRAS[words[0]])
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("umbermoor"):
            raise
        print(
            f"umbermoor: {words[0]}: {error.name} is not installed: pip install -e '.[all]'",
            file=sys.stderr,
        )
        return 2
    return command.main(words)


def main(words: list[str]) -> int:
    if words and words[0] in EXTRAS:
        return extra(words)
    given = docopt(__doc__, words)
    if given["version"]:
        print(f"umbermoor {VERSION}")
        return 0
    read = partial(read_configuration, os.environ, given["--config"])
    try:
        configuration = read()
        if given["--log"] not in ("DEBUG", "INFO", "WARNING", "ERROR"):
            raise ConfigurationError(f"--log: no such level: {given['--log']}")
        own_settings = _read_own_settings(given["--sheet"])
    except ConfigurationError as fault:
        print(f"umbermoor: {fault}", file=sys.stderr)
        return 2
    if given["check"]:
        print(
            f"{configuration.name}: listens at {':'.join(map(str, configuration.listen))}, "
            f"{len(configuration.profiles)} profiles, {configuration.charter.fronts} fronts, "
            f"{configuration.sockets} sockets"
        )
        return 0
    # imported here, as other commands need no reactor
    from umbermoor.front.server.service import serve

    configure_logging(given["--log"], own_settings.logs.form if own_settings else "pairs")
    return serve(configuration, read, own_settings)


def _read_own_settings(path: str | None):
    """Read the front's own settings, if a sheet is given.

    Their libraries are imported here only, to save the memory of a front without them.
    """
    if path is None:
        return None
    try:
        from umbermoor.front.own_settings import SheetError, read_own_settings
    except ModuleNotFoundError as error:
        raise ConfigurationError(
            f"--sheet: {error.name} is not installed: pip install -e '.[sheets]'"
        ) from None
    try:
        return read_own_settings(path)
    except SheetError as fault:
        raise ConfigurationError(str(fault)) from None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
