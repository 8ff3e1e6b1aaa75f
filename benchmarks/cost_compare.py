"""What two revisions cost, in one run: processor time of a proxied request, a heartbeat and a
configuration change, of a gateway at rest, memory at rest, and start-up.

    python -m benchmarks.cost_compare [--base REVISION] [--plays N] [--requests N]

The earlier revision (496b6e6 unless given) gets a work tree of its own in a temporary folder. Each
pair plays both revisions, one after the other, in an order drawn for it. A play runs the proxy
alone for requests (benchmarks.answers_cost), and then three controllers and a proxy on loopback for
the rest. The kernel counts processor time of processes in ticks of 10 ms. Prints each pair, and for
each figure the median of either revision, the median of the pairs' ratios, and the ratio of the
least. Exit status 1 if a median of ratios of processor time or memory is above 1.03.

Run it on a machine that does nothing else, or say that it was busy. Not in parallel to itself.
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
from umbermoor.gateway.local.gateway import Node, _free
from umbermoor.lab.compare import drop_tree, work_tree

DEFAULT_BASE, DEFAULT_PLAYS, DEFAULT_REQUESTS = "496b6e6", 7, 8000
HERE = Path(__file__).parents[1]
LIMIT = 1.03  # of the medians of ratios
INSTANCES = 100  # that send heartbeats
HEARTBEATS, WARM_UP_HEARTBEATS = 3000, 300
CHANGES, ROUTES = 60, 200
CALLS_A_CONNECTION = 500
REST = 4.0  # s: a gateway left alone, measured
SETTLE = 1.0  # s

REQUEST, HEARTBEAT, CHANGE = "us a proxied request", "us a heartbeat", "ms a change"
AT_REST, MEMORY_CONTROLLER = "ms a second at rest", "MB controller"
MEMORY_PROXY, START_TIME = "MB proxy", "s to listen"
START_PROCESSOR = "s of processor to start"
NOT_JUDGED = (START_TIME,)  # time on the wall follows what else the machine does


class Connection:
    """Calls by HTTP to one address, on one connection for as many as a controller takes there."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port, self.count = host, port, 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def post(self, path: str, body: bytes) -> int:
        """The status that a call is answered with."""
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
        """Closes it."""
        if self.writer is not None:
            self.writer.close()


class Play:
    """A gateway of one revision, measured."""

    def __init__(self, gateway: MixedGateway, root: Path) -> None:
        self.gateway, self.root = gateway, root
        self.found: dict[str, float] = {}

    async def run(self) -> dict[str, float]:
        """All figures but that of requests."""
        await self.start()
        await self.rest()
        await self.heartbeats()
        await self.changes()
        return self.found

    def node(self, name: str, program: str, last: int, zone: str) -> Node:
        """A node of this revision."""
        node = Node(name, program, f"{self.gateway.net}.{last}", zone)
        self.gateway.roots[name] = self.root
        self.gateway.nodes.append(node)
        return node

    async def start(self) -> None:
        """Three controllers, the first of them timed, and a proxy that is ready."""
        zones = ("north", "east", "west")
        controllers = [
            self.node(f"core-{zone}", "controller", 11 + number, zone)
            for number, zone in enumerate(zones)
        ]
        proxy = self.node("front-north", "proxy", 21, "north")
        first = controllers[0]
        await self.gateway.start(first, cold=True)
        self.found[START_TIME] = await listens_after(first.ip, self.gateway.ports.control)
        self.found[START_PROCESSOR] = processor_time(first.process.pid)
        for node in (*controllers[1:], proxy):
            await self.gateway.start(node, cold=True)
        await self.gateway.chain(3)
        await self.gateway.put(1)
        await self.gateway.ready()
        await asyncio.sleep(SETTLE)

    def used(self, *programs: str) -> float:
        """Seconds of processor time of the nodes that run these programs."""
        return sum(
            processor_time(node.process.pid)
            for node in self.gateway.nodes
            if node.program in programs
        )

    async def rest(self) -> None:
        """Memory, and processor time while nothing is asked."""
        memory = {
            program: statistics.mean(
                resident_memory(node.process.pid)
                for node in self.gateway.nodes
                if node.program == program
            )
            for program in ("controller", "proxy")
        }
        self.found[MEMORY_CONTROLLER] = memory["controller"]
        self.found[MEMORY_PROXY] = memory["proxy"]
        before = self.used("controller", "proxy")
        await asyncio.sleep(REST)
        self.found[AT_REST] = (self.used("controller", "proxy") - before) / REST * 1000

    async def heartbeats(self) -> None:
        """Heartbeats of many instances, one after the other, to one controller."""
        first = self.gateway.cores[0]
        connection = Connection(first.ip, self.gateway.ports.control)
        await self.send_heartbeats(connection, 0, WARM_UP_HEARTBEATS)
        before = self.used("controller")
        await self.send_heartbeats(connection, WARM_UP_HEARTBEATS, HEARTBEATS)
        self.found[HEARTBEAT] = (self.used("controller") - before) / HEARTBEATS * 1e6
        connection.close()

    async def send_heartbeats(self, connection: Connection, first: int, count: int) -> None:
        """The heartbeats of these numbers."""
        for number in range(first, first + count):
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
            status = await connection.post(path, json.dumps(body).encode())
            if status != 200:
                raise RuntimeError(f"heartbeat {number} was answered {status}")

    async def changes(self) -> None:
        """Configurations of many routes, one after the other, until the proxy has them too."""
        first = self.gateway.cores[0]
        connection = Connection(first.ip, self.gateway.ports.control)
        await self.send_changes(connection, 2, 5)
        before = self.used("controller", "proxy")
        await self.send_changes(connection, 7, CHANGES)
        await asyncio.sleep(SETTLE)
        used = self.used("controller", "proxy") - before
        self.found[CHANGE] = used / CHANGES * 1000
        connection.close()

    async def send_changes(self, connection: Connection, first: int, count: int) -> None:
        """The configurations of these revisions."""
        for revision in range(first, first + count):
            status = await connection.post("/Config.Replace", configuration(revision))
            if status != 200:
                raise RuntimeError(f"configuration {revision} was answered {status}")


def configuration(revision: int) -> bytes:
    """A configuration of many routes; one of them differs from the revision before."""
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


async def play(root: Path, requests: int) -> dict[str, float]:
    """All figures of a revision."""
    found = {REQUEST: await answers_cost.play(root, requests)}
    with tempfile.TemporaryDirectory(prefix="umbermoor-cost-") as folder:
        gateway = MixedGateway(Path(folder), *_free())
        gateway.say = lambda line: None
        try:
            return found | await Play(gateway, root).run()
        finally:
            await gateway.end()


def summary(base: list[dict[str, float]], this: list[dict[str, float]]) -> bool:
    """Prints the medians and ratios; whether all that are judged are within the limit."""
    within = True
    for name in base[0]:
        earlier, later = [one[name] for one in base], [one[name] for one in this]
        ratio = statistics.median(new / old for old, new in zip(earlier, later, strict=True))
        judged = name not in NOT_JUDGED
        within = within and (not judged or ratio <= LIMIT)
        print(
            f"{name:24} base {statistics.median(earlier):9.3f}  this {statistics.median(later):9.3f}"
            f"  ratio {ratio:.3f}  of the least {min(later) / min(earlier):.3f}"
            f"{'' if ratio <= LIMIT else '  DEARER' if judged else '  (not judged)'}"
        )
    return within


def main(words: list[str]) -> int:
    """Plays the pairs; the exit status."""

    def given(name: str, otherwise: str) -> str:
        return words[words.index(name) + 1] if name in words else otherwise

    requests = int(given("--requests", str(DEFAULT_REQUESTS)))
    found: dict[str, list[dict[str, float]]] = {"base": [], "this": []}
    with tempfile.TemporaryDirectory() as folder:
        tree = work_tree(given("--base", DEFAULT_BASE), Path(folder))
        roots = {"base": Path(tree.root), "this": HERE}
        for root in roots.values():  # else the first start of a fresh tree compiles it
            compileall.compile_dir(root / "umbermoor", quiet=1)
        try:
            for pair in range(int(given("--plays", str(DEFAULT_PLAYS)))):
                for name in random.Random(pair).sample(sorted(roots), 2):
                    found[name].append(asyncio.run(play(roots[name], requests)))
                for name in roots:
                    figures = "  ".join(f"{key} {one:.3f}" for key, one in found[name][-1].items())
                    print(f"{pair} {name}: {figures}", flush=True)
        finally:
            drop_tree(tree)
    return 0 if summary(found["base"], found["this"]) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
