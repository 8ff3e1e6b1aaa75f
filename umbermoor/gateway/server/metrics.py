"""A process's own figures as text, in the exposition format of Prometheus (version 0.0.4).

They are read at `PORT` of the machine's address, path `/metrics`; `deploy/system.toml` names both.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from umbermoor.gateway.server.events import event
from umbermoor.gateway.server.http_endpoint import Endpoint, Page

PORT = 9464
PATH = "/metrics"
PREFIX = "umbermoor_"


class Metric(NamedTuple):
    """One figure.

    Attributes:
        name: Without the prefix that all have.
        value: The figure.
        label: Its label's name and value, where there are several figures of one name.
    """

    name: str
    value: float
    label: tuple[str, str] | None = None


def labelled(name: str, label: str, counts: Mapping[str, float]) -> list[Metric]:
    """A figure of one name for each value of a label."""
    return [Metric(name, count, (label, value)) for value, count in counts.items()]


def exposition(metrics: Iterable[Metric]) -> bytes:
    """The figures as text, a line each."""
    lines = []
    for metric in metrics:
        label = f'{{{metric.label[0]}="{metric.label[1]}"}}' if metric.label else ""
        lines.append(f"{PREFIX}{metric.name}{label} {metric.value:g}\n")
    return "".join(lines).encode()


async def serve_metrics(ip: str, collect: Callable[[], Iterable[Metric]]) -> None:
    """Serves the figures; where the port is taken, that is logged and the process goes without."""
    endpoint = Endpoint({PATH: lambda: Page(200, exposition(collect()))})
    try:
        await endpoint.listen(ip, PORT)
    except OSError as error:
        event("metrics_unavailable", port=PORT, reason=error)
