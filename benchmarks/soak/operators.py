"""Operators of a soak: one sends configurations, one reads them back; both record the responses.

Each revision adds a route of its own, so that a 404 from a proxy shows that the revision is not in
force there. Some valid configurations are preceded by an invalid one with the same revision.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from benchmarks.soak.records import Records
from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse

SEND_INTERVAL_S = 0.4
READ_INTERVAL_S = 0.15
CALL_TIMEOUT_S = 4.0
INVALID_EVERY = 4  # send an invalid configuration before every fourth revision
REVISIONS_PER_ENVELOPE = 10  # some 4 s, which is longer than a proxy may take to follow
WIDE_ENVELOPE = {"headerBytes": 16_384, "bodyBytes": 48_000}
NARROW_ENVELOPE = {"headerBytes": 4_096, "bodyBytes": 8_192}
KEPT_ROUTES = 40  # newest revisions whose routes a configuration still contains
HOST = "soak.example"
ROLLOUT_PREFIX, ROLLOUT_SERVICE = "/rolled/", "rolled"
SETPOINT_S, ROLLOUT_SETPOINT_S = 1.0, 0.05
PREFIXES = {"/quick/": True, "/slow/": True, "/long/": True, "/orders/": False}  # idempotent?
SERVICES = {"/quick/": "quick", "/slow/": "slow", "/long/": "long", "/orders/": "orders"}
# Paths whose requests take longer than the clients that disconnect early wait.
LONG_PREFIXES = {prefix: PREFIXES[prefix] for prefix in ("/slow/", "/long/", "/orders/")}

Table = dict[str, Any]


def added_prefix(revision: int) -> str:
    """Return the prefix of the route that a revision added."""
    return f"/revision-{revision}/"


def _route(prefix: str, service: str, idempotent: bool) -> Table:
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": "safe" if idempotent else "unsafe",
        "horizonS": 4 if service == "long" else 2,
        "setpointS": ROLLOUT_SETPOINT_S if service == ROLLOUT_SERVICE else SETPOINT_S,
        "priority": 1,
        "service": service,
        "tries": 2,
    }


def configuration(revision: int) -> Table:
    """Return the configuration of a revision: fixed routes and those of the newest revisions."""
    routes = {
        service: _route(prefix, service, PREFIXES[prefix]) for prefix, service in SERVICES.items()
    }
    routes[ROLLOUT_SERVICE] = _route(ROLLOUT_PREFIX, ROLLOUT_SERVICE, idempotent=True)
    for added in range(max(1, revision - KEPT_ROUTES), revision + 1):
        routes[f"revision-{added}"] = _route(added_prefix(added), "quick", idempotent=True)
    services = {
        service: {"probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}
        for service in (*SERVICES.values(), ROLLOUT_SERVICE)
    }
    head = {"revision": f"{revision:08x}"}
    return {**head, "routes": routes, "services": services, "envelope": envelope(revision)}


def has_wide_envelope(revision: int) -> bool:
    """Whether a revision allows the larger sizes; this changes every few revisions."""
    return revision // REVISIONS_PER_ENVELOPE % 2 == 0


def envelope(revision: int) -> Table:
    """Return the client limits of a revision."""
    limits = WIDE_ENVELOPE if has_wide_envelope(revision) else NARROW_ENVELOPE
    return {**limits, "headerS": 3, "idleS": 15}


def _with_route(body: Table, **changed: Any) -> bytes:
    body["routes"]["slow"].update(changed)
    return json.dumps(body).encode()


INVALID: tuple[Callable[[Table], bytes], ...] = (
    lambda body: json.dumps(body).encode()[:-20],
    lambda body: _with_route(body, service="nobody"),
    lambda body: _with_route(body, tries=0),
    lambda body: _with_route(body, kind="sideways"),
    lambda body: _with_route(body, setpointS=body["routes"]["slow"]["horizonS"] + 60),
    lambda body: _with_route(body, mix=[{"service": "slow", "gain": -1}]),
    lambda body: _with_route(body, prefix="/quick/"),
)


class Operators:
    """Sends and reads configurations; `sent` is the newest revision sent."""

    def __init__(self, send_to: list[str], read_at: list[str], records: Records) -> None:
        """Create the operators; both lists hold controllers as ip:port.

        Responses from `send_to` may be lost.
        """
        self.sent = 0
        self._send_to, self._read_at, self._records = send_to, read_at, records

    def use_controllers(self, send_to: list[str], read_at: list[str]) -> None:
        """Use these controllers from now on."""
        self._send_to, self._read_at = send_to, read_at

    async def send(self) -> bool:
        """Send the next configuration; return whether it was acknowledged before the timeout."""
        self.sent += 1
        revision = self.sent
        if revision % INVALID_EVERY == 0:
            await self._send_invalid(revision)
        self._records.sent.append((time.monotonic(), revision))
        response = await self._call(json.dumps(configuration(revision)).encode())
        if not isinstance(response, ControlResponse):
            return False
        if not response.succeeded:
            text = f"revision {revision} was rejected: {response.status} {response.body!r}"
            self._records.broken.append(text)
            return False
        self._records.acknowledged.append((time.monotonic(), revision))
        return True

    async def _send_invalid(self, revision: int) -> None:
        make = INVALID[revision // INVALID_EVERY % len(INVALID)]
        data = make(configuration(revision))
        response = await self._call(data)
        if isinstance(response, ControlResponse) and response.succeeded:
            self._records.broken.append(
                f"invalid configuration of revision {revision} was accepted: {data[:80]!r}"
            )

    async def _call(self, data: bytes) -> Any:
        client = ControlClient(self._send_to, CALL_TIMEOUT_S)
        return await asyncio.to_thread(client.call, "POST", "/Config.Replace", data)

    async def read(self) -> None:
        """Read the configuration from each controller in turn."""
        for address in list(self._read_at):
            sent_at = time.monotonic()
            response = await asyncio.to_thread(
                ControlClient(()).call_once, address, "GET", "/Config.Read"
            )
            if isinstance(response, ControlResponse) and response.succeeded:
                body = json.loads(response.body)
                revision = int(body["revision"], 16)
                self._records.reads.append((sent_at, revision))
                if body != configuration(revision):
                    self._records.broken.append(
                        f"the configuration read for revision {revision} differs from the one sent"
                    )

    async def keep_sending(self) -> None:
        """Send configurations periodically until cancelled."""
        while True:
            await self.send()
            await asyncio.sleep(SEND_INTERVAL_S)

    async def keep_reading(self) -> None:
        """Read configurations periodically until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(READ_INTERVAL_S)
