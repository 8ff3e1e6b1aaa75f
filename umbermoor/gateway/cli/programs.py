"""`proxy` and `controller` start the gateway's programs; `vane`, `barograph` are deprecated."""

from umbermoor.gateway.cli.application import app


def _run(program: str) -> int:
    from umbermoor.gateway.__main__ import run  # local, because __main__ imports this package

    return run(program)


@app.command(name="proxy")
def proxy() -> int:
    """Run the data plane: a proxy, with the settings file that UMBERMOOR_SETTINGS names."""
    return _run("proxy")


@app.command(name="controller")
def controller() -> int:
    """Run the control plane: a controller, with the settings file that UMBERMOOR_SETTINGS names."""
    return _run("controller")


@app.command(name="vane")
def vane() -> int:
    """Deprecated: the earlier name of `proxy`."""
    return _run("vane")


@app.command(name="barograph")
def barograph() -> int:
    """Deprecated: the earlier name of `controller`."""
    return _run("barograph")
