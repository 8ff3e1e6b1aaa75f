"""A process of the local gateway: its addresses, settings file and start. Linux only."""

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import socket
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ZONES = "north", "east", "west"
HEARTBEAT_INTERVAL_S = 0.5
GRACE_S = 4.0  # from SIGTERM to SIGKILL
REGION = "plot"
CONTROLLER, PROXY = "controller", "proxy"
PR_SET_PDEATHSIG = 1
FIRST_PORT, LAST_PORT = 20_000, 30_000  # below the ephemeral ports of the system
ADDRESS_ATTEMPTS = 50
HOST_NUMBERS = (11, 12, 13, 21, 22)  # last octets of the addresses of all nodes


@dataclass
class Node:
    """A controller or proxy, its address, and its process while it runs."""

    name: str
    program: str
    ip: str
    zone: str
    process: Process | None = None
    restarter: asyncio.Task[None] | None = None

    @property
    def running_process(self) -> Process:
        """The process; raises RuntimeError if it was not started."""
        if self.process is None:
            raise RuntimeError(f"{self.name} does not run")
        return self.process


@dataclass
class Ports:
    """Ports, the same on every address, as in a deployment."""

    proxy: int
    ready: int
    control: int
    peer: int


def free_addresses() -> tuple[str, Ports]:
    """Return the first three octets of a loopback network, and ports that are free on it.

    Raises OSError if there are none.
    """
    last_error = OSError("no free ports")
    for _ in range(ADDRESS_ATTEMPTS):
        network = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        ports = random.sample(range(FIRST_PORT, LAST_PORT), 4)
        try:
            for number in HOST_NUMBERS:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number}", port))
        except OSError as error:
            last_error = error
        else:
            return network, Ports(*ports)
    raise last_error


def settings_text(node: Node, ports: Ports, seeds: Sequence[str], data: Path, cold: bool) -> str:
    """Return a settings file like those of the platform; `data` is a controller's store folder."""
    is_controller = node.program == CONTROLLER
    machine_class, serves = ("core", "controller") if is_controller else ("front", "front")
    listen = (
        {"control": ports.control}
        if is_controller
        else {"front": ports.proxy, "ready": ports.ready}
    )
    top: dict[str, Any] = {
        "nodeName": node.name,
        "role": node.program,
        "machineClass": machine_class,
        "serves": [serves],
        "ip": node.ip,
        "zone": node.zone,
        "region": REGION,
        "portRange": [ports.peer, ports.peer],
        "seeds": list(seeds),
        "coldStart": cold,
        "quorumMember": is_controller,
        "periodS": HEARTBEAT_INTERVAL_S,
        "margins": [f"graceS={GRACE_S:g}", "drainS=1", "retryRatio=0.2", "retryWindowS=10"],
    }
    if is_controller:
        top["dataDir"] = str(data)
    tables: dict[str, dict[str, Any]] = {
        "zones": dict.fromkeys(ZONES, REGION),
        "listen": {key: f"{node.ip}:{port}" for key, port in listen.items()},
        "envelope": {"memoryMb": 256, "diskMb": 64},
        "robustness": {"machines": 1},
    }
    lines = _toml_lines(top)
    for name, table in tables.items():
        lines += [f"[{name}]", *_toml_lines(table)]
    return "\n".join(lines) + "\n"


def _toml_lines(table: Mapping[str, Any]) -> list[str]:
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]


async def start_process(command: Sequence[str], environment: dict[str, str], log: Path) -> Process:
    """Start a process that ends whenever this one ends, with its output appended to `log`."""
    with log.open("ab") as file:
        return await asyncio.create_subprocess_exec(
            *command,
            stdin=DEVNULL,
            stdout=file,
            stderr=file,
            env=environment,
            start_new_session=True,
            preexec_fn=_end_with_parent,
        )


def _end_with_parent() -> None:
    """Request SIGTERM on the end of the parent; runs in the new process before its program."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0)


def send_signal(process: Process, number: signal.Signals) -> None:
    """Send a signal to a process that may have ended.

    `Process.send_signal` is not used: it polls whether the process has ended, which takes the exit
    status away from the task that waits for it.
    """
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
