"""One day of a soak: start a system, disturb it under traffic, let it recover and check it."""

import asyncio
import random
import re
import time
from collections import Counter
from collections.abc import Coroutine
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore

from benchmarks.soak import checks, faults, instance_checks
from benchmarks.soak.clients import BEHAVIOURS, Client, Platform
from benchmarks.soak.envelopes import KEPT, EnvelopeClient, envelope_violations
from benchmarks.soak.instances import Departure, RecordedInstance
from benchmarks.soak.operators import LONG_PREFIXES, PREFIXES, SERVICES, Operators
from benchmarks.soak.processes import Size, SoakGateway
from benchmarks.soak.records import Records
from benchmarks.soak.relays import Relay
from benchmarks.soak.replacements import lose_disk_and_all_processes
from benchmarks.soak.rollouts import play_rollout
from benchmarks.soak.route_probes import RouteProber
from benchmarks.soak.stalls import watch_stalls
from umbermoor.gateway.local.gateway import StepFailedError
from umbermoor.gateway.local.instance import InstanceSettings
from umbermoor.gateway.local.node import HEARTBEAT_INTERVAL_S, ZONES, free_addresses
from umbermoor.gateway.server.metrics import PATH, PORT

WORK_S = {"quick": 0.03, "slow": 0.9, "long": 2.2, "orders": 0.1}
CLIENTS = 18
ENVELOPE_CLIENTS_PER_PROXY = 2
CLIENTS_PER_PROXY = 3  # applies if it gives more than CLIENTS in total
THREADS = 96  # for the blocking calls of operators, instances, the platform and probes
RECOVERY_S = 12.0
SERVE_ON_S = 8.0  # how long an instance that leaves without draining serves on
VIOLATIONS = re.compile(rb'umbermoor_invariant_violations_total\{invariant="(\w+)"\} ([1-9]\d*)')


@dataclass
class Result:
    """Result of a day: violations and counts of what was observed."""

    seed: int
    broken: list[str]
    requests: Counter[str] = field(default_factory=Counter)
    acknowledged: int = 0
    reads: int = 0
    probes: int = 0
    stalled_s: float = 0.0  # of the soak's own event loop

    def line(self) -> str:
        """Return the result as one line of text."""
        seen = ", ".join(f"{name} {count}" for name, count in sorted(self.requests.items()))
        return (
            f"seed {self.seed}: {len(self.broken)} broken; {seen}; "
            f"{self.acknowledged} configurations acknowledged, {self.reads} read, "
            f"{self.probes} probes of routes; stood still {self.stalled_s:.1f} s"
        )


class Day:
    """The processes, instances, clients and operators of one day."""

    def __init__(self, seed: int, folder: Path, size: Size) -> None:
        """Create the day; `folder` must be empty and receives settings, logs and stores."""
        self.seed, self.records = seed, Records()
        self.gateway = SoakGateway(folder, *free_addresses())
        self.gateway.records, self.gateway.size = self.records, size
        self._background_tasks: set[asyncio.Task[None]] = set()
        self.instances: list[RecordedInstance] = []
        self.leaving: list[RecordedInstance] = []  # instances that have left and serve on
        self.operator_relays: dict[str, Relay] = {}  # by controller name
        self._operators: Operators | None = None
        self._rng = random.Random(seed)

    @property
    def instance_relays(self) -> list[Relay]:
        """Relays in front of the running instances."""
        return [instance.relay for instance in self.instances if instance.relay is not None]

    def start_in_background(self, fault: Coroutine[Any, Any, None]) -> None:
        """Start a fault in the background."""
        task = asyncio.create_task(fault)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def run(self, seconds: float) -> Result:
        """Run the day: faults for the given number of seconds, then recovery."""
        tasks: list[asyncio.Task[None]] = []
        try:
            operators = await self._start()
            tasks = self._start_traffic(operators)
            rollout = asyncio.create_task(play_rollout(self, time.monotonic() + seconds))
            tasks.append(rollout)
            await faults.play(self, self.seed, seconds)
            await asyncio.gather(*self._background_tasks)
            await rollout
            await self._recover(operators)
            if not faults.has_calm_controllers(self.seed):
                await lose_disk_and_all_processes(self, self._rng)
                await self._recover(operators)
            ended_at = time.monotonic()
        except StepFailedError as error:
            self.records.broken.append(f"the system did not start or recover: {error}")
            ended_at = time.monotonic()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            counted = await self._counted_violations()
            await self.gateway.stop()
            for instance in (*self.instances, *self.leaving):
                instance.crash()
            for relay in self.operator_relays.values():
                relay.stop()
        broken = checks.violations(self.records, ended_at)
        broken += instance_checks.departure_violations(self.records)
        broken += instance_checks.rollout_violations(self.records)
        broken += envelope_violations(self.records)
        broken += counted + checks.logged_faults(self.gateway.folder)
        return self._result(broken)

    def _result(self, broken: list[str]) -> Result:
        records = self.records
        rollouts = Counter(f"rollout {order.state}" for order in records.rollouts)
        endings = rollouts + Counter(
            f"{request.ending.value} {request.status or ''}".strip()
            for request in records.requests
            if request.ending is not None
        )
        return Result(
            self.seed,
            broken,
            endings,
            len(records.acknowledged),
            len(records.reads),
            len(records.probes),
            sum(stall.ended_at - stall.began_at for stall in records.stalls),
        )

    async def _start(self) -> Operators:
        gateway = self.gateway
        gateway.add_nodes()
        for node in gateway.nodes:
            await gateway.start_node(node, cold=True)
        await gateway.wait_for_chain(gateway.size.controllers)
        for node in gateway.controllers:
            relay = Relay(f"{gateway.network}.41", f"{node.ip}:{gateway.ports.control}")
            await relay.start()
            self.operator_relays[node.name] = relay
        for number in range(len(ZONES)):
            for service in SERVICES.values():
                await self._add_instance(service, ZONES[number])
        self._operators = operators = Operators([], [], self.records)
        self.publish_controllers()
        if not await operators.send():
            raise StepFailedError("the first configuration was not acknowledged")
        await gateway.wait_until_ready()
        for node in gateway.nodes:
            node.restarter = asyncio.create_task(gateway.restart_when_ended(node))
        return operators

    def _start_traffic(self, operators: Operators) -> list[asyncio.Task[None]]:
        gateway = self.gateway
        proxies = {node.name: f"{node.ip}:{gateway.ports.proxy}" for node in gateway.proxies}
        ready = {node.name: f"{node.ip}:{gateway.ports.ready}" for node in gateway.proxies}
        platform = Platform(ready)
        clients = [
            Client(
                platform,
                proxies,
                random.Random(f"{self.seed} client {number}"),
                self.records,
                LONG_PREFIXES
                if BEHAVIOURS[number % len(BEHAVIOURS)].disconnects_early
                else PREFIXES,
                BEHAVIOURS[number % len(BEHAVIOURS)],
            )
            for number in range(max(CLIENTS, CLIENTS_PER_PROXY * gateway.size.proxies))
        ]
        clients += [
            EnvelopeClient(
                platform,
                proxies,
                random.Random(f"{self.seed} envelope client {number}"),
                self.records,
                PREFIXES,
                KEPT,
            )
            for number in range(ENVELOPE_CLIENTS_PER_PROXY * gateway.size.proxies)
        ]
        prober = RouteProber(proxies, self.records, random.Random(f"{self.seed} probes"))
        runs = [
            platform.watch(),
            operators.keep_sending(),
            operators.keep_reading(),
            prober.run(),
            watch_stalls(self.records),
        ]
        return [asyncio.create_task(run) for run in [*runs, *(client.run() for client in clients)]]

    @property
    def control_addresses(self) -> list[str]:
        return [f"{node.ip}:{self.gateway.ports.control}" for node in self.gateway.controllers]

    def publish_controllers(self) -> None:
        """Give operators and instances the addresses of the current controllers."""
        relays = [relay.address for relay in self.operator_relays.values()]
        if self._operators:
            self._operators.use_controllers(relays, self.control_addresses)
        for instance in self.instances:
            instance.control_client.addresses = self.control_addresses

    async def _add_instance(self, service: str, zone: str) -> None:
        gateway = self.gateway
        settings = InstanceSettings(
            service,
            zone,
            capacity=12,
            work_s=WORK_S[service],
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            drain_s=1.0,
        )
        addresses = self.control_addresses
        host = f"{gateway.network}.{31 + ZONES.index(zone)}"
        instance = RecordedInstance(
            f"i-{self._rng.getrandbits(32):08x}", settings, host, addresses, self.records
        )
        await instance.start()
        self.instances.append(instance)

    async def replace_instance(self, instance: RecordedInstance, departure: Departure) -> None:
        """Start a replacement; the old instance departs in the given way."""
        if instance not in self.instances:
            return
        self.instances.remove(instance)
        self.gateway.report(f"replace {instance.id}: {departure.value}")
        await self._add_instance(instance.settings.service, instance.settings.zone)
        if departure is Departure.DRAIN:
            await instance.drain()
        elif departure is Departure.LEAVE_FIRST:
            self.leaving.append(instance)
            await instance.leave_and_serve(SERVE_ON_S)
        else:
            instance.crash()

    async def _recover(self, operators: Operators) -> None:
        """Wait for a complete chain and ready proxies, then replace and read the configuration."""
        await asyncio.wait_for(self._wait_until_complete(), 2 * RECOVERY_S)
        if not await operators.send():
            raise StepFailedError("no configuration was acknowledged after the faults")
        newest = self.records.acknowledged[-1][1]
        await operators.read()
        read = self.records.reads[-self.gateway.size.controllers :]
        if not any(revision >= newest for _, revision in read):
            raise StepFailedError(f"revision {newest} was not read back")

    async def _wait_until_complete(self) -> None:
        """Wait for a complete chain and ready proxies, retrying while processes restart."""
        until = time.monotonic() + RECOVERY_S
        while True:
            try:
                await self.gateway.wait_for_chain(self.gateway.size.controllers)
                await self.gateway.wait_until_ready()
                return
            except StepFailedError:
                if time.monotonic() > until:
                    raise
                await asyncio.sleep(0.5)

    async def _counted_violations(self) -> list[str]:
        """Return the invariant violations that the running programs count in their metrics."""
        found = []
        for node in self.gateway.nodes:
            url = f"http://{node.ip}:{PORT}{PATH}"
            try:
                text = (await asyncio.to_thread(httpcore.request, "GET", url)).content
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                continue
            found += [
                f"{node.name} counts {count.decode()} of {name.decode()}"
                for name, count in VIOLATIONS.findall(text)
            ]
        return found


async def run_day(seed: int, seconds: float, folder: Path, size: Size | None = None) -> Result:
    """Run the day of a seed in an empty folder."""
    asyncio.get_running_loop().set_default_executor(ThreadPoolExecutor(THREADS))
    folder.mkdir(parents=True)
    result = await Day(seed, folder, size or Size()).run(seconds)
    (folder / "result.txt").write_text("\n".join([result.line(), *result.broken]) + "\n")
    return result
