"""A stand-in instance of a service that follows PROTOCOL.md. Not for production.

It listens on loopback, sends heartbeats, answers requests in a limited number of slots with a
bounded queue, and drains and leaves on request.
"""

import asyncio
import json
import random
import zlib
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

MAX_ACKNOWLEDGEMENT_BYTES = 4096
SHUTDOWN_CALL_TIMEOUT_S = 3.0  # for retries of the calls that report draining and leaving
SHUTDOWN_CALL_INTERVAL_S = 0.2
EXTRA_DRAIN_S = 0.5  # for which the instance serves beyond the drain time
DEFAULT_REQUEST_TIME_S = 30.0  # for a request without X-Time-Remaining
BUFFER_BYTES = 32 << 20
NOT_EXECUTED = (("X-Not-Executed", "1"),)


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of a stand-in instance."""

    service: str
    zone: str
    version: str = "v1"
    capacity: int = 6  # requests in progress at once
    queue: int = 4  # requests waiting for a slot
    max_connections: int = 130  # from all callers together
    probe: str = "/health"
    work_s: float = 0.02
    warm_up_s: float = 0.0  # period after the start in which work takes twice as long
    keep_alive_s: int = 8
    heartbeat_interval_s: float = 1.5
    drain_s: float = 2.5
    failure_share: float = 0.0  # share of requests that are answered with 500


class InstanceResponse(NamedTuple):
    """A response without the headers that are common to all responses."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class LocalInstance:
    """One incarnation of an instance: `start`, then `drain` or `crash`."""

    def __init__(
        self, id: str, settings: InstanceSettings, host: str, control_addresses: Sequence[str]
    ) -> None:
        """Create an instance that sends its heartbeats to `control_addresses`, given as ip:port."""
        self.id = id
        self.settings = settings
        self.address = ""  # ip:port, empty until the instance listens
        self.in_progress = 0
        self.served = 0
        self.draining = False
        self.connections: set[InstanceConnection] = set()
        self.buffers = Buffers(BUFFER_BYTES)
        self.control_client = ControlClient(control_addresses, settings.heartbeat_interval_s)
        self._host = host
        self._sample = 0  # number of heartbeats sent
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._report_to: str | None = None  # the controller that is called first
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._started_at = 0.0

    async def start(self) -> bool:
        """Listen on a free port and send a heartbeat; return whether it was acknowledged."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self._server = await loop.create_server(lambda: InstanceConnection(self), self._host, 0)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"
        acknowledged = await self.send_heartbeat()
        self._heartbeats = loop.create_task(self._send_heartbeats())
        return acknowledged

    async def drain(self) -> None:
        """Shut down in order: report draining, keep serving for the drain time, leave, stop."""
        if self._heartbeats:
            self._heartbeats.cancel()
        self.draining = True
        await self._retry(self.send_heartbeat)
        await asyncio.sleep(self.settings.drain_s + EXTRA_DRAIN_S)
        await self._retry(self._leave)
        self.crash()

    async def leave(self) -> bool:
        """Leave without draining before, and serve on; return whether it was acknowledged."""
        if self._heartbeats:
            self._heartbeats.cancel()
        return await self._retry(self._leave)

    def crash(self) -> None:
        """Stop without notice to the controllers."""
        if self._heartbeats:
            self._heartbeats.cancel()
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    # Calls to controllers

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether a controller acknowledged it."""
        self._sample += 1
        settings = self.settings
        response = await self._call(
            f"/Plants.Heartbeat/{self.id}",
            {
                "service": settings.service,
                "address": self.address,
                "zone": settings.zone,
                "revision": settings.version,
                "capacity": settings.capacity,
                "state": "draining" if self.draining else "ready",
                "warmupLeftS": self._warm_up_left(),
                "sample": self._sample,
            },
        )
        if response is None:
            self._report_to = None
            return False
        if response.address != self._report_to:
            self._report_to = None
        self._report_to = _named_controller(response.body) or self._report_to
        return True

    async def _leave(self) -> bool:
        return await self._call(f"/Plants.Leave/{self.id}", None) is not None

    async def _call(self, path: str, body: dict[str, Any] | None) -> ControlResponse | None:
        data = b"" if body is None else json.dumps(body).encode()
        response = await asyncio.to_thread(
            self.control_client.call, "POST", path, data, self._report_to
        )
        if not isinstance(response, ControlResponse) or not response.succeeded:
            return None
        return response if len(response.body) <= MAX_ACKNOWLEDGEMENT_BYTES else None

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.settings.heartbeat_interval_s)
            await self.send_heartbeat()

    async def _retry(self, call: Callable[[], Awaitable[bool]]) -> bool:
        """Retry a call for at most SHUTDOWN_CALL_TIMEOUT_S; return whether it was acknowledged."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SHUTDOWN_CALL_TIMEOUT_S
        acknowledged = await call()
        while not acknowledged and loop.time() < until:
            await asyncio.sleep(SHUTDOWN_CALL_INTERVAL_S)
            acknowledged = await call()
        return acknowledged

    # Requests

    def _warm_up_left(self) -> float:
        """Return the remaining seconds of the warm-up."""
        ends_at = self._started_at + self.settings.warm_up_s
        return max(0.0, round(ends_at - asyncio.get_running_loop().time(), 3))

    def rejects_connections(self) -> bool:
        """Whether a new connection exceeds the limit, which is halved while the queue is long."""
        limit = self.settings.max_connections
        if 2 * len(self._waiting) > self.settings.queue:
            limit //= 2
        return len(self.connections) >= limit

    async def _take_slot(self, until: float) -> bool:
        """Wait for a slot; return False if the queue is full or the time is up."""
        if self.in_progress < self.settings.capacity:
            self.in_progress += 1
            return True
        if len(self._waiting) >= self.settings.queue:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout_at(until):
                await turn
        except BaseException as error:
            if turn.done() and not turn.cancelled():
                self._free_slot()  # the slot was assigned while the request gave up
            elif turn in self._waiting:
                self._waiting.remove(turn)
            if isinstance(error, TimeoutError):
                return False
            raise
        return True

    def _free_slot(self) -> None:
        """Pass a slot on to the request that has waited longest."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.in_progress -= 1

    async def handle(self, request: Request) -> InstanceResponse:
        """Handle a request or a probe and return the response."""
        loop = asyncio.get_running_loop()
        headers = request.headers
        is_probe = request.method == "GET" and request.target == self.settings.probe
        if not is_probe and "x-attempt-id" not in headers:
            return InstanceResponse(400, b"", NOT_EXECUTED)
        if headers.get("x-target-instance", self.id) != self.id:
            return InstanceResponse(421, b"", NOT_EXECUTED)
        remaining_ms = headers.get("x-time-remaining", "")
        remaining = int(remaining_ms) / 1000 if remaining_ms.isdigit() else DEFAULT_REQUEST_TIME_S
        until = loop.time() + remaining
        if not await self._take_slot(until):
            return InstanceResponse(503, b"", NOT_EXECUTED)
        try:
            if is_probe:
                status = 503 if self.draining else 200
                return InstanceResponse(status, b"", (("X-Instance", self.id),))
            return await self._work(request, until)
        finally:
            self._free_slot()

    async def _work(self, request: Request, until: float) -> InstanceResponse:
        """Simulate the duration of the work and return a sealed response."""
        loop, settings = asyncio.get_running_loop(), self.settings
        work = settings.work_s * (2 if self._warm_up_left() else 1)
        await asyncio.sleep(max(0.0, min(work, until - loop.time())))
        if loop.time() + 1e-3 >= until:
            return InstanceResponse(504)
        self.served += 1
        if random.random() < settings.failure_share:
            return InstanceResponse(500)
        content = {"machine": self.id, "revision": settings.version, "path": request.target}
        body = json.dumps(content).encode()
        checksum = zlib.crc32(request.headers["x-attempt-id"].encode() + body)
        seal = f"{zlib.crc32(self.id.encode()):x}.{self.served:x}.{checksum:08x}"
        headers = (("X-Server-Seal", seal), ("Content-Type", "application/json"))
        return InstanceResponse(200, body, headers)

    def load_level(self) -> str:
        """Return the value of X-Load-Level: requests in progress, requests waiting, and slots."""
        return f"{self.in_progress},{len(self._waiting)},{self.settings.capacity}"


def _named_controller(body: bytes) -> str | None:
    """Return the controller that an acknowledgement names as the one to report to."""
    try:
        named = json.loads(body).get("reportTo") if body else None
    except (ValueError, AttributeError):
        return None
    return named if isinstance(named, str) and named else None


class InstanceConnection(asyncio.Protocol):
    """A connection to an instance; serves one request at a time and drops it when it closes."""

    def __init__(self, instance: LocalInstance) -> None:
        self._instance = instance
        self._reader = Reader(instance.buffers)
        self._pending: deque[Any] = deque()  # requests, or the fault of a malformed one
        self._work: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or reset it if there are too many."""
        self._transport = transport
        if self._instance.rejects_connections():
            self._transport.abort()
            return
        self._instance.connections.add(self)
        self._become_idle()

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def _become_idle(self) -> None:
        loop = asyncio.get_running_loop()
        keep_alive = self._instance.settings.keep_alive_s
        self._idle_timer = loop.call_later(keep_alive, self._transport.close)

    def data_received(self, data: bytes) -> None:
        """Answer the received requests one after another."""
        self._pending.extend(self._reader.feed(data))
        if self._work is None and self._pending:
            if self._idle_timer:
                self._idle_timer.cancel()
            self._work = asyncio.get_running_loop().create_task(self._answer_pending())

    async def _answer_pending(self) -> None:
        while self._pending:
            request = self._pending.popleft()
            if isinstance(request, Fault):
                self._transport.write(write_response(request.status, keep_alive=False))
                self._transport.close()
                return
            if not await self._answer(request):
                self._transport.close()
                return
        self._work = None
        self._become_idle()

    async def _answer(self, request: Request) -> bool:
        """Answer one request; return whether the connection stays open."""
        instance = self._instance
        response = await instance.handle(request)
        keep = request.keep_alive and not instance.draining
        headers = dict(response.headers) | {"X-Load-Level": instance.load_level()}
        if attempt_id := request.headers.get("x-attempt-id"):
            headers["X-Attempt-Id"] = attempt_id
        if keep:
            headers["Keep-Alive"] = f"timeout={instance.settings.keep_alive_s}"
        self._transport.write(write_response(response.status, response.body, keep, headers))
        return keep

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the request in progress."""
        self._instance.connections.discard(self)
        self._reader.drop()
        if self._idle_timer:
            self._idle_timer.cancel()
        if self._work:
            self._work.cancel()
