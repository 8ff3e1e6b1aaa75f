"""Metrics of a process, in the Prometheus text exposition format (version 0.0.4).

They are served on `PORT` of the machine's address at `PATH`; `deploy/system.toml` names both.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from umbermoor.gateway.server.events import event
from umbermoor.gateway.server.http_endpoint import Endpoint, Page

PORT = 9464
PATH = "/metrics"
PREFIX = "umbermoor_"


class Metric(NamedTuple):
    """One sample of a metric.

    Attributes:
        name: Metric name without the common prefix.
        value: The sample value.
        label: Label name and value, for a metric with several samples.
    """

    name: str
    value: float
    label: tuple[str, str] | None = None


def labelled(name: str, label: str, counts: Mapping[str, float]) -> list[Metric]:
    """Return one sample per label value of a metric."""
    return [Metric(name, count, (label, value)) for value, count in counts.items()]


def exposition(metrics: Iterable[Metric]) -> bytes:
    """Return the metrics in the text format, one line per sample."""
    lines = []
    for metric in metrics:
        label = f'{{{metric.label[0]}="{metric.label[1]}"}}' if metric.label else ""
        lines.append(f"{PREFIX}{metric.name}{label} {metric.value:g}\n")
    return "".join(lines).encode()


async def serve_metrics(ip: str, collect: Callable[[], Iterable[Metric]]) -> None:
    """Serve the metrics; if the port is in use, log that and continue without."""
    endpoint = Endpoint({PATH: lambda: Page(200, exposition(collect()))})
    try:
        await endpoint.listen(ip, PORT)
    except OSError as error:
        event("metrics_unavailable", port=PORT, reason=error)
