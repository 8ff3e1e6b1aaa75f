"""Asks every proxy, ready or not, for the routes that revisions of the configuration added."""

import asyncio
import random
import time

import httpcore

from benchmarks.soak.operators import HOST, KEPT_ROUTES, added_prefix
from benchmarks.soak.records import Records, RouteProbe

INTERVAL_S = 0.25
TIMEOUT_S = 1.0
NOT_FOUND, UNAVAILABLE = 404, 503
OLDEST = KEPT_ROUTES // 2  # revisions behind the newest one: still in it, whatever comes meanwhile


class RouteProber:
    """Asks a proxy for the newest revision that was acknowledged, and for an earlier one."""

    def __init__(self, addresses: dict[str, str], records: Records, rng: random.Random) -> None:
        """`addresses`: ip:port by the proxy's name."""
        self._addresses, self._records, self._rng = addresses, records, rng

    async def run(self) -> None:
        """Asks, until cancelled."""
        await asyncio.gather(*(self._keep_asking(name) for name in self._addresses))

    async def _keep_asking(self, name: str) -> None:
        while True:
            if self._records.acknowledged:
                await self._ask(name)
            await asyncio.sleep(INTERVAL_S)

    async def _ask(self, name: str) -> None:
        newest = self._records.acknowledged[-1][1]
        earlier = max(1, newest - self._rng.randint(0, OLDEST))
        for revision in {newest, earlier}:
            life, sent_at = len(self._records.starts[name]), time.monotonic()
            status = await asyncio.to_thread(_status, self._addresses[name], revision)
            same_life = life == len(self._records.starts[name])
            # 503: no configuration yet, it drains, or no instance is free.
            if same_life and status is not None and status != UNAVAILABLE:
                served = status != NOT_FOUND
                self._records.probes.append(RouteProbe(name, life, sent_at, revision, served))


def _status(address: str, revision: int) -> int | None:
    url = f"http://{address}{added_prefix(revision)}probe"
    headers: dict[bytes | str, bytes | str] = {
        "Host": HOST,
        "X-Attempt-Id": f"{random.getrandbits(64):016x}",
        "X-Time-Remaining": f"{TIMEOUT_S * 1000:.0f}",
    }
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        return httpcore.request(
            "GET", url, headers=headers, extensions={"timeout": timeouts}
        ).status
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return None
