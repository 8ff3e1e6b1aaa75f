"""Three controllers and two proxies of an earlier revision replaced by this one, one after another,
and back, on loopback with real processes.

    python -m benchmarks.rolling_upgrade [--base REVISION]

A configuration every 0.15 s and a send_requests of requests to each proxy go on meanwhile. A node is told
to end and started again on its own disk with the other revision's code; the next one follows when
all controllers agree on a view of three, or the proxy is ready. After each step the newest
configuration is read. Prints what became of the requests, apart from those to a proxy while it was
itself replaced, and how long no configuration was acknowledged. Exit status 1 if a configuration
that was acknowledged is not read, or a request to the other proxy had no answer of an instance.
"""

import asyncio
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.members_replaced import Stream
from benchmarks.revisions import MixedGateway
from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.gateway.local.gateway import HOST, PREFIX, StepFailedError
from umbermoor.gateway.local.node import Node, free_addresses, send_signal
from umbermoor.gateway.local.traffic import send_requests
from umbermoor.gateway.local.walkthrough import start_system
from umbermoor.lab.compare import drop_tree, work_tree

DEFAULT_BASE = "496b6e6"
HERE = Path(__file__).parents[1]
SETTLE = 2.0  # s between two steps
GOOD = "200"


class Upgrade:
    """The steps, and what was seen in them."""

    def __init__(self, gateway: MixedGateway, base: Path) -> None:
        self.gateway, self.base = gateway, base
        self.stream = Stream(gateway)
        self.requests: dict[str, Counter[str]] = {}  # by proxy
        self.while_replaced: Counter[str] = Counter()  # of a proxy, to itself
        self.faults: list[str] = []

    async def run(self) -> bool:
        """All nodes to this revision and back; whether nothing was lost."""
        for name in ("core-north", "core-east", "core-west", "front-north", "front-east"):
            self.gateway.roots[name] = self.base
        await start_system(self.gateway)
        tasks = [asyncio.create_task(self.stream.go_on())]
        for node in self.gateway.proxies:
            counts = self.requests[node.name] = Counter()
            tasks.append(
                asyncio.create_task(
                    send_requests(node.ip, self.gateway.ports.proxy, HOST, f"{PREFIX}today", counts)
                )
            )
        try:
            await asyncio.sleep(SETTLE)
            for root, what in ((HERE, "this revision"), (self.base, "the earlier revision")):
                for node in [*self.gateway.controllers, *self.gateway.proxies]:
                    await self.replace(node, root, what)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self.read_newest("at the end")
        return self.report()

    async def replace(self, node: Node, root: Path, what: str) -> None:
        """Ends a node and starts it again with other code."""
        began = time.monotonic()
        with self.apart(node):
            send_signal(node.process, signal.SIGTERM)
            status = await node.process.wait()
            node.process = None
            self.gateway.roots[node.name] = root
            await self.gateway.start_node(node, cold=False)
            if node.program == "controller":
                await self.gateway.wait_for_chain(3)
            else:
                await self.gateway.wait_until_ready()
                await asyncio.sleep(SETTLE)
        took = time.monotonic() - began
        await asyncio.sleep(SETTLE)
        await self.read_newest(f"after {node.name}")
        self.gateway.report(
            f"{node.name} runs {what}: ended with {status}, in service after {took:.2f} s, "
            f"{self.stream.longest(began):.0f} ms at the most without an acknowledgement"
        )

    @contextmanager
    def apart(self, node: Node) -> Iterator[None]:
        """Counts the requests to a proxy apart while it is replaced."""
        counts = self.requests.get(node.name)
        before = Counter(counts)
        yield
        if counts is not None:
            self.while_replaced += counts - before
            counts.clear()
            counts.update(before)

    async def read_newest(self, when: str) -> None:
        """What was acknowledged before is read now."""
        least = self.stream.acknowledged
        call = ControlClient(self.gateway.control_addresses, 5.0).call
        told = await asyncio.to_thread(call, "GET", "/Config.Read")
        if not isinstance(told, ControlResponse) or not told.succeeded:
            self.faults.append(f"{when}: the configuration was not read: {told}")
            return
        held = int(json.loads(told.body)["revision"], 16)
        if held < least:
            self.faults.append(f"{when}: {least} was acknowledged, and {held} is read")

    def report(self) -> bool:
        """Prints what was seen; whether nothing was lost."""
        say = self.gateway.report
        say(f"{len(self.stream.acks) - 1} configurations acknowledged, {self.stream.failed} not")
        for name, counts in self.requests.items():
            say(f"{name}: {_listed(counts)}")
            for status in counts:
                if status != GOOD:
                    self.faults.append(f"{name}: {counts[status]} requests ended in {status}")
        say(f"to proxies while they were replaced: {_listed(self.while_replaced)}")
        for fault in self.faults:
            say(f"fault: {fault}")
        say("nothing acknowledged was lost, requests went on" if not self.faults else "failed")
        return not self.faults


def _listed(counts: Counter[str]) -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or "none"


async def run(base: Path) -> int:
    """Plays it in a temporary folder; the exit status."""
    with tempfile.TemporaryDirectory(prefix="umbermoor-upgrade-") as folder:
        gateway = MixedGateway(Path(folder), *free_addresses())
        try:
            return 0 if await Upgrade(gateway, base).run() else 1
        except StepFailedError as late:
            gateway.report(f"failed: {late}")
            return 1
        finally:
            await gateway.stop()


def main(words: list[str]) -> int:
    """Makes the earlier revision's work tree, plays, and drops it."""
    revision = words[words.index("--base") + 1] if "--base" in words else DEFAULT_BASE
    with tempfile.TemporaryDirectory() as folder:
        tree = work_tree(revision, Path(folder))
        try:
            return asyncio.run(run(Path(tree.root)))
        finally:
            drop_tree(tree)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
