"""Processor time per request through the proxy, for two revisions in alternation on loopback.

Usage: python -m benchmarks.answers_cost [--base REVISION] [--this REVISION] [--plays N] [--requests N]

Each run starts one process per revision that runs only the proxy; instances and clients run in the
measuring process. Eight clients send requests one after another, alternating safe and unsafe ones.
Prints the microseconds of processor time per request for each run, the median of the pairs' ratios
and the ratio of the minima. Without --this, the second revision is the current tree.
"""

import ast
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.gateway.proxy_inputs import configuration, settings_text

HERE, CLIENTS = "127.0.0.1", 8
BODY = b"x" * 600
FRONT = r"""
import asyncio, json, logging, random, resource, sys
logging.disable(logging.INFO)
from umbermoor.gateway.config.node_settings import parse_node_settings
from umbermoor.gateway.server.proxy import Proxy

async def main():
    loop = asyncio.get_running_loop()
    proxy = Proxy(parse_node_settings(json.loads(sys.argv[1]).encode()), random.Random(1))
    entries = [[f"i-{n}", "s", address, "z", "v1", 8, 0, 0, 1]
               for n, address in enumerate(json.loads(sys.argv[2]))]
    proxy.controllers.receive(type("Line", (), {"peer": "127.0.0.9"}), {
        "kind": "news", "life": 1, "number": 1, "machines": entries, "register": [0, 0], "keys": {},
        "everyone": ["127.0.0.9"], "head": "127.0.0.9", "firm": True, "revision": 0})
    proxy.controllers.take_configuration({"kind": "body", "text": sys.argv[3]})
    server = await loop.create_server(proxy.clients.accept, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        used = resource.getrusage(resource.RUSAGE_SELF)
        print(used.ru_utime + used.ru_stime, flush=True)

asyncio.run(main())
"""


class Machine(asyncio.Protocol):
    """Instance that answers every request at once with a fixed body."""

    def connection_made(self, transport):
        self.transport, self.buffer = transport, b""

    def data_received(self, data):
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, self.buffer = self.buffer[:end].lower(), self.buffer[end + 4 :]
            id = head.partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                b"Content-Type: text/plain\r\nX-Load-Level: 1,0,8\r\nKeep-Alive: timeout=9\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (id, len(BODY), BODY)
            )


async def client(port: int, number: int, count: int) -> None:
    stream, writer = await asyncio.open_connection(HERE, port)
    for index in range(count):
        kind, method = (("safe", "GET"), ("unsafe", "DELETE"))[index % 2]
        writer.write(
            f"{method} /{kind}/{index}?q=1 HTTP/1.1\r\nHost: h\r\n"
            f"X-Attempt-Id: {number:04x}{index:08x}\r\n"
            f"X-Time-Remaining: 900\r\nAccept: */*\r\nUser-Agent: cost\r\n\r\n".encode()
        )
        head = await stream.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200") and await stream.readexactly(len(BODY)) == BODY, (
            head
        )
    writer.close()


def proxy_program(root: Path) -> str:
    """Return the program that runs a revision's proxy.

    It is read from the revision's own tree, because module names differ between revisions.
    """
    module = ast.parse((root / "benchmarks" / "answers_cost.py").read_text())
    return next(
        statement.value.value
        for statement in module.body
        if isinstance(statement, ast.Assign) and ast.unparse(statement.targets[0]) == "FRONT"
    )


async def play(root: Path, count: int) -> float:
    """Return the microseconds of processor time per request of the proxy in a tree."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Machine, HERE, 0) for _ in range(4)]
    addresses = [f"{HERE}:{server.sockets[0].getsockname()[1]}" for server in servers]
    front = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        proxy_program(root),
        json.dumps(settings_text()),
        json.dumps(addresses),
        json.dumps(configuration()),
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        port = int(await front.stdout.readline())

        async def processor_seconds() -> float:
            front.stdin.write(b"\n")
            return float(await front.stdout.readline())

        await asyncio.gather(*(client(port, number, 200) for number in range(CLIENTS)))
        before = await processor_seconds()
        await asyncio.gather(*(client(port, number, count // CLIENTS) for number in range(CLIENTS)))
        return (await processor_seconds() - before) / (count // CLIENTS * CLIENTS) * 1e6
    finally:
        front.kill()
        await front.wait()
        for server in servers:
            server.close()


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    from umbermoor.lab.compare import drop_tree, work_tree

    count, ratios, costs = int(option("--requests", "8000")), [], {"base": [], "this": []}
    with tempfile.TemporaryDirectory() as folder:
        trees = {"base": work_tree(option("--base", "13e5390"), Path(folder))}
        if "--this" in arguments:
            trees["this"] = work_tree(option("--this", ""), Path(folder))
        roots = {
            "this": Path(__file__).parents[1],
            **{name: Path(tree.root) for name, tree in trees.items()},
        }
        try:
            for pair in range(int(option("--plays", "7"))):
                names = random.Random(pair).sample(sorted(roots), 2)
                cost = {name: asyncio.run(play(roots[name], count)) for name in names}
                for name, microseconds in cost.items():
                    costs[name].append(microseconds)
                ratios.append(cost["this"] / cost["base"])
                print(
                    f"base {cost['base']:.1f} us, this {cost['this']:.1f} us, ratio {ratios[-1]:.3f}",
                    flush=True,
                )
        finally:
            for tree in trees.values():
                drop_tree(tree)
    ratio_of_minima = min(costs["this"]) / min(costs["base"])
    print(
        f"median of {len(ratios)} ratios {statistics.median(ratios):.3f}, "
        f"ratio of the least {ratio_of_minima:.3f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
