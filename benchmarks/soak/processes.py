"""The processes of a soak: restarted when they end, as a platform does, and disturbed on purpose."""

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

# In order, killed, or SIGTERM before the program was so far that it handles it.
PAUSE = "pause"
FIRST_CONTROLLER, FIRST_PROXY = 11, 61  # last numbers of addresses
INTERPRETER_START_S = 0.5  # until a program's first statement: SIGHUP would end it
ENDS = (0, -signal.SIGKILL, -signal.SIGTERM)


@dataclass(frozen=True)
class Size:
    """How many processes there are."""

    controllers: int = 3
    proxies: int = 3


class SoakGateway(LocalGateway):
    """Controllers and proxies, three of each or more; what is done to them is recorded."""

    records: Records
    size: Size = Size()

    def report(self, line: str) -> None:
        """Keeps the line for the day's log."""
        with (self.folder / "soak.log").open("a") as file:
            file.write(f"{time.monotonic() - self.began:7.3f} {line}\n")

    def add_nodes(self) -> None:
        """Controllers and proxies, in the zones by turns."""
        for program, name, count, first in (
            (CONTROLLER, "core", self.size.controllers, FIRST_CONTROLLER),
            (PROXY, "front", self.size.proxies, FIRST_PROXY),
        ):
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                ip = f"{self.network}.{first + number}"
                self.nodes.append(Node(f"{name}-{zone}-{number}", program, ip, zone))

    async def start_node(self, node: Node, cold: bool) -> None:
        """Starts a node, and notes when."""
        await super().start_node(node, cold)
        self.records.starts[node.name].append(time.monotonic())

    def hang_up(self, node: Node) -> None:
        """SIGHUP: the settings file may have changed."""
        if time.monotonic() - self.records.starts[node.name][-1] > INTERPRETER_START_S:
            self.report(f"SIGHUP {node.name}")
            send_signal(node.running_process, signal.SIGHUP)

    async def restart_when_ended(self, node: Node) -> None:
        """Starts a node again whenever it ends; an end that nobody asked for is a finding."""
        while True:
            started_at = time.monotonic()
            status = await node.running_process.wait()
            if self.stopping:
                return
            spans = [*self.records.terms, *self.records.disturbed]
            asked = any(one.node == node.name and one.ended_at >= started_at for one in spans)
            self.report(f"{node.name} ended with {status}")
            if not asked or status not in ENDS:
                self.records.broken.append(f"{node.name} ended by itself, status {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_node(node, cold=False)

    async def is_in_chain(self, node: Node) -> bool:
        """Whether a controller says that it is in a chain that serves."""
        response = await asyncio.to_thread(
            ControlClient(()).call_once, f"{node.ip}:{self.ports.control}", "GET", "/Status"
        )
        if not isinstance(response, ControlResponse) or not response.succeeded:
            return False
        return node.ip in json.loads(response.body)["chain"]

    async def terminate(self, node: Node) -> None:
        """SIGTERM, and SIGKILL where the grace is over, as the platform does."""
        process, now = node.running_process, time.monotonic()
        self.report(f"SIGTERM {node.name}")
        self.records.terms.append(Span(node.name, "term", now, now + GRACE_S))
        send_signal(process, signal.SIGTERM)
        ending = asyncio.ensure_future(process.wait())
        await asyncio.wait((ending,), timeout=GRACE_S)
        if process.returncode is None and (
            stalled := stalled_s(self.records, now, time.monotonic())
        ):
            await asyncio.wait((ending,), timeout=stalled)
        if process.returncode is None:
            if not self._was_paused(node, now):
                self.records.broken.append(f"{node.name} outlived its grace")
            await self.kill([node])

    def _was_paused(self, node: Node, since: float) -> bool:
        return any(
            span.node == node.name and span.kind == PAUSE and span.ended_at > since
            for span in self.records.disturbed
        )

    async def kill(self, nodes: Sequence[Node]) -> None:
        """SIGKILL to some at once."""
        for node in nodes:
            self._disturbed(node, "kill", 0)
            send_signal(node.running_process, signal.SIGKILL)

    async def pause(self, node: Node, seconds: float) -> None:
        """Stands still for some time."""
        process = node.running_process
        self._disturbed(node, PAUSE, seconds)
        send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        send_signal(process, signal.SIGCONT)

    def _disturbed(self, node: Node, kind: str, seconds: float) -> None:
        now = time.monotonic()
        self.report(f"{kind} {node.name} {seconds:.2f} s")
        self.records.disturbed.append(Span(node.name, kind, now, now + seconds))
