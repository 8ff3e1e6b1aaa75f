"""Stand-ins of servers, clients and the operator, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from review.common.deployment import PERIOD_S, Record

CALL_TIMEOUT_S = 1.0
SERVICE = "overlevering"
HOST, PREFIX = "kjokken.example", "/bekreft/"


@dataclass
class Answer:
    """An answer that a caller received; status 0 if there was none, with `why` in the body."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read the first line, the headers and the body of a message with a length; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


def message_bytes(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def exchange(
    address: tuple[str, int], request: bytes, timeout_s: float, source: str | None = None
) -> Answer:
    """Send a request on a new connection and return its answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
            writer.write(request)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return Answer(0, {}, b"closed without an answer")
            first, headers, body = message
            return Answer(int(first.split(" ")[1]), headers, body)
    except TimeoutError:
        return Answer(0, {}, b"no answer in time")
    except (OSError, ValueError, IndexError) as error:
        return Answer(0, {}, repr(error).encode())
    finally:
        if writer is not None:
            writer.close()


def split_address(text: str) -> tuple[str, int]:
    """Return the address in `ip:port`."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)


async def call(control: str, method: str, path: str, body: Any = None) -> Answer:
    """Make a call to one controller."""
    data = b"" if body is None else json.dumps(body).encode()
    headers = {"Host": control, "Content-Type": "application/json", "Connection": "close"}
    request = message_bytes(f"{method} {path} HTTP/1.1", headers, data)
    return await exchange(split_address(control), request, CALL_TIMEOUT_S)


async def call_any(
    record: Record, who: str, controls: Sequence[str], path: str, body: Any, until: float
) -> float | None:
    """Repeat a call at one controller after the other; return when it was acknowledged."""
    turn, pause_s = random.randrange(len(controls)), 0.05
    while record.now() < until:
        control = controls[turn % len(controls)]
        record.write(f"{who} sends {path} to {control}")
        answer = await call(control, "POST", path, body)
        record.write(f"{who} gets {answer.status} for {path} from {control}")
        if 200 <= answer.status < 300:
            return record.now()
        turn += 1
        await asyncio.sleep(pause_s)
        pause_s = min(1.0, 2 * pause_s)
    return None


def configuration(revision: int, kind: str = "safe", **route: Any) -> dict[str, Any]:
    """Return a configuration with one route to SERVICE."""
    base: dict[str, Any] = {
        "host": HOST,
        "prefix": PREFIX,
        "kind": kind,
        "horizonS": 0.8,
        "setpointS": 0.3,
        "priority": 1,
        "service": SERVICE,
        "tries": 2,
    }
    service = {"probe": "/health", "saturation": 110, "protocol": "h1", "tls": False}
    return {
        "revision": f"{revision:08x}",
        "routes": {"r-1": base | route},
        "services": {SERVICE: service},
        "envelope": {"headerBytes": 16384, "bodyBytes": 67108864, "headerS": 3, "idleS": 15},
    }


@dataclass
class Arrival:
    """A request that reached a server."""

    at: float
    attempt: str
    ran: bool


class Server:
    """A machine of a service.

    Attributes:
        arrivals: The requests that reached it.
        acknowledged_at: When its leave was acknowledged; None before.
        failed_at: When it answered a request with 500.
    """

    def __init__(
        self,
        record: Record,
        controls: Sequence[str],
        ip: str,
        zone: str,
        capacity: int = 6,
        work_s: float = 0.05,
        revision: str = "v1",
        failure_share: float = 0.0,
    ) -> None:
        self.record, self.controls, self.ip, self.zone = record, controls, ip, zone
        self.capacity, self.work_s, self.revision = capacity, work_s, revision
        self.failure_share = failure_share
        self.failed_at: list[float] = []
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = ""
        self.arrivals: list[Arrival] = []
        self.acknowledged_at: float | None = None
        self._sample = 0
        self._slots = asyncio.Semaphore(capacity)
        self._leaving = False
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and begin to send beats."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"
        self.record.write(f"server {self.id} at {self.address} {self.revision}", show=True)
        self._beats = asyncio.create_task(self._send_beats())

    def stop(self) -> None:
        """End at once."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.write(f"server {self.id} ends", show=True)

    def stop_beats(self) -> None:
        """Send no further beats."""
        if self._beats is not None:
            self._beats.cancel()

    async def leave(self) -> None:
        """Send a leave without having said `draining`, until it is acknowledged; serve on."""
        self.stop_beats()
        self._leaving = True
        self.acknowledged_at = await call_any(
            self.record,
            f"server {self.id}",
            self.controls,
            f"/Plants.Leave/{self.id}",
            None,
            self.record.now() + 5,
        )
        self.record.write(f"server {self.id} leave acknowledged", show=True)

    def beat(self, state: str = "ready") -> dict[str, Any]:
        """Return the next beat."""
        self._sample += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "revision": self.revision,
            "capacity": self.capacity,
            "state": state,
            "warmupLeftS": 0,
            "sample": self._sample,
        }

    async def _send_beats(self) -> None:
        turn = random.randrange(len(self.controls))
        while True:
            control = self.controls[turn % len(self.controls)]
            answer = await call(control, "POST", f"/Plants.Heartbeat/{self.id}", self.beat())
            if 200 <= answer.status < 300:
                await asyncio.sleep(PERIOD_S)
            else:
                turn += 1
                await asyncio.sleep(0.1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                first, headers, body = message
                answer, keep = await self._answer(first, headers, body)
                writer.write(answer)
                await writer.drain()
                if not keep:
                    return
        except (OSError, asyncio.CancelledError):  # the end of the run cancels the handlers
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first: str, headers: dict[str, str], body: bytes) -> tuple[bytes, bool]:
        attempt = headers.get("x-attempt-id", "")
        answered = {"X-Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
        if self._leaving:
            answered["Connection"] = "close"
        if headers.get("x-target-instance", self.id) != self.id:
            self._arrived(attempt, False)
            rejected = answered | {"X-Not-Executed": "1"}
            return message_bytes("HTTP/1.1 421 Misdirected", rejected), not self._leaving
        self._arrived(attempt, True)
        async with self._slots:
            await asyncio.sleep(self.work_s)
        if random.random() < self.failure_share:
            self.failed_at.append(self.record.now())
            self.record.write(f"server {self.id} fails {attempt}")
            return message_bytes("HTTP/1.1 500 Failed", answered), not self._leaving
        content = f"{self.id} {first} {len(body)}".encode()
        answered["X-Server-Seal"] = f"{zlib.crc32(attempt.encode() + content):08x}"
        return message_bytes("HTTP/1.1 200 OK", answered, content), not self._leaving

    def _arrived(self, attempt: str, ran: bool) -> None:
        self.arrivals.append(Arrival(self.record.now(), attempt, ran))
        self.record.write(f"server {self.id} {'runs' if ran else 'turns away'} {attempt}")


async def send_request(
    record: Record, front: tuple[str, int], method: str = "GET", wait_ms: int = 800
) -> Answer:
    """Send a request on a new connection, and record it and its answer."""
    attempt = f"{random.getrandbits(64):016x}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Time-Remaining": str(wait_ms),
        "Connection": "close",
    }
    record.write(f"client sends {attempt} to {front[0]}")
    request = message_bytes(f"{method} {PREFIX}x HTTP/1.1", headers)
    answer = await exchange(front, request, wait_ms / 1000)
    record.write(f"client gets {answer.status} for {attempt} {answer.body[:40]!r}")
    return answer


async def is_ready(address: tuple[str, int]) -> bool:
    """Return whether a front answers the platform's question with 200."""
    headers = {"Host": "platform", "Connection": "close"}
    answer = await exchange(address, message_bytes("GET /ready HTTP/1.1", headers), 0.5)
    return answer.status == 200
