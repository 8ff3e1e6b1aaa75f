"""Rolling upgrade from an earlier revision to this one and back, on loopback with real processes.

    python -m benchmarks.rolling_upgrade [--base REVISION]

Replaces three controllers and two proxies one after another while a configuration is sent every
0.15 s and requests flow to each proxy. A node gets SIGTERM and is started again on its own disk
with the other revision's code. The next one follows when all controllers agree on a view of three
members, or the proxy is ready. After each step the newest configuration is read. Prints the
outcomes of the requests, with those to a proxy while it was being replaced listed separately, and
how long no configuration was acknowledged. Exits with status 1 if an acknowledged configuration is
not read, or a request to a proxy that was not being replaced got no response from an instance.
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
SUCCESS = "200"


class Upgrade:
    """Steps of the upgrade and what was observed in them."""

    def __init__(self, gateway: MixedGateway, base: Path) -> None:
        self.gateway, self.base = gateway, base
        self.stream = Stream(gateway)
        self.requests: dict[str, Counter[str]] = {}  # by proxy
        # Outcomes of requests to a proxy during its own replacement.
        self.while_replaced: Counter[str] = Counter()
        self.faults: list[str] = []

    async def run(self) -> bool:
        """Move all nodes to this revision and back; return whether nothing was lost."""
        for name in ("core-north", "core-east", "core-west", "front-north", "front-east"):
            self.gateway.roots[name] = self.base
        await start_system(self.gateway)
        tasks = [asyncio.create_task(self.stream.keep_sending())]
        for node in self.gateway.proxies:
            counts = self.requests[node.name] = Counter()
            tasks.append(
                asyncio.create_task(
                    send_requests(node.ip, self.gateway.ports.proxy, HOST, f"{PREFIX}today", counts)
                )
            )
        try:
            await asyncio.sleep(SETTLE)
            for root, revision_name in (
                (HERE, "this revision"),
                (self.base, "the earlier revision"),
            ):
                for node in [*self.gateway.controllers, *self.gateway.proxies]:
                    await self.replace(node, root, revision_name)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self.read_newest("at the end")
        return self.report()

    async def replace(self, node: Node, root: Path, revision_name: str) -> None:
        """Stop a node and start it again with the code in `root`."""
        began = time.monotonic()
        with self.counted_separately(node):
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
            f"{node.name} runs {revision_name}: ended with {status}, "
            f"in service after {took:.2f} s, "
            f"{self.stream.longest_gap_ms(began):.0f} ms at the most without an acknowledgement"
        )

    @contextmanager
    def counted_separately(self, node: Node) -> Iterator[None]:
        """Count the requests to a proxy separately while it is being replaced."""
        counts = self.requests.get(node.name)
        before = Counter(counts)
        yield
        if counts is not None:
            self.while_replaced += counts - before
            counts.clear()
            counts.update(before)

    async def read_newest(self, when: str) -> None:
        """Record a fault unless the configuration read is at least the newest acknowledged one."""
        acknowledged = self.stream.acknowledged
        call = ControlClient(self.gateway.control_addresses, 5.0).call
        response = await asyncio.to_thread(call, "GET", "/Config.Read")
        if not isinstance(response, ControlResponse) or not response.succeeded:
            self.faults.append(f"{when}: the configuration was not read: {response}")
            return
        revision_read = int(json.loads(response.body)["revision"], 16)
        if revision_read < acknowledged:
            self.faults.append(
                f"{when}: {acknowledged} was acknowledged, and {revision_read} is read"
            )

    def report(self) -> bool:
        """Print the observations; return whether nothing was lost."""
        print_line = self.gateway.report
        print_line(
            f"{len(self.stream.acks) - 1} configurations acknowledged, {self.stream.failed} not"
        )
        for name, counts in self.requests.items():
            print_line(f"{name}: {_format_counts(counts)}")
            for status in counts:
                if status != SUCCESS:
                    self.faults.append(f"{name}: {counts[status]} requests ended in {status}")
        print_line(f"to proxies while they were replaced: {_format_counts(self.while_replaced)}")
        for fault in self.faults:
            print_line(f"fault: {fault}")
        print_line(
            "nothing acknowledged was lost, requests went on" if not self.faults else "failed"
        )
        return not self.faults


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or "none"


async def run(base: Path) -> int:
    """Run the upgrade in a temporary folder and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="umbermoor-upgrade-") as folder:
        gateway = MixedGateway(Path(folder), *free_addresses())
        try:
            return 0 if await Upgrade(gateway, base).run() else 1
        except StepFailedError as error:
            gateway.report(f"failed: {error}")
            return 1
        finally:
            await gateway.stop()


def main(arguments: list[str]) -> int:
    """Create the earlier revision's work tree, run the upgrade and remove the tree."""
    revision = arguments[arguments.index("--base") + 1] if "--base" in arguments else DEFAULT_BASE
    with tempfile.TemporaryDirectory() as folder:
        tree = work_tree(revision, Path(folder))
        try:
            return asyncio.run(run(Path(tree.root)))
        finally:
            drop_tree(tree)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
