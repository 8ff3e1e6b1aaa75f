"""A stand-in machine: speaks what PROTOCOL.md, "Machines" and "Which machines there are", says.
Never in service."""

import asyncio
import json
import random
import zlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Request
from umbermoor.http1.writer import write_response

ANSWER_MOST = 4096  # bytes of an acknowledgement
LAST_BEATS = 3.0  # s: tried so long to say that it drains, or that it leaves
MORE = 0.5  # s: served on behind the time that was promised


@dataclass(frozen=True, slots=True)
class Make:
    """What kind of machine it is; times in seconds."""

    service: str
    zone: str
    revision: str = "v1"
    capacity: int = 6  # requests worked on at once
    queue: int = 4  # and waiting
    saturation: int = 130  # connections from all callers together
    probe: str = "/health"
    work_s: float = 0.02
    warm_s: float = 0.0  # twice as slow for so long from its start
    idle_s: int = 8
    period_s: float = 1.5
    drain_s: float = 2.5
    fails: float = 0.0  # share of requests that it answers with 500


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


NOT_RUN = (("X-Not-Executed", "1"),)


class Machine:
    """One life of a machine. `start`, then `drain` or `crash`."""

    def __init__(self, id: str, make: Make, host: str, controls: Sequence[str]) -> None:
        """`controls`: addresses that take its beats, ip:port."""
        self.id, self.make, self.host, self.address = id, make, host, ""
        self.running = self.served = self._sample = 0
        self.leaving = False
        self.lines: set[MachineLine] = set()
        self.buffers = Buffers(32 << 20)
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._caller, self._report_to = ControlClient(controls, make.period_s), None
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> bool:
        """Listens on a free port and says so. Whether a member took it."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        self._server = await loop.create_server(lambda: MachineLine(self), self.host, 0)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"
        taken = await self.beat()
        self._beating = loop.create_task(self._beats())
        return taken

    async def drain(self) -> None:
        """A planned end: says it, serves on, leaves, ends."""
        if self._beating:
            self._beating.cancel()
        self.leaving = True
        await self._insist(self.beat)
        await asyncio.sleep(self.make.drain_s + MORE)
        await self._insist(self._leave)
        self.crash()

    def crash(self) -> None:
        """Ends without a word."""
        if self._beating:
            self._beating.cancel()
        if self._server:
            self._server.close()
        for line in list(self.lines):
            line.transport.abort()

    # What it says

    async def beat(self) -> bool:
        """One beat. Whether a member acknowledged it."""
        self._sample += 1
        make = self.make
        told = await self._call(
            f"/Plants.Heartbeat/{self.id}",
            {
                "service": make.service,
                "address": self.address,
                "zone": make.zone,
                "revision": make.revision,
                "capacity": make.capacity,
                "state": "draining" if self.leaving else "ready",
                "warmupLeftS": self._warm(),
                "sample": self._sample,
            },
        )
        if told is None:
            self._report_to = None
            return False
        if told.at != self._report_to:
            self._report_to = None
        try:
            said = json.loads(told.body).get("reportTo") if told.body else None
        except (ValueError, AttributeError):
            said = None
        self._report_to = said if isinstance(said, str) and said else self._report_to
        return True

    async def _leave(self) -> bool:
        return await self._call(f"/Plants.Leave/{self.id}", None) is not None

    async def _call(self, path: str, body: dict | None) -> ControlResponse | None:
        raw = b"" if body is None else json.dumps(body).encode()
        told = await asyncio.to_thread(self._caller.call, "POST", path, raw, self._report_to)
        return (
            told
            if isinstance(told, ControlResponse) and told.done and len(told.body) <= ANSWER_MOST
            else None
        )

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(self.make.period_s)
            await self.beat()

    async def _insist(self, say) -> None:
        until = asyncio.get_running_loop().time() + LAST_BEATS
        while not await say() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.2)

    # What it works at

    def _warm(self) -> float:
        return max(
            0.0, round(self._began + self.make.warm_s - asyncio.get_running_loop().time(), 3)
        )

    def full(self) -> bool:
        """Whether a new connection is one too many; fewer while its queue is long."""
        most = self.make.saturation
        return len(self.lines) >= (most // 2 if 2 * len(self._waiting) > self.make.queue else most)

    async def _slot(self, until: float) -> bool:
        """Waits for a slot; False where it is full or too late."""
        if self.running < self.make.capacity:
            self.running += 1
            return True
        if len(self._waiting) >= self.make.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout_at(until):
                await turn
            return True
        except BaseException as error:
            if turn.done() and not turn.cancelled():
                self._free()  # its turn came as it gave up
            elif turn in self._waiting:
                self._waiting.remove(turn)
            if isinstance(error, TimeoutError):
                return False
            raise

    def _free(self) -> None:
        """A slot passes on to who waits longest."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def answer(self, request: Request) -> Answer:
        """Works at one request."""
        loop, make = asyncio.get_running_loop(), self.make
        headers, probe = (
            request.headers,
            request.method == "GET" and request.target == self.make.probe,
        )
        if not probe and "x-attempt-id" not in headers:
            return Answer(400, b"", NOT_RUN)
        if headers.get("x-target-instance", self.id) != self.id:
            return Answer(421, b"", NOT_RUN)
        told = headers.get("x-time-remaining", "")
        until = loop.time() + (int(told) / 1000 if told.isdigit() else 30.0)
        if not await self._slot(until):
            return Answer(503, b"", NOT_RUN)
        try:
            if probe:
                return Answer(503 if self.leaving else 200, b"", (("X-Instance", self.id),))
            work = make.work_s * (2 if self._warm() else 1)
            await asyncio.sleep(max(0.0, min(work, until - loop.time())))
            if loop.time() + 1e-3 >= until:
                return Answer(504)
            self.served += 1
            if random.random() < make.fails:
                return Answer(500)
            body = json.dumps(
                {"machine": self.id, "revision": make.revision, "path": request.target}
            ).encode()
            mark = zlib.crc32(headers["x-attempt-id"].encode() + body)
            return Answer(
                200,
                body,
                (
                    (
                        "X-Server-Seal",
                        f"{zlib.crc32(self.id.encode()):x}.{self.served:x}.{mark:08x}",
                    ),
                    ("Content-Type", "application/json"),
                ),
            )
        finally:
            self._free()

    def load(self) -> str:
        return f"{self.running},{len(self._waiting)},{self.make.capacity}"


class MachineLine(asyncio.Protocol):
    """One connection to a stand-in: one request at a time, what it works at is dropped when it
    closes."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.reader = machine, Reader(machine.buffers)
        self.row: deque[Request | Fault] = deque()
        self.work: asyncio.Task[None] | None = None
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.machine.full():
            transport.abort()
            return
        self.machine.lines.add(self)
        self._rest()

    def _rest(self) -> None:
        loop = asyncio.get_running_loop()
        self.idle = loop.call_later(self.machine.make.idle_s, self.transport.close)

    def data_received(self, data: bytes) -> None:
        self.row.extend(self.reader.feed(data))
        if self.work is None and self.row:
            if self.idle:
                self.idle.cancel()
            self.work = asyncio.get_running_loop().create_task(self._go())

    async def _go(self) -> None:
        while self.row:
            request = self.row.popleft()
            if isinstance(request, Fault):
                self.transport.write(write_response(request.status, keep_alive=False))
                self.transport.close()
                return
            answer = await self.machine.answer(request)
            keep = request.keep_alive and not self.machine.leaving
            headers = dict(answer.headers) | {"X-Load-Level": self.machine.load()}
            if id := request.headers.get("x-attempt-id"):
                headers["X-Attempt-Id"] = id
            if keep:
                headers["Keep-Alive"] = f"timeout={self.machine.make.idle_s}"
            self.transport.write(write_response(answer.status, answer.body, keep, headers))
            if not keep:
                self.transport.close()
                return
        self.work = None
        self._rest()

    def connection_lost(self, error) -> None:
        self.machine.lines.discard(self)
        self.reader.drop()
        if self.idle:
            self.idle.cancel()
        if self.work:
            self.work.cancel()
