"""Entry point of the gateway's programs and of its command line.

`proxy` is the data plane: it forwards requests. `controller` is the control plane: it stores the
configuration, the rollouts and the registry of instances. All other arguments belong to the command
line in `umbermoor.gateway.cli`; see `--help`.
"""

import signal
import sys

DEFAULT_SETTINGS_PATH = "/etc/umbermoor/settings.toml"
REQUIRED_LISTEN_ADDRESSES = {"proxy": ("front", "ready"), "controller": ("control",)}
DEPRECATED_PROGRAMS = {"vane": "proxy", "barograph": "controller"}  # supported for one more release
EXIT_BAD_INPUT = 2


def main() -> int:
    """Start the program named by the only argument, or run the operators' command line."""
    arguments = sys.argv[1:]
    if len(arguments) == 1 and (
        arguments[0] in REQUIRED_LISTEN_ADDRESSES or arguments[0] in DEPRECATED_PROGRAMS
    ):
        return run(arguments[0])
    from umbermoor.gateway.cli.main import main as command

    return command()


def run(name: str) -> int:
    """Run a program until it is asked to stop, and return its exit status.

    Its settings are read from the file that `UMBERMOOR_SETTINGS` names. An error in them is printed
    as one line on standard error, and the exit status is 2.
    """
    # The default action of SIGHUP would end a program that has not installed its handler yet. A
    # change of settings that it signals before that is read below anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    import asyncio
    import os

    from umbermoor.gateway.config.errors import ValidationError
    from umbermoor.gateway.config.node_settings import read_node_settings
    from umbermoor.gateway.effects import UnsupportedFormatError
    from umbermoor.gateway.server import events

    program = DEPRECATED_PROGRAMS.get(name, name)
    path = os.environ.get("UMBERMOOR_SETTINGS", DEFAULT_SETTINGS_PATH)
    settings = read_node_settings(path)
    if isinstance(settings, ValidationError):
        print(settings, file=sys.stderr)
        return EXIT_BAD_INPUT
    required = REQUIRED_LISTEN_ADDRESSES[program]
    if missing := [address for address in required if address not in settings.listen]:
        print(f"settings: listen.{missing[0]}: missing, {program} serves it", file=sys.stderr)
        return EXIT_BAD_INPUT
    events.start(program, settings.name)
    if name != program:
        events.event("deprecated", command=name, use=program)
    if program == "proxy":
        from umbermoor.gateway.server.proxy import serve
    else:
        from umbermoor.gateway.server.controller import serve
    try:
        asyncio.run(serve(settings, path))
    except UnsupportedFormatError as error:
        print(f"settings: dataDir: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
