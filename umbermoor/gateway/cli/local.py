"""`local` runs a whole gateway on the loopback interface."""

from umbermoor.gateway.cli.application import app


@app.command(name="local")
def local(*, stay: bool = False, kill_head: bool = False) -> int:
    """Run a whole gateway on loopback with test instances, and send a request through it.

    Linux only.

    Args:
        stay: Print its addresses and keep it running until Ctrl-C.
        kill_head: Kill the head of the chain after the request, then read the configuration again.
    """
    from umbermoor.gateway.local.walkthrough import main as walkthrough  # slow to import

    return walkthrough(stay, kill_head)
