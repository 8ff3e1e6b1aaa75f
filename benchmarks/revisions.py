"""Gateways on loopback whose processes run the code of given revisions, and what these cost.

A revision's programs are started from a work tree of its own, by the names that they have there.
"""

import asyncio
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from umbermoor.gateway.local.gateway import LocalGateway
from umbermoor.gateway.local.node import Node

EARLIER_LAYOUT = "umbermoor/gateway/barograph"  # a package of revisions up to 496b6e6
EARLIER_PROGRAMS = {"controller": "barograph", "proxy": "vane"}
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
CONNECT_AGAIN = 0.005  # s between two tries to connect to a process that starts


def has_earlier_names(root: Path) -> bool:
    """Whether a work tree is of a revision whose modules and programs had their earlier names."""
    return (root / EARLIER_LAYOUT).is_dir()


@dataclass
class MixedGateway(LocalGateway):
    """A gateway whose nodes may run different revisions."""

    roots: dict[str, Path] = field(default_factory=dict)  # a node's work tree, by its name

    def command(self, node: Node) -> list[str]:
        """The program by its name in the node's revision; `-P`: not that of the current folder."""
        program = node.program
        if has_earlier_names(self.roots[node.name]):
            program = EARLIER_PROGRAMS[program]
        return [sys.executable, "-P", "-m", "umbermoor.gateway", program]

    def environment(self, node: Node) -> dict[str, str]:
        """The node's work tree comes first where modules are looked for."""
        return {"PYTHONPATH": str(self.roots[node.name])}


def processor_time(pid: int) -> float:
    """Seconds that a process has used, all its threads together, to a tick of the kernel's clock."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def resident_memory(pid: int) -> float:
    """MB that a process holds in memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has ended")


async def listens_after(host: str, port: int, within: float = 15.0) -> float:
    """Seconds until somebody listens there. Raises TimeoutError."""
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
