"""Permanent replacement of controllers, and the loss of a disk at the end of a day.

A replacement has a name, an address and an empty disk of its own, and runs in the zone of the
controller it replaces; either the start or the removal may come first. One controller is replaced
at a time, because the system must tolerate the loss of one.
"""

import asyncio
import random
import shutil
from enum import Enum
from typing import TYPE_CHECKING

from benchmarks.soak.relays import Relay
from umbermoor.gateway.local.node import CONTROLLER, Node

if TYPE_CHECKING:
    from benchmarks.soak.world import Day

FIRST_REPLACEMENT_OCTET = 131  # last octet of the first replacement's address
LONGEST_LEAD_S = 3.5  # from the replacement's start until the old controller is stopped
LONGEST_GAP_S = 1.2  # from the old controller's end until its replacement starts
POLL_INTERVAL_S = 0.2


class Order(Enum):
    """Order of the steps in which a controller is replaced."""

    PLANNED = "planned"  # the replacement starts, then SIGTERM to the old one
    KILLED = "killed"  # the replacement starts, then SIGKILL to the old one
    LOST = "lost"  # SIGKILL to the old one, then the replacement starts


async def replace_controllers(day: "Day", rng: random.Random, until: float) -> None:
    """Replace one controller after another until the event loop's time reaches `until`."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    number = 0
    while loop.time() < until:
        old, order = rng.choice(day.gateway.controllers), rng.choice(list(Order))
        replacement = _make_replacement(day, old, number)
        day.gateway.report(f"replace {old.name} by {replacement.name}, {order.value}")
        if order is Order.LOST:
            await _stop_permanently(day, old, order)
            await asyncio.sleep(rng.uniform(0.0, LONGEST_GAP_S))
            await _start_replacement(day, replacement)
        else:
            await _start_replacement(day, replacement)
            await asyncio.sleep(rng.uniform(0.3, LONGEST_LEAD_S))
            await _stop_permanently(day, old, order)
        await _wait_until_member(day, replacement, until)
        number += 1


def _make_replacement(day: "Day", old: Node, number: int) -> Node:
    ip = f"{day.gateway.network}.{FIRST_REPLACEMENT_OCTET + number}"
    return Node(f"core-{old.zone}-new{number}", CONTROLLER, ip, old.zone)


async def _start_replacement(day: "Day", replacement: Node) -> None:
    gateway = day.gateway
    gateway.nodes.append(replacement)
    await gateway.start_node(replacement, cold=False)
    replacement.restarter = asyncio.create_task(gateway.restart_when_ended(replacement))
    relay = Relay(f"{gateway.network}.41", f"{replacement.ip}:{gateway.ports.control}")
    await relay.start()
    day.operator_relays[replacement.name] = relay
    day.publish_controllers()


async def _stop_permanently(day: "Day", old: Node, order: Order) -> None:
    """Stop a controller without restarting it, and remove it from everyone's addresses."""
    gateway = day.gateway
    await _disable_restart(old)
    if order is Order.PLANNED:
        await gateway.terminate(old)
    else:
        await gateway.kill([old])
    await old.running_process.wait()
    gateway.nodes.remove(old)
    day.operator_relays.pop(old.name).stop()
    day.publish_controllers()


async def _disable_restart(node: Node) -> None:
    """Wait until the node's process runs, then cancel its automatic restart."""
    while node.running_process.returncode is not None:
        await asyncio.sleep(POLL_INTERVAL_S)
    if node.restarter:
        node.restarter.cancel()


async def _wait_until_member(day: "Day", replacement: Node, until: float) -> None:
    """Wait until the replacement is in the chain or the day ends.

    No other controller may be lost before that. Whether the chain became whole is checked at the
    end of the day.
    """
    while asyncio.get_running_loop().time() < until:
        if await day.gateway.is_in_chain(replacement):
            day.gateway.report(f"{replacement.name} is in the chain")
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def lose_disk_and_all_processes(day: "Day", rng: random.Random) -> None:
    """Kill all processes and restart one controller with an empty disk."""
    gateway = day.gateway
    lost = rng.choice(gateway.controllers)
    gateway.report(f"all processes are killed, {lost.name} loses its disk")
    await _disable_restart(lost)
    killed = [(node, node.running_process) for node in gateway.nodes]
    await gateway.kill(gateway.nodes)
    await lost.running_process.wait()
    shutil.rmtree(gateway.folder / f"{lost.name}.data", ignore_errors=True)
    await gateway.start_node(lost, cold=False)
    lost.restarter = asyncio.create_task(gateway.restart_when_ended(lost))
    while any(node.process is process for node, process in killed):
        await asyncio.sleep(POLL_INTERVAL_S)
