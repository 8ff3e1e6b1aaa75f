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

    from umbermoor.gateway.config.errors import Fault
    from umbermoor.gateway.config.node_settings import read_papers
    from umbermoor.gateway.effects import UnsupportedFormatError
    from umbermoor.gateway.server import events

    path = os.environ.get("UMBERMOOR_SETTINGS", "/etc/umbermoor/settings.toml")
    papers = read_papers(path)
    if isinstance(papers, Fault):
        print(papers, file=sys.stderr)
        return 2
    needed = ("front", "ready") if program == "vane" else ("control",)
    if missing := [name for name in needed if name not in papers.listen]:
        print(f"settings: listen.{missing[0]}: missing, {program} serves it", file=sys.stderr)
        return 2
    events.start(program, papers.name)
    if program == "vane":
        from umbermoor.gateway.server.proxy import serve
    else:
        from umbermoor.gateway.server.controller import serve
    try:
        asyncio.run(serve(papers, path))
    except UnsupportedFormatError as error:
        print(f"settings: dataDir: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
