"""Simulated machines that run the gateway's unmodified programs: controllers and proxies.

Only this module and `observations` depend on the internals of these programs.
"""

import asyncio
import random
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from umbermoor.gateway.api.http_api import HttpApi
from umbermoor.gateway.config.node_settings import NodeSettings
from umbermoor.gateway.server import proxy as proxy_program
from umbermoor.gateway.server.controller import Controller
from umbermoor.gateway.simulation.schedule import MARGINS
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.simulation.virtual_network import Respond, VirtualHost
from umbermoor.gateway.simulation.virtual_process import VirtualProcess
from umbermoor.gateway.units import MILLISECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

PEER_PORT, CONTROL_PORT = 7620, 8649
PEER_PORT_RANGE = (PEER_PORT, PEER_PORT + 15)
HEARTBEAT_INTERVAL = 1500 * MILLISECOND
DISK_MEGABYTES = 256


class Node:
    """A machine that runs one of the programs. `incarnation` counts the starts of its process."""

    def __init__(
        self, world: "ControlWorld", host: VirtualHost, seeds: tuple[str, ...], zone: str
    ) -> None:
        self.world = world
        self.host = host
        self.zone = zone
        self.incarnation = 0
        self._seeds = tuple(f"{seed}:{CONTROL_PORT}" for seed in seeds)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the seed list, as ip:port, of programs that are started here from now on."""
        self._seeds = seeds

    @property
    def running(self) -> bool:
        """Whether a process runs on the machine, frozen or not."""
        return self.host.process is not None

    @property
    def running_process(self) -> VirtualProcess:
        """The running process; raises RuntimeError if there is none."""
        if self.host.process is None:
            raise RuntimeError(f"{self.host.ip} does not run")
        return self.host.process

    def _start_process(self) -> VirtualProcess:
        self.incarnation += 1
        process = self.host.process = VirtualProcess(self.host)  # type: ignore[abstract]
        return process

    def _program_rng(self) -> random.Random:
        return random.Random(f"{self.world.schedule.seed} {self.host.ip} {self.incarnation}")

    def _watch(self, process: VirtualProcess, task: asyncio.Task[Any]) -> None:
        """Report a violation if the program's main task ends while the process is alive."""

        def ended(task: asyncio.Task[Any]) -> None:
            if not process.dead:
                detail = f"{self.host.ip} ended unexpectedly: {task.exception()!r}"
                self.world.fail(Invariant.PROCESS_EXITED, detail)

        task.add_done_callback(ended)


class ControllerNode(Node):
    """A controller's machine."""

    def __init__(
        self, world: "ControlWorld", host: VirtualHost, seeds: tuple[str, ...], zone: str
    ) -> None:
        super().__init__(world, host, seeds, zone)
        self.program: Controller | None = None  # None while not running
        self._api: HttpApi | None = None

    @property
    def running_program(self) -> Controller:
        """The running program; raises RuntimeError if there is none."""
        if self.program is None:
            raise RuntimeError(f"{self.host.ip} does not run")
        return self.program

    def start(self, cold: bool = False) -> None:
        """Start the program unless it is running; with `cold` as a member of a new system."""
        if self.running:
            return
        self.host.powered = True
        process = self._start_process()
        settings, rng = self._settings(cold), self._program_rng()

        def begin() -> None:
            disk: Any = self.host.disk
            program = Controller(settings, rng, self.host.clock.microseconds, disk)
            self.program, self._api = program, program.make_api()
            process.create_task(program.transport.listen())
            self._watch(process, process.create_task(program.run()))

        process.run(begin)
        self.world.disturbances.controller_disturbed(self.host.ip)

    def _settings(self, cold: bool) -> NodeSettings:
        ip = self.host.ip
        return NodeSettings(
            f"core-{ip}",
            "controller",
            "core",
            ip,
            self.zone,
            PEER_PORT_RANGE,
            seeds=self._seeds,
            cold_start=cold,
            quorum_member=True,
            data_dir=ip,
            heartbeat_interval_us=HEARTBEAT_INTERVAL,
            margins=MARGINS,
            disk_mb=DISK_MEGABYTES,
            listen={"control": (ip, CONTROL_PORT)},
            tolerated_machine_losses=self.world.schedule.tolerated_losses,
        )

    def kill(self, power_lost: bool = False) -> None:
        """Kill the process; with `power_lost` the machine stays off until its next start."""
        process, self.host.process = self.host.process, None
        if process is not None:
            process.kill(power_lost)
        if power_lost:
            self.host.powered = False
        self.program = None
        self.world.disturbances.controller_disturbed(self.host.ip)

    def leave(self) -> None:
        """Send SIGTERM: the program hands over, after which `left` is true."""
        process, program = self.host.process, self.program
        if process is not None and program is not None:
            process.run(lambda: program.shutdown.hand_over(program.clock()))

    @property
    def left(self) -> bool:
        """Whether the program has handed over and can be stopped."""
        return self.program is not None and self.program.shutdown.requested.is_set()

    def handle(
        self, method: str, path: str, body: bytes, process: VirtualProcess, respond: Respond
    ) -> None:
        """Answer a call to the HTTP API of the controller, as its HTTP server does."""
        api = self._api
        if api is None:
            raise RuntimeError(f"{self.host.ip} got a call before it was started")

        async def run() -> None:
            sent: list[dict[str, Any]] = []

            async def receive() -> dict[str, Any]:
                return {"type": "http.request", "body": body}

            async def send(event: dict[str, Any]) -> None:
                sent.append(event)

            await api({"type": "http", "method": method, "path": path}, receive, send)
            respond(sent[0]["status"], sent[1]["body"])

        process.create_task(run())


class ProxyNode(Node):
    """A proxy's machine."""

    def __init__(
        self, world: "ControlWorld", host: VirtualHost, seeds: tuple[str, ...], zone: str
    ) -> None:
        super().__init__(world, host, seeds, zone)
        self.program: proxy_program.Proxy | None = None  # None while not running

    @property
    def running_program(self) -> proxy_program.Proxy:
        """The running program; raises RuntimeError if there is none."""
        if self.program is None:
            raise RuntimeError(f"{self.host.ip} does not run")
        return self.program

    @property
    def ready(self) -> bool:
        """Whether the proxy accepts requests."""
        return self.program is not None and bool(self.program.is_ready)

    def start(self) -> None:
        """Start the program unless it is running."""
        if self.running:
            return
        process, settings, rng = self._start_process(), self._settings(), self._program_rng()
        connections = self.world.traffic.connections_of(self.host.ip)

        def begin() -> None:
            with patch.object(proxy_program, "time", self.host.timer_clock):
                program = proxy_program.Proxy(settings, rng, pool=connections)
            self.program = program
            process.create_task(program.controllers.peers.listen())
            self._watch(process, process.create_task(program.run_ticks()))

        process.run(begin)
        self.world.invariants.proxies.started(self.host.ip)
        self.world.disturbances.proxy_disturbed(self.host.ip)

    def _settings(self) -> NodeSettings:
        return NodeSettings(
            f"front-{self.host.ip}",
            "proxy",
            "front",
            self.host.ip,
            self.zone,
            PEER_PORT_RANGE,
            seeds=self._seeds,
            heartbeat_interval_us=HEARTBEAT_INTERVAL,
            margins=MARGINS,
        )

    def kill(self) -> None:
        """Kill the process."""
        process, self.host.process = self.host.process, None
        if process is not None:
            process.kill(power_lost=False)
        self.program = None
        self.world.disturbances.proxy_disturbed(self.host.ip)

    def leave(self) -> None:
        """Send SIGTERM: the proxy answers requests in flight and accepts no new ones."""
        process, program = self.host.process, self.program
        if process is not None and program is not None:
            process.run(program.drain)
