"""Operators of a soak: one sends configurations, one reads them back; both record what they saw."""

import asyncio
import json
import time

from benchmarks.soak.records import Records
from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse

SEND_INTERVAL_S = 0.4
READ_INTERVAL_S = 0.15
CALL_TIMEOUT_S = 4.0
PREFIXES = {"/quick/": True, "/slow/": True, "/orders/": False}  # and whether idempotent
SERVICES = {"/quick/": "quick", "/slow/": "slow", "/orders/": "orders"}


def configuration(revision: int) -> bytes:
    """The configuration of the three routes, under a revision."""
    routes = {
        service: {
            "host": "soak.example",
            "prefix": prefix,
            "kind": "safe" if PREFIXES[prefix] else "unsafe",
            "horizonS": 2,
            "setpointS": 1,
            "priority": 1,
            "service": service,
            "tries": 2,
        }
        for prefix, service in SERVICES.items()
    }
    services = {
        service: {"probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}
        for service in SERVICES.values()
    }
    envelope = {"headerBytes": 16384, "bodyBytes": 1 << 20, "headerS": 3, "idleS": 15}
    body = {"routes": routes, "services": services, "envelope": envelope}
    return json.dumps({"revision": f"{revision:08x}", **body}).encode()


class Operators:
    """Sends and reads configurations; `sent` is the newest revision that was sent."""

    def __init__(self, send_to: list[str], read_at: list[str], records: Records) -> None:
        """`send_to`, `read_at`: controllers, as ip:port; answers of the first may be lost."""
        self.sent = 0
        self._send_to, self._read_at, self._records = send_to, read_at, records

    async def send(self) -> bool:
        """Sends one more configuration until it is acknowledged, or for some time."""
        self.sent += 1
        revision = self.sent
        client = ControlClient(self._send_to, CALL_TIMEOUT_S)
        response = await asyncio.to_thread(
            client.call, "POST", "/Config.Replace", configuration(revision)
        )
        if not isinstance(response, ControlResponse):
            return False
        if not response.succeeded:
            text = f"revision {revision} refused: {response.status} {response.body!r}"
            self._records.broken.append(text)
            return False
        self._records.acknowledged.append((time.monotonic(), revision))
        return True

    async def read(self) -> None:
        """Reads the configuration at each controller in turn."""
        for address in self._read_at:
            sent_at = time.monotonic()
            response = await asyncio.to_thread(
                ControlClient(()).call_once, address, "GET", "/Config.Read"
            )
            if isinstance(response, ControlResponse) and response.succeeded:
                revision = int(json.loads(response.body)["revision"], 16)
                self._records.reads.append((sent_at, revision))

    async def keep_sending(self) -> None:
        """Sends, until cancelled."""
        while True:
            await self.send()
            await asyncio.sleep(SEND_INTERVAL_S)

    async def keep_reading(self) -> None:
        """Reads, until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(READ_INTERVAL_S)
