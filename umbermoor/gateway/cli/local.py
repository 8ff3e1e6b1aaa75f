"""`local` runs a whole gateway on the loopback interface."""

from umbermoor.gateway.cli.application import app


@app.command(name="local")
def local(*, stay: bool = False, kill_head: bool = False) -> int:
    """A whole gateway on loopback with stand-in machines, and one request through it. Linux only.

    Args:
        stay: Keeps it up until Ctrl-C and prints its addresses.
        kill_head: Kills the head of the chain in between, and reads the configuration again.
    """
    from umbermoor.gateway.local.walkthrough import main as walkthrough  # slow to import

    return walkthrough(stay, kill_head)
