"""Probes every proxy, ready or not, for the routes that configuration revisions added."""

import asyncio
import random
import time

import httpcore

from benchmarks.soak.operators import HOST, KEPT_ROUTES, added_prefix
from benchmarks.soak.records import Records, RouteProbe

INTERVAL_S = 0.25
TIMEOUT_S = 1.0
NOT_FOUND, UNAVAILABLE = 404, 503
# Revisions behind the newest that are probed. Their routes stay in the configuration even if
# further revisions arrive during a probe.
MAX_REVISIONS_BEHIND = KEPT_ROUTES // 2


class RouteProber:
    """Probes proxies for the newest acknowledged revision and for an earlier one."""

    def __init__(self, addresses: dict[str, str], records: Records, rng: random.Random) -> None:
        """Create the prober; `addresses` maps a proxy's name to ip:port."""
        self._addresses, self._records, self._rng = addresses, records, rng

    async def run(self) -> None:
        """Probe all proxies periodically until cancelled."""
        await asyncio.gather(*(self._keep_probing(name) for name in self._addresses))

    async def _keep_probing(self, name: str) -> None:
        while True:
            if self._records.acknowledged:
                await self._probe(name)
            await asyncio.sleep(INTERVAL_S)

    async def _probe(self, name: str) -> None:
        newest = self._records.acknowledged[-1][1]
        earlier = max(1, newest - self._rng.randint(0, MAX_REVISIONS_BEHIND))
        for revision in {newest, earlier}:
            life, sent_at = len(self._records.starts[name]), time.monotonic()
            status = await asyncio.to_thread(_status, self._addresses[name], revision)
            same_life = life == len(self._records.starts[name])
            # 503 says nothing about the route: the proxy has no configuration yet, is draining or
            # has no free instance.
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
