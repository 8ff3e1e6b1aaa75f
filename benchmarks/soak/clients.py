"""Clients of a soak with different behaviours.

The platform sends a new connection to a proxy whose latest readiness checks succeeded. An open
connection stays with its proxy until the proxy closes it.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass

import httpcore

from benchmarks.soak.operators import HOST
from benchmarks.soak.records import Ending, Records, RequestRecord
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Reader, Response
from umbermoor.http1.writer import write_request

READY_INTERVAL_S = 0.4
READY_MISSES = 2  # consecutive failed readiness checks that take a proxy out of rotation
PAUSE_S = 0.06
DEADLINE_S = 2.5  # deadline that a client gives a request
READ_BYTES = 1 << 16
DISCONNECT_DELAY_S = 0.05, 0.6  # range of the delay before a client disconnects early


@dataclass(frozen=True)
class Behaviour:
    """Behaviour of a client.

    Attributes:
        depth: Maximum number of requests pipelined on a connection.
        ignores_close: Whether it keeps using a connection until it is closed, ignoring
            `Connection: close` in responses.
        disconnects_early: Whether it disconnects before the responses arrive, after a delay drawn
            from DISCONNECT_DELAY_S.
    """

    depth: int = 1
    ignores_close: bool = False
    disconnects_early: bool = False


BEHAVIOURS = (
    Behaviour(),
    Behaviour(depth=4),
    Behaviour(ignores_close=True),
    Behaviour(depth=4, ignores_close=True),
    Behaviour(disconnects_early=True),
    Behaviour(depth=3, disconnects_early=True),
)


class Platform:
    """Load balancer that tracks which proxies may receive new connections."""

    def __init__(self, ready_addresses: dict[str, str]) -> None:
        """Create the platform; `ready_addresses` maps a proxy's name to ip:port."""
        self._addresses = ready_addresses
        self._misses = dict.fromkeys(ready_addresses, READY_MISSES)

    def ready(self) -> list[str]:
        """Return the names of the proxies in rotation, or of all proxies if none is."""
        names = [name for name, misses in self._misses.items() if misses < READY_MISSES]
        return names or list(self._misses)

    async def watch(self) -> None:
        """Check the readiness of all proxies periodically until cancelled."""
        while True:
            await asyncio.gather(*(self._check(name) for name in self._addresses))
            await asyncio.sleep(READY_INTERVAL_S)

    async def _check(self, name: str) -> None:
        ready = await asyncio.to_thread(_is_ready, self._addresses[name])
        self._misses[name] = 0 if ready else self._misses[name] + 1


def request_headers(record: RequestRecord) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {"X-Attempt-Id": record.id, "X-Time-Remaining": f"{DEADLINE_S * 1000:.0f}"}


def _is_ready(address: str) -> bool:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), READY_INTERVAL_S)
    try:
        url = f"http://{address}/ready"
        return httpcore.request("GET", url, extensions={"timeout": timeouts}).status == 200
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return False


class Client:
    """One client with the given behaviour."""

    def __init__(
        self,
        platform: Platform,
        addresses: dict[str, str],
        rng: random.Random,
        records: Records,
        prefixes: dict[str, bool],
        behaviour: Behaviour,
    ) -> None:
        """Create the client; `prefixes` maps a route's path to whether it is idempotent."""
        self._platform, self._addresses, self._rng = platform, addresses, rng
        self._records, self._behaviour = records, behaviour
        unpipelined = behaviour.depth == 1
        self._prefixes = [
            path for path, idempotent in prefixes.items() if idempotent or unpipelined
        ]
        self._idempotent = prefixes

    async def run(self) -> None:
        """Send requests on one connection after another until cancelled."""
        while True:
            proxy = self._rng.choice(self._platform.ready())
            host, _, port = self._addresses[proxy].rpartition(":")
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            connection = _Connection(reader, writer, self._behaviour.ignores_close)
            try:
                if self._behaviour.disconnects_early:
                    await self._use_and_disconnect(connection, proxy)
                else:
                    await self._use(connection, proxy)
            finally:
                connection.close()

    async def _use(self, connection: "_Connection", proxy: str) -> None:
        reading = asyncio.create_task(connection.read_responses())
        try:
            while not reading.done():
                if len(connection.waiting) < self._behaviour.depth:
                    self._send(connection, proxy)
                await asyncio.wait((reading,), timeout=PAUSE_S * self._rng.uniform(0.3, 1.7))
        finally:
            reading.cancel()

    async def _use_and_disconnect(self, connection: "_Connection", proxy: str) -> None:
        """Send requests, then disconnect after a delay by closing or resetting."""
        for _ in range(self._behaviour.depth):
            self._send(connection, proxy)
        reading = asyncio.create_task(connection.read_responses())
        try:
            await asyncio.wait((reading,), timeout=self._rng.uniform(*DISCONNECT_DELAY_S))
            connection.disconnect(reset=self._rng.random() < 0.3)
            await asyncio.sleep(PAUSE_S)
        finally:
            reading.cancel()

    def _send(self, connection: "_Connection", proxy: str) -> None:
        id, prefix = f"{self._rng.getrandbits(64):016x}", self._rng.choice(self._prefixes)
        record = RequestRecord(
            id, self._idempotent[prefix], proxy, time.monotonic(), len(connection.waiting)
        )
        self._records.requests.append(record)
        connection.send(record, self._request(record, f"{prefix}{id}"))

    def _request(self, record: RequestRecord, target: str) -> bytes:
        """Return the bytes of a request."""
        method = "GET" if record.idempotent else "POST"
        return write_request(method, target, HOST, request_headers(record))


class _Connection:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ignores_close: bool
    ) -> None:
        self._reader, self._writer, self._ignores_close = reader, writer, ignores_close
        self._parser = Reader(Buffers(8 << 20), responses=True)
        self.waiting: list[RequestRecord] = []  # oldest first

    def send(self, record: RequestRecord, data: bytes) -> None:
        self.waiting.append(record)
        self._writer.write(data)

    async def read_responses(self) -> None:
        """Read responses until the proxy closes, a response is late or one cannot be parsed."""
        try:
            while True:
                async with asyncio.timeout(DEADLINE_S + 1):
                    data = await self._reader.read(READ_BYTES)
                if not data:
                    return
                for message in self._parser.feed(data):
                    if not self.waiting or not isinstance(message, Response):
                        self._finish(Ending.GARBLED)
                        return
                    record = self.waiting.pop(0)
                    record.status, record.body = message.status, message.body
                    record.ending, record.ended_at = Ending.ANSWERED, time.monotonic()
                    if not (message.keep_alive or self._ignores_close):
                        return
        except TimeoutError:
            self._finish(Ending.TIMED_OUT)
        except OSError:
            return

    def disconnect(self, reset: bool) -> None:
        """Disconnect while responses are still outstanding."""
        self._finish(Ending.DISCONNECTED)
        if reset:
            self._writer.transport.abort()
        else:
            self._writer.close()

    def _finish(self, ending: Ending) -> None:
        for record in self.waiting:
            record.ending, record.ended_at = ending, time.monotonic()
        self.waiting = []

    def close(self) -> None:
        self._finish(Ending.CLOSED)
        self._writer.transport.abort()


def is_own_response(record: RequestRecord) -> bool:
    """Whether the body of a successful response belongs to the recorded request."""
    try:
        return json.loads(record.body)["path"].endswith(record.id)
    except (ValueError, KeyError, TypeError):
        return False
