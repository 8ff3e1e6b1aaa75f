"""Hollow fronts and machines on loopback before one real core member: how many it carries, and what
breaks first.

The member is a process of its own, started as in service, alone in its system. Fronts and machines
are hollow: all in this process, on real sockets. A machine sends its beats and waits for the
acknowledgement; a front pulls as `heliograph.reader` does. The first `REAL` fronts run that reader
on all they are told; the others on the vector alone, so that this process is not what is measured.
Once a second a machine says that it drains: fronts tell when they hear.

Bounds: two processes, `SIZES` at the most, each play some 12 s, and nothing outlives this process.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from collections.abc import Callable, Sequence
from itertools import count
from pathlib import Path
from typing import Any

from benchmarks.capacity.measures import beat_body, configuration
from umbermoor.gateway.distribution.subscriber import PULL_INTERVAL_US, Subscriber
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, decode_body, encode_frame

SECOND = 1_000_000
PERIOD = 1.5  # s between a machine's beats
GIVE_UP = 1.0  # s: a beat without an answer has failed
WARM, LOOK = 3.0, 6.0  # s
REPEATS = 3
REAL = 8  # fronts that run the reader
LIMIT_MS = 100.0
ROUTES = 400
CONTROL, OWN = 8649, 7620
SIZES: dict[str, Sequence[tuple[int, int]]] = {  # fronts, machines
    "machines": [(1, size) for size in (100, 300, 600, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000)],
    "anew": [(1, size) for size in (100, 1_000, 2_000, 3_000)],
    "plain": [(0, size) for size in (100, 1_000, 4_000, 8_000)],
    "fronts": [(size, 100) for size in (20, 50, 100, 200, 300, 400, 480)],
    "both": [(size, 10 * size) for size in (3, 10, 30, 60, 100, 150, 200)],
}
WHAT = {
    "machines": "machines that keep their connections, one front",
    "anew": "machines that connect anew for each beat, one front",
    "plain": "machines before the front's own parser: a trial, without chain and fronts",
    "fronts": "fronts, 100 machines",
    "both": "ten machines for each front",
}


class Play:
    """One size, once."""

    def __init__(self, kind: str, fronts: int, machines: int) -> None:
        self.kind, self.chance = kind, random.Random(machines * 1000 + fronts)
        self.ip = f"127.{self.chance.randrange(2, 250)}.{self.chance.randrange(250)}.{self.chance.randrange(1, 200)}"
        self.fronts = [HollowFront(self, at < REAL) for at in range(fronts)]
        self.machines = [HollowMachine(self, at) for at in range(machines)]
        self.looking, self.size = False, machines
        self.acks: list[float] = []  # ms
        self.heard: list[float] = []  # ms
        self.failed = self.refused = self.lost = self.news_bytes = self.news_count = 0
        self.drains: dict[bytes, float] = {}  # by id, when the beat that says so was sent
        self.lag = 0.0

    async def run(self) -> dict[str, Any]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(settings(self.ip, folder))
            with open(Path(folder) / "log", "wb") as log:
                program = (
                    ["benchmarks.capacity.taker", self.ip, str(CONTROL)]
                    if self.kind == "plain"
                    else ["umbermoor.gateway", "controller"]
                )
                process = subprocess.Popen(
                    [sys.executable, "-m", *program],
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    preexec_fn=_with_parent,
                    env={**os.environ, "UMBERMOOR_SETTINGS": str(path)},
                )
            try:
                async with asyncio.timeout(60):
                    return await self._play(process.pid)
            finally:
                process.terminate()
                try:
                    process.wait(3)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()

    async def _play(self, pid: int) -> dict[str, Any]:
        while not await self._put():
            await asyncio.sleep(0.2)
        loop = asyncio.get_running_loop()
        for front in self.fronts:
            await front.connect()
        tasks = [loop.create_task(one) for one in (self._beats(), self._pulls(), self._drains())]
        try:
            await asyncio.sleep(WARM)
            before, mine, self.news_bytes, self.news_count = _spent(pid), time.process_time(), 0, 0
            began, self.looking = time.monotonic(), True
            await asyncio.sleep(LOOK)
            self.looking = False
            passed = time.monotonic() - began
            spent, mine = _spent(pid) - before, time.process_time() - mine
            await asyncio.sleep(0.3)
        finally:
            for task in tasks:
                task.cancel()
            for one in [*self.fronts, *self.machines]:
                one.close()
        acks, heard = sorted(self.acks), sorted(self.heard)
        return {
            "fronts": len(self.fronts),
            "machines": self.size,
            "beats a second": round(len(acks) / passed, 1),
            "ack median ms": part(acks, 0.5),
            "ack 99 ms": part(acks, 0.99),
            "heard median ms": part(heard, 0.5),
            "heard 99 ms": part(heard, 0.99),
            "beats failed": self.failed,
            "fronts refused": self.refused,
            "fronts cut off": self.lost,
            "processor %": round(100 * spent / passed, 1),
            "memory MB": _memory(pid),
            "news kB a second": round(self.news_bytes / passed / 1000, 1),
            "news a second": round(self.news_count / passed, 1),
            "hollow processor %": round(100 * mine / passed, 1),
            "hollow late ms": round(1000 * self.lag, 1),
        }

    async def _put(self) -> bool:
        """A configuration of `ROUTES`; whether it was taken."""
        body = configuration(ROUTES)
        try:
            reader, writer = await asyncio.open_connection(self.ip, CONTROL)
        except OSError:
            return False
        if self.kind == "plain":  # it takes beats alone
            writer.close()
            return True
        writer.write(f"POST /Config.Replace HTTP/1.1\r\nHost: {self.ip}\r\n".encode())
        writer.write(f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        said = await reader.readline()
        writer.close()
        return b" 200" in said

    async def _beats(self) -> None:
        """Each machine's beats at their times."""
        began, due = time.monotonic(), 0
        order = sorted(self.machines, key=lambda one: one.phase)
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic() - began
            if self.looking:
                self.lag = max(
                    self.lag,
                    now - (due // len(order) * PERIOD + order[due % len(order)].phase) - 0.005,
                )
            while due // len(order) * PERIOD + order[due % len(order)].phase <= now:
                order[due % len(order)].beat()
                due += 1

    async def _pulls(self) -> None:
        while True:
            now = time.monotonic()
            for front in self.fronts:
                if front.next <= now:
                    front.pull(now)
            await asyncio.sleep(0.005)

    async def _drains(self) -> None:
        """Once a second a machine comes and says that it drains."""
        for at in count(1):
            await asyncio.sleep(1.0)
            one = HollowMachine(self, 1_000_000 + at, "draining")
            self.machines.append(one)
            if self.looking:
                self.drains[one.id.encode()] = time.monotonic()
            one.beat()

    def told(self, data: bytes, front: "HollowFront") -> None:
        """A front got news: were there machines in it that drain?"""
        for id, sent in self.drains.items():
            if id not in front.seen and id in data:
                front.seen.add(id)
                self.heard.append(1000 * (time.monotonic() - sent))


class HollowMachine(asyncio.Protocol):
    def __init__(self, play: Play, at: int, state: str = "ready") -> None:
        self.play, self.at, self.state, self.sample = play, at, state, 0
        self.id, self.phase = f"i-{at * 2654435761 % (1 << 32):08x}", play.chance.random() * PERIOD
        self.transport: asyncio.Transport | None = None
        self.sent: float | None = None
        self.got = b""
        self.opening = False

    def beat(self) -> None:
        now = time.monotonic()
        if self.sent is not None:
            if now - self.sent < GIVE_UP:
                return
            self.close()
            self._failed()
        self.sample += 1
        self.sent = now
        if self.transport is None:
            if not self.opening:
                self.opening = True
                task = asyncio.get_running_loop().create_task(self._open())
                task.add_done_callback(lambda done: done.cancelled() or done.exception())
        else:
            self._write()

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(GIVE_UP):
                await asyncio.get_running_loop().create_connection(
                    lambda: self, self.play.ip, CONTROL
                )
        except (OSError, TimeoutError):
            self._failed()
        finally:
            self.opening = False

    def _failed(self) -> None:
        self.sent = None
        self.play.failed += self.play.looking

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._write()

    def _write(self) -> None:
        body = beat_body(self.at, self.sample).replace(b'"ready"', f'"{self.state}"'.encode())
        self.got = b""
        self.transport.write(
            f"POST /Plants.Heartbeat/{self.id} HTTP/1.1\r\nHost: {self.play.ip}:{CONTROL}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def data_received(self, data: bytes) -> None:
        self.got += data
        if b"\r\n\r\n" in self.got and self.sent is not None:
            if b" 200" in self.got[:16]:
                if self.play.looking and self.state == "ready":
                    self.play.acks.append(1000 * (time.monotonic() - self.sent))
            else:
                self._failed()
            self.sent = None
            if self.play.kind == "anew":
                self.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.sent is not None and self.transport is not None:
            self._failed()
        self.transport = None

    def close(self) -> None:
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()


class HollowFront(asyncio.Protocol):
    def __init__(self, play: Play, real: bool) -> None:
        self.play, self.real = play, real
        self.reader = Subscriber([play.ip])
        self.transport: asyncio.Transport | None = None
        self.held, self.next, self.seen = bytearray(), 0.0, set[bytes]()
        self.ended = False

    async def connect(self) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().create_connection(lambda: self, self.play.ip, OWN)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def pull(self, now: float) -> None:
        self.next = now + 3.0
        if self.transport is None:
            self.play.refused += self.play.looking
        else:
            self.transport.write(
                encode_frame(self.reader.make_pull(round(now * SECOND), self.play.ip))
            )

    def data_received(self, data: bytes) -> None:
        self.held += data
        while len(self.held) >= 4:
            head = int.from_bytes(self.held[:4], "big")
            size = head & ~COMPRESSED_FLAG
            if len(self.held) < 4 + size:
                return
            body = bytes(self.held[4 : 4 + size])
            del self.held[: 4 + size]
            self.frame(body, bool(head & COMPRESSED_FLAG))

    def frame(self, body: bytes, pressed: bool) -> None:
        now, play = time.monotonic(), self.play
        play.news_bytes += len(body) + 4
        raw = zlib.decompress(body) if pressed else body
        if raw.startswith(b'{"kind":"body"'):
            self.reader.revision = self.reader.newest_revision
            return
        play.news_count += 1
        play.told(raw, self)
        if self.real:
            self.reader.receive_update(round(now * SECOND), play.ip, decode_body(body, pressed))
        else:  # the vector stands before the machines and behind them
            message = json.loads(
                raw[: raw.index(b'"machines":[')]
                + b'"machines":[]'
                + raw[raw.rindex(b',"register"') :]
            )
            self.reader.receive_update(round(now * SECOND), play.ip, message)
        self.next = now + PULL_INTERVAL_US / SECOND

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ended:
            self.play.lost += 1
        self.transport = None

    def close(self) -> None:
        self.ended = True
        if self.transport is not None:
            self.transport.abort()


def settings(ip: str, folder: str) -> str:
    return f"""nodeName = "core"
role = "controller"
machineClass = "core"
serves = ["controller"]
ip = "{ip}"
zone = "z"
portRange = [{OWN}, {OWN}]
seeds = ["{ip}:{CONTROL}"]
coldStart = true
quorumMember = true
periodS = {PERIOD}
dataDir = "{folder}/data"
[listen]
control = "{ip}:{CONTROL}"
[envelope]
memoryMb = 256
diskMb = 64
[robustness]
machines = 0
"""


def part(values: Sequence[float], share: float) -> float | None:
    return round(values[min(len(values) - 1, int(share * len(values)))], 2) if values else None


def _spent(pid: int) -> float:
    """Processor time of a process, s."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def _memory(pid: int) -> float:
    line = next(
        line
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if line.startswith("VmHWM")
    )
    return round(int(line.split()[1]) / 1024, 1)


def _with_parent() -> None:
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def passes(rows: Sequence[dict[str, Any]]) -> bool:
    """Whether the middle one of the plays was past the limit: an answer late, a beat failed or a
    front cut off."""
    late = sorted(
        row["ack 99 ms"] is None
        or row["ack 99 ms"] > LIMIT_MS
        or row["beats failed"] > 0
        or row["fronts cut off"] > 0
        for row in rows
    )
    return late[len(late) // 2]


def run(
    kinds: Sequence[str],
    data: dict[str, Any],
    commit: str,
    say: Callable[[str], None],
    save: Callable[[], None],
) -> None:
    """Plays the kinds named, or all, until two sizes on end are past the limit; `save` after each
    size. Sizes that the file holds already are not played again."""
    for kind in kinds or SIZES:
        past = 0
        for fronts, machines in SIZES[kind]:
            held = [
                row
                for row in data["carry"]
                if (row["kind"], row["fronts"], row["machines"]) == (kind, fronts, machines)
            ]
            rows = []
            for _ in range(REPEATS - len(held)):
                rows.append(
                    {
                        "kind": kind,
                        "commit": commit,
                        **asyncio.run(Play(kind, fronts, machines).run()),
                    }
                )
                say(" ".join(f"{key}={value}" for key, value in rows[-1].items()))
            data["carry"] += rows
            save()
            past = past + 1 if passes(held + rows) else 0
            if past == 2:
                break
