"""Gateways on loopback whose processes run the code of given revisions, and their resource usage.

A revision's programs are started from its own work tree, under the names that they have there.
"""

import asyncio
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from umbermoor.gateway.local.gateway import LocalGateway
from umbermoor.gateway.local.node import Node

EARLIER_LAYOUT = "umbermoor/gateway/barograph"  # package that exists in revisions up to 496b6e6
EARLIER_PROGRAMS = {"controller": "barograph", "proxy": "vane"}
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
CONNECT_AGAIN = 0.005  # s between attempts to connect to a starting process


def has_earlier_names(root: Path) -> bool:
    """Whether the modules and programs of a work tree have their earlier names."""
    return (root / EARLIER_LAYOUT).is_dir()


@dataclass
class MixedGateway(LocalGateway):
    """Local gateway whose nodes may run different revisions."""

    roots: dict[str, Path] = field(default_factory=dict)  # work tree by node name

    def command(self, node: Node) -> list[str]:
        """Return the command that starts the node's program under its name in that revision.

        `-P` keeps the current folder out of the module search path.
        """
        program = node.program
        if has_earlier_names(self.roots[node.name]):
            program = EARLIER_PROGRAMS[program]
        return [sys.executable, "-P", "-m", "umbermoor.gateway", program]

    def environment(self, node: Node) -> dict[str, str]:
        """Return an environment in which modules are searched in the node's work tree first."""
        return {"PYTHONPATH": str(self.roots[node.name])}


def processor_time(pid: int) -> float:
    """Return a process's processor time over all threads in seconds, to a kernel clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def resident_memory(pid: int) -> float:
    """Return the resident memory of a process in MB; raise ValueError if it has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has ended")


async def listens_after(host: str, port: int, within: float = 15.0) -> float:
    """Return the seconds until the address accepts connections, or raise TimeoutError."""
    began = time.monotonic()
    async with asyncio.timeout(within):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(CONNECT_AGAIN)
            else:
                writer.close()
                return time.monotonic() - began
