"""`proxy` and `controller` start a process of the gateway; `vane`, `barograph` are deprecated."""

from umbermoor.gateway.cli.application import app


def _run(program: str) -> int:
    from umbermoor.gateway.__main__ import run  # only here: it imports the command line

    return run(program)


@app.command(name="proxy")
def proxy() -> int:
    """Carries requests. Reads the settings file that UMBERMOOR_SETTINGS names."""
    return _run("proxy")


@app.command(name="controller")
def controller() -> int:
    """Keeps what must last. Reads the settings file that UMBERMOOR_SETTINGS names."""
    return _run("controller")


@app.command(name="vane")
def vane() -> int:
    """Deprecated: the earlier name of `proxy`."""
    return _run("vane")


@app.command(name="barograph")
def barograph() -> int:
    """Deprecated: the earlier name of `controller`."""
    return _run("barograph")
