"""Admin calls of a front and their responses, without I/O.

`server.admin_endpoint` receives the requests on a socket and sends the responses.

GET  /status   state, deadline, queries in flight, machines, stage
GET  /hands    each query in flight: profile, age, machine, time left
GET  /metrics  counters and gauges in the Prometheus text format
GET  /config   the configuration that the front runs with
GET  /members  what each membership source reported, and the resulting machine list
POST /drain    {"deadline_s": 30}; the body is optional
POST /resume
"""

import hmac
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

from umbermoor.http1.reader import Request

MIN_TOKEN_LENGTH = 16  # characters
MAX_DEADLINE_S = 3600.0


class AdminResponse(NamedTuple):
    """HTTP response of an admin call."""

    status: int
    body: bytes
    content_type: str = "application/json"


class AdminCalls:
    """Dispatcher of the admin calls.

    Args:
        front: function for each call, by the call's path without the leading slash.
        token: bearer token that each request must carry; empty if none is required.
    """

    def __init__(self, front: Mapping[str, Callable[..., Any]], token: str = "") -> None:
        self._front, self._token = front, token

    def answer(self, request: Request) -> AdminResponse:
        """Run the call that `request` names and return its response."""
        if self._token and not self._allowed(request.headers.get("authorization", "")):
            return _json_response(401, {"error": "a token is needed: Authorization: Bearer TOKEN"})
        path = request.target.partition("?")[0]
        methods = {
            "/status": "GET",
            "/members": "GET",
            "/hands": "GET",
            "/metrics": "GET",
            "/config": "GET",
            "/drain": "POST",
            "/resume": "POST",
        }
        if path not in methods:
            return _json_response(
                404, {"error": f"no such way; there are {', '.join(sorted(methods))}"}
            )
        if request.method != methods[path]:
            return _json_response(405, {"error": f"{path} is asked with {methods[path]}"})
        if path == "/metrics":
            return AdminResponse(200, self._front["metrics"](), "text/plain; version=0.0.4")
        if path == "/drain":
            deadline = self._deadline(request.body)
            if isinstance(deadline, AdminResponse):
                return deadline
            return _json_response(200, {"answer": self._front["drain"](deadline)})
        if path == "/resume":
            return _json_response(200, {"answer": self._front["resume"]()})
        return _json_response(200, self._front[path[1:]]())

    def _allowed(self, given: str) -> bool:
        """Compare in constant time, so that the duration tells nothing about the token."""
        return hmac.compare_digest(
            given.encode("utf-8", "replace"), f"Bearer {self._token}".encode()
        )

    def _deadline(self, body: bytes) -> int | None | AdminResponse:
        """Return the drain deadline in microseconds, None if none is given, or an error."""
        if not body:
            return None
        try:
            given = orjson.loads(body)
            deadline = given.get("deadline_s") if isinstance(given, dict) else given
        except orjson.JSONDecodeError as error:
            return _json_response(400, {"error": f"no JSON: {error}"})
        if deadline is None and isinstance(given, dict):
            return None
        if (
            isinstance(deadline, bool)
            or not isinstance(deadline, int | float)
            or not 0 <= deadline <= MAX_DEADLINE_S
        ):
            return _json_response(
                400, {"error": f"deadline_s: expected seconds from 0 to {MAX_DEADLINE_S:g}"}
            )
        return round(deadline * 1e6)


def _json_response(status: int, given: Any) -> AdminResponse:
    return AdminResponse(status, orjson.dumps(given) + b"\n")


def metrics_text(rows: list[tuple[str, str, str, dict[str, str], float]]) -> bytes:
    """Return rows of (name, kind, help, labels, value) in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    families: dict[str, Any] = {}
    for name, kind, text, labels, value in rows:
        made = CounterMetricFamily if kind == "counter" else GaugeMetricFamily
        family = families.setdefault(name, made(f"umbermoor_{name}", text, labels=list(labels)))
        family.add_metric(list(labels.values()), value)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Rows(list(families.values())))
    return generate_latest(registry)


class _Rows:
    """Collector that returns fixed metric families to the Prometheus client library."""

    def __init__(self, families: list[Any]) -> None:
        self._families = families

    def collect(self) -> list[Any]:
        return self._families
