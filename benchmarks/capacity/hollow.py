"""Load test of one real core member on loopback with simulated fronts and machines.

It finds out how many of them the member carries and what fails first. The member runs as a process
of its own, started as in production, and is the only member of its system. The simulated fronts and
machines all run in this process and use real sockets. A machine sends its heartbeats and waits for
each acknowledgement; a front sends pulls with `distribution.subscriber.Subscriber`. The first
`FULL_READER_COUNT` fronts pass complete updates to their subscriber; the others drop the list of
machines from each update first, so that this process does not become the bottleneck. Once a second
a new machine reports that it drains, and the delay until each front learns of it is recorded.

Limits: two processes, at most the sizes in `SIZES`, about 12 s a run, and no process that outlives
this one.
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

from benchmarks.capacity.measures import configuration, heartbeat_body
from umbermoor.gateway.distribution.subscriber import PULL_INTERVAL_US, Subscriber
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, decode_body, encode_frame

SECOND = 1_000_000
HEARTBEAT_PERIOD_S = 1.5  # s between two heartbeats of a machine
HEARTBEAT_TIMEOUT_S = 1.0  # s until a heartbeat without an answer counts as failed
WARMUP_S, MEASUREMENT_S = 3.0, 6.0  # s
REPEATS = 3
FULL_READER_COUNT = 8  # fronts whose subscriber reads complete updates
MAX_ACK_MS = 100.0
ROUTE_COUNT = 400
CONTROL_PORT, PEER_PORT = 8649, 7620
SIZES: dict[str, Sequence[tuple[int, int]]] = {  # fronts, machines
    "machines": [(1, size) for size in (100, 300, 600, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000)],
    "anew": [(1, size) for size in (100, 1_000, 2_000, 3_000)],
    "plain": [(0, size) for size in (100, 1_000, 4_000, 8_000)],
    "fronts": [(size, 100) for size in (20, 50, 100, 200, 300, 400, 480)],
    "both": [(size, 10 * size) for size in (3, 10, 30, 60, 100, 150, 200)],
}
KIND_DESCRIPTIONS = {
    "machines": "machines that keep their connections, one front",
    "anew": "machines that connect anew for each beat, one front",
    "plain": "machines before the front's own parser: a trial, without chain and fronts",
    "fronts": "fronts, 100 machines",
    "both": "ten machines for each front",
}


class LoadRun:
    """One run of the load test at one size."""

    def __init__(self, kind: str, fronts: int, machines: int) -> None:
        self.kind, self.rng = kind, random.Random(machines * 1000 + fronts)
        self.ip = (
            f"127.{self.rng.randrange(2, 250)}.{self.rng.randrange(250)}"
            f".{self.rng.randrange(1, 200)}"
        )
        self.fronts = [SimulatedFront(self, index < FULL_READER_COUNT) for index in range(fronts)]
        self.machines = [SimulatedMachine(self, index) for index in range(machines)]
        self.measuring, self.machine_count = False, machines
        self.ack_times_ms: list[float] = []
        self.drain_delays_ms: list[float] = []
        self.failed_heartbeats = self.refused_pulls = self.lost_connections = self.news_bytes = (
            self.news_count
        ) = 0
        # by machine id: when its heartbeat with the state "draining" was sent
        self.drain_sent_at: dict[bytes, float] = {}
        self.max_lag_s = 0.0

    async def run(self) -> dict[str, Any]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(settings(self.ip, folder))
            with open(Path(folder) / "log", "wb") as log:
                program = (
                    ["benchmarks.capacity.taker", self.ip, str(CONTROL_PORT)]
                    if self.kind == "plain"
                    else ["umbermoor.gateway", "controller"]
                )
                process = subprocess.Popen(
                    [sys.executable, "-m", *program],
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    preexec_fn=_exit_with_parent,
                    env={**os.environ, "UMBERMOOR_SETTINGS": str(path)},
                )
            try:
                async with asyncio.timeout(60):
                    return await self._measure(process.pid)
            finally:
                process.terminate()
                try:
                    process.wait(3)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()

    async def _measure(self, pid: int) -> dict[str, Any]:
        while not await self._replace_configuration():
            await asyncio.sleep(0.2)
        loop = asyncio.get_running_loop()
        for front in self.fronts:
            await front.connect()
        tasks = [
            loop.create_task(coroutine)
            for coroutine in (
                self._send_heartbeats(),
                self._send_pulls(),
                self._add_draining_machines(),
            )
        ]
        try:
            await asyncio.sleep(WARMUP_S)
            cpu_before, own_cpu, self.news_bytes, self.news_count = (
                _cpu_seconds(pid),
                time.process_time(),
                0,
                0,
            )
            started_at, self.measuring = time.monotonic(), True
            await asyncio.sleep(MEASUREMENT_S)
            self.measuring = False
            elapsed = time.monotonic() - started_at
            cpu_used, own_cpu = _cpu_seconds(pid) - cpu_before, time.process_time() - own_cpu
            await asyncio.sleep(0.3)
        finally:
            for task in tasks:
                task.cancel()
            for client in [*self.fronts, *self.machines]:
                client.close()
        ack_times, drain_delays = sorted(self.ack_times_ms), sorted(self.drain_delays_ms)
        return {
            "fronts": len(self.fronts),
            "machines": self.machine_count,
            "beats a second": round(len(ack_times) / elapsed, 1),
            "ack median ms": percentile(ack_times, 0.5),
            "ack 99 ms": percentile(ack_times, 0.99),
            "heard median ms": percentile(drain_delays, 0.5),
            "heard 99 ms": percentile(drain_delays, 0.99),
            "beats failed": self.failed_heartbeats,
            "fronts refused": self.refused_pulls,
            "fronts cut off": self.lost_connections,
            "processor %": round(100 * cpu_used / elapsed, 1),
            "memory MB": _peak_memory_mb(pid),
            "news kB a second": round(self.news_bytes / elapsed / 1000, 1),
            "news a second": round(self.news_count / elapsed, 1),
            "hollow processor %": round(100 * own_cpu / elapsed, 1),
            "hollow late ms": round(1000 * self.max_lag_s, 1),
        }

    async def _replace_configuration(self) -> bool:
        """Send a configuration of `ROUTE_COUNT` routes; return whether it was accepted."""
        body = configuration(ROUTE_COUNT)
        try:
            reader, writer = await asyncio.open_connection(self.ip, CONTROL_PORT)
        except OSError:
            return False
        if self.kind == "plain":  # that server accepts heartbeats only
            writer.close()
            return True
        writer.write(f"POST /Config.Replace HTTP/1.1\r\nHost: {self.ip}\r\n".encode())
        writer.write(f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        status_line = await reader.readline()
        writer.close()
        return b" 200" in status_line

    async def _send_heartbeats(self) -> None:
        """Send the heartbeats of all machines when they are due."""
        started_at, due = time.monotonic(), 0
        order = sorted(self.machines, key=lambda machine: machine.phase_s)
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic() - started_at
            if self.measuring:
                self.max_lag_s = max(
                    self.max_lag_s,
                    now
                    - (due // len(order) * HEARTBEAT_PERIOD_S + order[due % len(order)].phase_s)
                    - 0.005,
                )
            while due // len(order) * HEARTBEAT_PERIOD_S + order[due % len(order)].phase_s <= now:
                order[due % len(order)].send_heartbeat()
                due += 1

    async def _send_pulls(self) -> None:
        while True:
            now = time.monotonic()
            for front in self.fronts:
                if front.next_pull_at <= now:
                    front.pull(now)
            await asyncio.sleep(0.005)

    async def _add_draining_machines(self) -> None:
        """Add a machine that reports that it drains, once a second."""
        for index in count(1):
            await asyncio.sleep(1.0)
            machine = SimulatedMachine(self, 1_000_000 + index, "draining")
            self.machines.append(machine)
            if self.measuring:
                self.drain_sent_at[machine.id.encode()] = time.monotonic()
            machine.send_heartbeat()

    def record_drain_delays(self, data: bytes, front: "SimulatedFront") -> None:
        """Record the delay since its heartbeat for each draining machine that is new to `front`."""
        for id, sent_at in self.drain_sent_at.items():
            if id not in front.seen_drains and id in data:
                front.seen_drains.add(id)
                self.drain_delays_ms.append(1000 * (time.monotonic() - sent_at))


class SimulatedMachine(asyncio.Protocol):
    def __init__(self, load_run: LoadRun, index: int, state: str = "ready") -> None:
        self.load_run, self.index, self.state, self.sample = load_run, index, state, 0
        self.id, self.phase_s = (
            f"i-{index * 2654435761 % (1 << 32):08x}",
            load_run.rng.random() * HEARTBEAT_PERIOD_S,
        )
        self.transport: asyncio.Transport | None = None
        self.sent_at: float | None = None
        self.received = b""
        self.connecting = False

    def send_heartbeat(self) -> None:
        now = time.monotonic()
        if self.sent_at is not None:
            if now - self.sent_at < HEARTBEAT_TIMEOUT_S:
                return
            self.close()
            self._heartbeat_failed()
        self.sample += 1
        self.sent_at = now
        if self.transport is None:
            if not self.connecting:
                self.connecting = True
                task = asyncio.get_running_loop().create_task(self._connect())
                task.add_done_callback(lambda done: done.cancelled() or done.exception())
        else:
            self._write()

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: self, self.load_run.ip, CONTROL_PORT
                )
        except (OSError, TimeoutError):
            self._heartbeat_failed()
        finally:
            self.connecting = False

    def _heartbeat_failed(self) -> None:
        self.sent_at = None
        self.load_run.failed_heartbeats += self.load_run.measuring

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._write()

    def _write(self) -> None:
        body = heartbeat_body(self.index, self.sample).replace(
            b'"ready"', f'"{self.state}"'.encode()
        )
        self.received = b""
        self.transport.write(
            f"POST /Plants.Heartbeat/{self.id} HTTP/1.1\r\n"
            f"Host: {self.load_run.ip}:{CONTROL_PORT}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def data_received(self, data: bytes) -> None:
        self.received += data
        if b"\r\n\r\n" in self.received and self.sent_at is not None:
            if b" 200" in self.received[:16]:
                if self.load_run.measuring and self.state == "ready":
                    self.load_run.ack_times_ms.append(1000 * (time.monotonic() - self.sent_at))
            else:
                self._heartbeat_failed()
            self.sent_at = None
            if self.load_run.kind == "anew":
                self.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.sent_at is not None and self.transport is not None:
            self._heartbeat_failed()
        self.transport = None

    def close(self) -> None:
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()


class SimulatedFront(asyncio.Protocol):
    def __init__(self, load_run: LoadRun, full_reader: bool) -> None:
        self.load_run, self.full_reader = load_run, full_reader
        self.reader = Subscriber([load_run.ip])
        self.transport: asyncio.Transport | None = None
        self.buffer, self.next_pull_at, self.seen_drains = bytearray(), 0.0, set[bytes]()
        self.closed = False

    async def connect(self) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().create_connection(
                lambda: self, self.load_run.ip, PEER_PORT
            )

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def pull(self, now: float) -> None:
        self.next_pull_at = now + 3.0
        if self.transport is None:
            self.load_run.refused_pulls += self.load_run.measuring
        else:
            self.transport.write(
                encode_frame(self.reader.make_pull(round(now * SECOND), self.load_run.ip))
            )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 4:
            head = int.from_bytes(self.buffer[:4], "big")
            size = head & ~COMPRESSED_FLAG
            if len(self.buffer) < 4 + size:
                return
            body = bytes(self.buffer[4 : 4 + size])
            del self.buffer[: 4 + size]
            self.receive_frame(body, bool(head & COMPRESSED_FLAG))

    def receive_frame(self, body: bytes, compressed: bool) -> None:
        now, load_run = time.monotonic(), self.load_run
        load_run.news_bytes += len(body) + 4
        raw = zlib.decompress(body) if compressed else body
        if raw.startswith(b'{"kind":"body"'):
            self.reader.revision = self.reader.newest_revision
            return
        load_run.news_count += 1
        load_run.record_drain_delays(raw, self)
        if self.full_reader:
            self.reader.receive_update(
                round(now * SECOND), load_run.ip, decode_body(body, compressed)
            )
        else:  # keeps the version vector, which is split around the list of machines
            message = json.loads(
                raw[: raw.index(b'"machines":[')]
                + b'"machines":[]'
                + raw[raw.rindex(b',"register"') :]
            )
            self.reader.receive_update(round(now * SECOND), load_run.ip, message)
        self.next_pull_at = now + PULL_INTERVAL_US / SECOND

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.load_run.lost_connections += 1
        self.transport = None

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


def settings(ip: str, folder: str) -> str:
    return f"""nodeName = "core"
role = "controller"
machineClass = "core"
serves = ["controller"]
ip = "{ip}"
zone = "z"
portRange = [{PEER_PORT}, {PEER_PORT}]
seeds = ["{ip}:{CONTROL_PORT}"]
coldStart = true
quorumMember = true
periodS = {HEARTBEAT_PERIOD_S}
dataDir = "{folder}/data"
[listen]
control = "{ip}:{CONTROL_PORT}"
[envelope]
memoryMb = 256
diskMb = 64
[robustness]
machines = 0
"""


def percentile(values: Sequence[float], share: float) -> float | None:
    return round(values[min(len(values) - 1, int(share * len(values)))], 2) if values else None


def _cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def _peak_memory_mb(pid: int) -> float:
    line = next(
        line
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if line.startswith("VmHWM")
    )
    return round(int(line.split()[1]) / 1024, 1)


def _exit_with_parent() -> None:
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def exceeds_limit(rows: Sequence[dict[str, Any]]) -> bool:
    """Whether the median run exceeded the limits.

    A run does if no heartbeat was acknowledged, the 99th percentile of the acknowledgement times is
    above `MAX_ACK_MS`, a heartbeat failed or a front lost its connection."""
    exceeded = sorted(
        row["ack 99 ms"] is None
        or row["ack 99 ms"] > MAX_ACK_MS
        or row["beats failed"] > 0
        or row["fronts cut off"] > 0
        for row in rows
    )
    return exceeded[len(exceeded) // 2]


def run(
    kinds: Sequence[str],
    data: dict[str, Any],
    commit: str,
    print_line: Callable[[str], None],
    save: Callable[[], None],
) -> None:
    """Run the named kinds, or all, each until two consecutive sizes exceed the limits.

    Calls `save` after each size. Runs that the file already holds are not repeated."""
    for kind in kinds or SIZES:
        consecutive_over = 0
        for fronts, machines in SIZES[kind]:
            existing = [
                row
                for row in data["carry"]
                if (row["kind"], row["fronts"], row["machines"]) == (kind, fronts, machines)
            ]
            rows = []
            for _ in range(REPEATS - len(existing)):
                rows.append(
                    {
                        "kind": kind,
                        "commit": commit,
                        **asyncio.run(LoadRun(kind, fronts, machines).run()),
                    }
                )
                print_line(" ".join(f"{key}={value}" for key, value in rows[-1].items()))
            data["carry"] += rows
            save()
            consecutive_over = consecutive_over + 1 if exceeds_limit(existing + rows) else 0
            if consecutive_over == 2:
                break
