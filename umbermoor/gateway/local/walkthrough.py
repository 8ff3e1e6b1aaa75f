"""The command `python -m umbermoor.gateway local`: a new system, a configuration, a request."""

import asyncio
import contextlib
import shlex
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from umbermoor.gateway.local.gateway import (
    HOST,
    PREFIX,
    SERVICE,
    LocalGateway,
    StepFailedError,
)
from umbermoor.gateway.local.node import Node, free_addresses, send_signal
from umbermoor.gateway.local.traffic import follow_rollouts, send_requests

SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
LOG_LINES_SHOWN = 5
FIRST_REVISION, SECOND_REVISION = 1, 2
FIRST_VERSION = "v1"


async def start_system(gateway: LocalGateway) -> list[str]:
    """Start all nodes and instances, put a configuration and send a request.

    Returns the addresses of the chain.
    """
    gateway.add_nodes()
    for node in gateway.nodes:
        await gateway.start_node(node, cold=True)
    chain = await gateway.wait_for_chain(3)
    for instance in gateway.add_instances(FIRST_VERSION):
        accepted = await instance.start()
        gateway.report(
            f"instance {instance.id} of {SERVICE} on {instance.address}, "
            f"heartbeat {'' if accepted else 'not '}accepted"
        )
    await gateway.put_configuration(FIRST_REVISION)
    await gateway.wait_until_ready()
    await gateway.send_request(gateway.proxies[0])
    return chain


async def kill_head(gateway: LocalGateway, head: str) -> None:
    """Kill the head of the chain, check that the configuration persists, and restart the node."""
    node = next(node for node in gateway.controllers if node.ip == head)
    process = node.running_process
    send_signal(process, signal.SIGKILL)
    await process.wait()
    node.process = None
    gateway.report(f"killed {node.name}, the head")
    await gateway.wait_for_chain(2)
    await gateway.check_configuration(FIRST_REVISION)
    await gateway.send_request(gateway.proxies[0])
    await gateway.put_configuration(SECOND_REVISION)
    await gateway.start_node(node, cold=False)
    await gateway.wait_for_chain(3)
    await gateway.check_configuration(SECOND_REVISION)


async def keep_running(gateway: LocalGateway) -> None:
    """Report all addresses and keep the gateway running under light traffic until cancelled."""
    for node in gateway.nodes:
        node.restarter = asyncio.create_task(gateway.restart_when_ended(node))
    _report_addresses(gateway)
    counts: Counter[str] = Counter()
    try:
        async with asyncio.TaskGroup() as group:
            for node in gateway.proxies:
                group.create_task(
                    send_requests(node.ip, gateway.ports.proxy, HOST, f"{PREFIX}today", counts)
                )
            group.create_task(
                follow_rollouts(
                    SERVICE,
                    gateway.control_addresses,
                    list(gateway.instances),
                    gateway.add_instances,
                    gateway.report,
                )
            )
    finally:
        entries = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
        gateway.report(f"requests: {entries}")


def _report_addresses(gateway: LocalGateway) -> None:
    command = f"{shlex.quote(sys.executable)} -m umbermoor.gateway"
    addresses = " ".join(f"--at {address}" for address in gateway.control_addresses)
    for node in gateway.proxies:
        gateway.report(
            f"{node.name}: requests http://{node.ip}:{gateway.ports.proxy}, "
            f"ready at port {gateway.ports.ready}"
        )
    gateway.report(f"settings and logs: {gateway.folder}")
    url = f"http://{gateway.proxies[0].ip}:{gateway.ports.proxy}{PREFIX}a"
    gateway.report(f"curl -i -H 'Host: {HOST}' -H 'X-Attempt-Id: 1' {url}")
    gateway.report(f"{command} status {addresses}")
    gateway.report(f"{command} rollout begin {SERVICE} v2 --ramp-s 10 {addresses}")
    gateway.report("a trickle of requests; versions named bad... fail; up until Ctrl-C")


async def _run(stay: bool, head_killed: bool) -> int:
    interrupted = _cancel_on_signals()
    with tempfile.TemporaryDirectory(prefix="umbermoor-plot-") as folder:
        try:
            gateway = LocalGateway(Path(folder), *free_addresses())
        except OSError as error:
            print(f"no addresses 127.x.y.z to run on: {error}", file=sys.stderr)
            return 1
        status = 0
        try:
            chain = await start_system(gateway)
            if head_killed:
                await kill_head(gateway, chain[0])
            if stay:
                await keep_running(gateway)
        except asyncio.CancelledError:
            status = 0 if stay else 1
        except StepFailedError as error:
            gateway.report(f"failed: {error}")
            status = 1
        finally:
            interrupted.append(0)
            if status and not stay:
                for node in gateway.nodes:
                    _show_log(gateway, node)
            await gateway.stop()
    return status


def _cancel_on_signals() -> list[int]:
    """Cancel this task on the first signal; return the list that receives its number.

    While the list is not empty, further signals are ignored.
    """
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    received: list[int] = []

    def interrupt(number: int) -> None:
        if not received and task:  # a second Ctrl-C must not interrupt the stop of the processes
            received.append(number)
            task.cancel()

    for number in SIGNALS:
        loop.add_signal_handler(number, interrupt, number)
    return received


def _show_log(gateway: LocalGateway, node: Node) -> None:
    with contextlib.suppress(FileNotFoundError):
        text = (gateway.folder / f"{node.name}.log").read_text(errors="replace")
        for line in text.splitlines()[-LOG_LINES_SHOWN:]:
            print(line, file=sys.stderr, flush=True)


def main(stay: bool, head_killed: bool) -> int:
    """Run the walkthrough.

    Returns 0 if all steps succeeded, or if the gateway ran until it was interrupted; 1 otherwise.
    """
    return asyncio.run(_run(stay, head_killed))
