"""Compares the cost of two revisions in one run.

Measures the processor time of a proxied request, a heartbeat and a configuration change, the
processor time and memory of an idle gateway, and the cost of starting a controller.

    python -m benchmarks.cost_compare [--base REVISION] [--plays N] [--requests N]

The base revision (496b6e6 unless given) gets a work tree in a temporary folder. In each run a
gateway of each revision, three controllers and a proxy, runs on loopback. Blocks of heartbeats and
configuration changes alternate between the two, as do runs of the proxy alone for requests
(benchmarks.answers_cost). Adjacent blocks form a pair, so that other load on the machine affects
both. The kernel counts processor time in ticks of 10 ms.

For each figure, prints the median for each revision, the median of the pairs' ratios and the ratio
of the minima. Exits with status 1 if the median ratio of a processor time or memory figure is above
1.03. Do not run it twice at once; if the machine has other load, say so beside the figures.
"""

import asyncio
import compileall
import json
import random
import statistics
import sys
import tempfile
from pathlib import Path

from benchmarks import answers_cost
from benchmarks.revisions import MixedGateway, listens_after, processor_time, resident_memory
from umbermoor.gateway.local.node import Node, free_addresses
from umbermoor.lab.compare import drop_tree, work_tree

DEFAULT_BASE, DEFAULT_PLAYS, DEFAULT_REQUESTS = "496b6e6", 4, 3000
HERE = Path(__file__).parents[1]
LIMIT = 1.03  # for the median of ratios
INSTANCES = 100  # that send heartbeats
BLOCKS = 4  # of each kind in a run
HEARTBEATS, CHANGES = 600, 20  # per block
WARM_UP_HEARTBEATS, WARM_UP_CHANGES = 300, 5
ROUTES = 200  # in a configuration
CALLS_A_CONNECTION = 500
REST = 10.0  # s, during which an idle gateway is measured
SETTLE = 1.0  # s, before a gateway counts as idle
TAKE_IN = 0.3  # s, until the proxy has applied the last change

REQUEST, HEARTBEAT, CHANGE = "us a proxied request", "us a heartbeat", "ms a change"
CONTROLLERS_AT_REST, PROXY_AT_REST = "ms/s 3 controllers rest", "ms/s proxy rest"
MEMORY_CONTROLLER = "MB controller"
MEMORY_PROXY, START_TIME = "MB proxy", "s to listen"
START_PROCESSOR = "s of processor to start"
Figures = dict[str, list[float]]  # values by figure name
NOT_JUDGED = (START_TIME,)  # wall-clock time depends on other load of the machine


class Connection:
    """HTTP client for one address that reconnects after a controller's limit of calls."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port, self.count = host, port, 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def post(self, path: str, body: bytes) -> int:
        """Send a POST request and return the status of the response."""
        if self.count % CALLS_A_CONNECTION == 0:
            self.close()
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.count += 1
        head = f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode() + body)
        lines = (await self.reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
        await self.reader.readexactly(sum(lengths))
        return int(lines[0].split()[1])

    def close(self) -> None:
        """Close the connection, if open."""
        if self.writer is not None:
            self.writer.close()


class Play:
    """Measurements of a gateway of one revision."""

    def __init__(self, gateway: MixedGateway, root: Path) -> None:
        self.gateway, self.root = gateway, root
        self.values_by_figure: Figures = {}
        self.heartbeats_sent, self.revision = 0, 1

    def record(self, name: str, value: float) -> None:
        """Record a value of a figure."""
        self.values_by_figure.setdefault(name, []).append(value)

    async def warm_up(self) -> None:
        """Run heartbeats and changes without measuring them."""
        self.connection = Connection(self.gateway.controllers[0].ip, self.gateway.ports.control)
        await self.send_heartbeats(WARM_UP_HEARTBEATS)
        await self.send_changes(WARM_UP_CHANGES)

    def node(self, name: str, program: str, last: int, zone: str) -> Node:
        """Add and return a node that runs this revision."""
        node = Node(name, program, f"{self.gateway.network}.{last}", zone)
        self.gateway.roots[name] = self.root
        self.gateway.nodes.append(node)
        return node

    async def start(self) -> None:
        """Start three controllers and a proxy and wait until they are ready."""
        zones = ("north", "east", "west")
        controllers = [
            self.node(f"core-{zone}", "controller", 11 + number, zone)
            for number, zone in enumerate(zones)
        ]
        proxy = self.node("front-north", "proxy", 21, "north")
        for node in (*controllers, proxy):
            await self.gateway.start_node(node, cold=True)
        await self.gateway.wait_for_chain(3)
        await self.gateway.put_configuration(1)
        await self.gateway.wait_until_ready()
        await asyncio.sleep(SETTLE)

    def processor_seconds(self, *programs: str) -> float:
        """Return the seconds of processor time used by nodes that run these programs."""
        return sum(
            processor_time(node.process.pid)
            for node in self.gateway.nodes
            if node.program in programs
        )

    async def rest(self) -> None:
        """Measure memory, and processor time without requests."""
        for program, name in (("controller", MEMORY_CONTROLLER), ("proxy", MEMORY_PROXY)):
            nodes = [node for node in self.gateway.nodes if node.program == program]
            self.record(name, statistics.mean(resident_memory(one.process.pid) for one in nodes))
        before = self.processor_seconds("controller"), self.processor_seconds("proxy")
        await asyncio.sleep(REST)
        processor_seconds = (
            self.processor_seconds("controller") - before[0],
            self.processor_seconds("proxy") - before[1],
        )
        self.record(CONTROLLERS_AT_REST, processor_seconds[0] / REST * 1000)
        self.record(PROXY_AT_REST, processor_seconds[1] / REST * 1000)

    async def heartbeats(self) -> None:
        """Measure a block of sequential heartbeats of many instances to one controller."""
        before = self.processor_seconds("controller")
        await self.send_heartbeats(HEARTBEATS)
        self.record(HEARTBEAT, (self.processor_seconds("controller") - before) / HEARTBEATS * 1e6)

    async def send_heartbeats(self, count: int) -> None:
        """Send `count` heartbeats; raise RuntimeError if one is not accepted."""
        for number in range(self.heartbeats_sent, self.heartbeats_sent + count):
            body = {
                "service": "almanac",
                "address": f"10.1.0.{number % INSTANCES}:80",
                "zone": "north",
                "revision": "v1",
                "capacity": 6,
                "state": "ready",
                "warmupLeftS": 0.0,
                "sample": number,
            }
            path = f"/Plants.Heartbeat/i-{number % INSTANCES:04d}"
            status = await self.connection.post(path, json.dumps(body).encode())
            if status != 200:
                raise RuntimeError(f"heartbeat {number} was answered {status}")
        self.heartbeats_sent += count

    async def changes(self) -> None:
        """Measure a block of sequential configuration changes, until the proxy has applied them."""
        before = self.processor_seconds("controller", "proxy")
        await self.send_changes(CHANGES)
        await asyncio.sleep(TAKE_IN)
        self.record(
            CHANGE, (self.processor_seconds("controller", "proxy") - before) / CHANGES * 1000
        )

    async def send_changes(self, count: int) -> None:
        """Send `count` configurations; raise RuntimeError if one is not accepted."""
        for _ in range(count):
            self.revision += 1
            body = configuration(self.revision)
            status = await self.connection.post("/Config.Replace", body)
            if status != 200:
                raise RuntimeError(f"configuration {self.revision} was answered {status}")


def configuration(revision: int) -> bytes:
    """Return a configuration with many routes, in which each revision changes one route."""
    routes = {
        f"r-{number}": {
            "host": "h.example",
            "prefix": f"/p{number}x{revision if number == revision % ROUTES else 0}/",
            "kind": "safe",
            "horizonS": 2,
            "setpointS": 1,
            "priority": 1,
            "service": "almanac",
            "tries": 2,
        }
        for number in range(ROUTES)
    }
    service = {"probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}
    envelope = {"headerBytes": 16384, "bodyBytes": 1 << 20, "headerS": 3, "idleS": 15}
    body = {
        "revision": f"{revision:08x}",
        "routes": routes,
        "services": {"almanac": service},
        "envelope": envelope,
    }
    return json.dumps(body).encode()


async def start_alone(root: Path) -> tuple[float, float]:
    """Start a controller on an empty disk.

    Returns the seconds until it listens and the seconds of processor time used.
    """
    with tempfile.TemporaryDirectory(prefix="umbermoor-cost-") as folder:
        gateway = MixedGateway(Path(folder), *free_addresses())
        gateway.report = lambda line: None
        node = Play(gateway, root).node("core-alone", "controller", 11, "north")
        try:
            await gateway.start_node(node, cold=True)
            took = await listens_after(node.ip, gateway.ports.control)
            return took, processor_time(node.process.pid)
        finally:
            await gateway.stop()


async def play(roots: dict[str, Path], requests: int) -> dict[str, Figures]:
    """Measure all figures of both revisions, with alternating blocks."""
    names = list(roots)
    with tempfile.TemporaryDirectory(prefix="umbermoor-cost-") as folder:
        plays = {}
        try:
            for name in names:
                gateway = MixedGateway(Path(folder) / name, *free_addresses())
                gateway.folder.mkdir()
                gateway.report = lambda line: None
                plays[name] = Play(gateway, roots[name])
                await plays[name].start()
            await asyncio.gather(*(one.rest() for one in plays.values()))
            for one in plays.values():
                await one.warm_up()
            for _ in range(BLOCKS):
                for name in names:
                    await plays[name].heartbeats()
                for name in names:
                    await plays[name].changes()
                for name in names:
                    plays[name].record(REQUEST, await answers_cost.play(roots[name], requests))
                for name in names:
                    took, processor_seconds = await start_alone(roots[name])
                    plays[name].record(START_TIME, took)
                    plays[name].record(START_PROCESSOR, processor_seconds)
                names.reverse()
        finally:
            for one in plays.values():
                await one.gateway.stop()
    return {name: one.values_by_figure for name, one in plays.items()}


def summary(base: Figures, this: Figures) -> bool:
    """Print medians and ratios; return whether all judged ratios are within the limit."""
    within_limit = True
    for name, earlier in base.items():
        later = this[name]
        ratio = statistics.median(new / old for old, new in zip(earlier, later, strict=True))
        judged = name not in NOT_JUDGED
        within_limit = within_limit and (not judged or ratio <= LIMIT)
        print(
            f"{name:24} base {statistics.median(earlier):9.3f}  this {statistics.median(later):9.3f}"
            f"  median of {len(later)} ratios {ratio:.3f}"
            f"  of the least {min(later) / min(earlier):.3f}"
            f"{'' if ratio <= LIMIT else '  DEARER' if judged else '  (not judged)'}"
        )
    return within_limit


def main(arguments: list[str]) -> int:
    """Run all pairs and return the exit status."""

    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    requests = int(option("--requests", str(DEFAULT_REQUESTS)))
    values_by_figure: dict[str, Figures] = {"base": {}, "this": {}}
    with tempfile.TemporaryDirectory() as folder:
        tree = work_tree(option("--base", DEFAULT_BASE), Path(folder))
        roots = {"base": Path(tree.root), "this": HERE}
        try:
            for root in roots.values():  # otherwise the first start would include compiling
                compileall.compile_dir(root / "umbermoor", quiet=1)
            for number in range(int(option("--plays", str(DEFAULT_PLAYS)))):
                order = random.Random(number).sample(sorted(roots), 2)
                figures = asyncio.run(play({name: roots[name] for name in order}, requests))
                for name, one in figures.items():
                    for figure, values in one.items():
                        values_by_figure[name].setdefault(figure, []).extend(values)
                print(f"play {number + 1} done", flush=True)
        finally:
            drop_tree(tree)
    return 0 if summary(values_by_figure["base"], values_by_figure["this"]) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
