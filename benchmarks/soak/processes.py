"""Processes of a soak: restarted when they exit, as by a platform, and disturbed deliberately."""

import asyncio
import json
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.soak.records import Records, Span
from benchmarks.soak.stalls import stalled_s
from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.gateway.local.gateway import RESTART_DELAY_S, LocalGateway
from umbermoor.gateway.local.node import CONTROLLER, GRACE_S, PROXY, ZONES, Node, send_signal

PAUSE = "pause"
FIRST_CONTROLLER, FIRST_PROXY = 11, 61  # last octets of addresses
# Until the program has run its first statement, SIGHUP would terminate it.
INTERPRETER_START_S = 0.5
# Expected exit statuses: a clean exit, SIGKILL, and SIGTERM before its handler was installed.
EXPECTED_EXIT_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)


@dataclass(frozen=True)
class Size:
    """Numbers of processes."""

    controllers: int = 3
    proxies: int = 3


class SoakGateway(LocalGateway):
    """Gateway of at least three controllers and proxies that records each disturbance."""

    records: Records
    size: Size = Size()

    def report(self, line: str) -> None:
        """Append the line to the day's log."""
        with (self.folder / "soak.log").open("a") as file:
            file.write(f"{time.monotonic() - self.began:7.3f} {line}\n")

    def add_nodes(self) -> None:
        """Add controllers and proxies, spread round-robin over the zones."""
        for program, name, count, first in (
            (CONTROLLER, "core", self.size.controllers, FIRST_CONTROLLER),
            (PROXY, "front", self.size.proxies, FIRST_PROXY),
        ):
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                ip = f"{self.network}.{first + number}"
                self.nodes.append(Node(f"{name}-{zone}-{number}", program, ip, zone))

    async def start_node(self, node: Node, cold: bool) -> None:
        """Start a node and record the time."""
        await super().start_node(node, cold)
        self.records.starts[node.name].append(time.monotonic())

    def hang_up(self, node: Node) -> None:
        """Send SIGHUP, which makes the program reload its settings file."""
        if time.monotonic() - self.records.starts[node.name][-1] > INTERPRETER_START_S:
            self.report(f"SIGHUP {node.name}")
            send_signal(node.running_process, signal.SIGHUP)

    async def restart_when_ended(self, node: Node) -> None:
        """Restart a node whenever it exits; record an unexpected exit as a violation."""
        while True:
            started_at = self.records.starts[node.name][-1]
            status = await node.running_process.wait()
            if self.stopping:
                return
            disturbances = [*self.records.terms, *self.records.disturbed]
            expected = any(
                span.node == node.name and span.ended_at >= started_at for span in disturbances
            )
            self.report(f"{node.name} exited with status {status}")
            if not expected or status not in EXPECTED_EXIT_STATUSES:
                self.records.broken.append(f"{node.name} exited unexpectedly with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_node(node, cold=False)

    async def is_in_chain(self, node: Node) -> bool:
        """Whether a controller reports that it is part of a serving chain."""
        response = await asyncio.to_thread(
            ControlClient(()).call_once, f"{node.ip}:{self.ports.control}", "GET", "/Status"
        )
        if not isinstance(response, ControlResponse) or not response.succeeded:
            return False
        return node.ip in json.loads(response.body)["chain"]

    async def terminate(self, node: Node) -> None:
        """Send SIGTERM, then SIGKILL after the grace period, as the platform does."""
        process, now = node.running_process, time.monotonic()
        self.report(f"SIGTERM {node.name}")
        self.records.terms.append(Span(node.name, "term", now, now + GRACE_S))
        send_signal(process, signal.SIGTERM)
        exited = asyncio.ensure_future(process.wait())
        await asyncio.wait((exited,), timeout=GRACE_S)
        if process.returncode is None and (
            stalled := stalled_s(self.records, now, time.monotonic())
        ):
            await asyncio.wait((exited,), timeout=stalled)
        if process.returncode is None:
            if not self._was_paused(node, now):
                self.records.broken.append(f"{node.name} did not exit within its grace period")
            await self.kill([node])

    def _was_paused(self, node: Node, since: float) -> bool:
        return any(
            span.node == node.name and span.kind == PAUSE and span.ended_at > since
            for span in self.records.disturbed
        )

    async def kill(self, nodes: Sequence[Node]) -> None:
        """Send SIGKILL to several nodes at once."""
        for node in nodes:
            self._record_disturbance(node, "kill", 0)
            send_signal(node.running_process, signal.SIGKILL)

    async def pause(self, node: Node, seconds: float) -> None:
        """Stop a process with SIGSTOP for some seconds, then resume it."""
        process = node.running_process
        self._record_disturbance(node, PAUSE, seconds)
        send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        send_signal(process, signal.SIGCONT)

    def _record_disturbance(self, node: Node, kind: str, seconds: float) -> None:
        now = time.monotonic()
        self.report(f"{kind} {node.name} {seconds:.2f} s")
        self.records.disturbed.append(Span(node.name, kind, now, now + seconds))
