"""The gateway's programs: `vane` carries traffic, `barograph` holds what must last. Operators'
calls: `--help`."""

import sys

PROGRAMS = "vane", "barograph"


def main() -> int:
    """Starts a program, or hands over to the operators' command line."""
    if len(sys.argv) == 2 and sys.argv[1] in PROGRAMS:
        return run(sys.argv[1])
    from umbermoor.gateway.cli.command import main as command

    return command()


def run(program: str) -> int:
    """A daemon on the settings file that the environment names. What is wrong with it: one line,
    status 2."""
    import asyncio
    import os

    from umbermoor.gateway.config.errors import ValidationError
    from umbermoor.gateway.config.node_settings import read_node_settings
    from umbermoor.gateway.effects import UnsupportedFormatError
    from umbermoor.gateway.server import events

    path = os.environ.get("UMBERMOOR_SETTINGS", "/etc/umbermoor/settings.toml")
    settings = read_node_settings(path)
    if isinstance(settings, ValidationError):
        print(settings, file=sys.stderr)
        return 2
    needed = ("front", "ready") if program == "vane" else ("control",)
    if missing := [name for name in needed if name not in settings.listen]:
        print(f"settings: listen.{missing[0]}: missing, {program} serves it", file=sys.stderr)
        return 2
    events.start(program, settings.name)
    if program == "vane":
        from umbermoor.gateway.server.proxy import serve
    else:
        from umbermoor.gateway.server.controller import serve
    try:
        asyncio.run(serve(settings, path))
    except UnsupportedFormatError as error:
        print(f"settings: dataDir: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
