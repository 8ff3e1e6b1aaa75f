"""A small deployment on loopback: settings files, processes, and their ends.

The processes are started with the commands of the deploy file, each on an address of its own. The
bounds are those of the site sfl-umbermoor. Every class of machine has one machine in each zone.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import IO, Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("midtbyen", "lade", "moholt")
REGION = "trondelag"
PERIOD_S = 1.5
CONTACT_S = 3.0
SETTLING_S = 4.0
DRAIN_S = 2.5
GRACE_S = 6.0
CONVERGENCE_S = 2.5
RETRY_SLACK = 58.0
EXPOSURE = 0.1
EXPOSURE_SLACK = 50.0
ROLLBACK_S = 5.0
BAD_ANSWERS = 50  # from the last of which ROLLBACK_S counts
MARGINS = [
    "seedDelayS=3",
    "reuseS=2",
    f"contactS={CONTACT_S:g}",
    "ackS=5",
    f"settlingS={SETTLING_S:g}",
    f"drainS={DRAIN_S:g}",
    f"graceS={GRACE_S:g}",
    "lossSlackS=0.2",
    f"convergenceS={CONVERGENCE_S:g}",
    "revertSlackS=0.25",
    "stretchS=8",
    "retryRatio=0.2",
    "retryWindowS=10",
    f"retrySlack={RETRY_SLACK:g}",
    f"exposure={EXPOSURE:g}",
    f"exposureSlack={EXPOSURE_SLACK:g}",
    f"rollbackS={ROLLBACK_S:g}",
    "recoveryS=15",
]
INVARIANTS = ["base", "drain", "config", "cost", "retry", "recover", "rollout"]
CORE, FRONT = "core", "front"
FIRST_PORT, LAST_PORT = 20_000, 30_000
PORTS = 12  # consecutive, of which the processes among themselves may use the last eight
SERVER_HOSTS = tuple(range(41, 61))  # last octets of the addresses of stand-in servers


class Record:
    """The file `record.txt`: a line for each thing that was sent, answered, run or done."""

    def __init__(self, path: Path) -> None:
        self._file: IO[str] = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, text: str, show: bool = False) -> None:
        """Add a line; with `show`, print it too."""
        line = f"{self.now():9.4f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if show:
            print(line, flush=True)


class Node:
    """A machine of the deployment and its process.

    Attributes:
        started_at: When its present process was started, in seconds of the record.
    """

    def __init__(self, name: str, machine_class: str, ip: str, zone: str) -> None:
        self.name, self.machine_class, self.ip, self.zone = name, machine_class, ip, zone
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0


class Deployment:
    """The processes of one run."""

    def __init__(self, record: Record, fronts_per_zone: int = 1) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network, self.port = free_network()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles: dict[str, tuple[str, dict[str, Any]]] = {
            role["on"]: (name, role) for name, role in deploy["roles"].items()
        }
        self.core = [
            Node(f"core-{zone}-1", CORE, f"{self.network}.{11 + number}", zone)
            for number, zone in enumerate(ZONES)
        ]
        self.fronts = [
            Node(
                f"front-{zone}-{copy + 1}",
                FRONT,
                f"{self.network}.{21 + number + len(ZONES) * copy}",
                zone,
            )
            for copy in range(fronts_per_zone)
            for number, zone in enumerate(ZONES)
        ]

    @property
    def controls(self) -> list[str]:
        """The control addresses."""
        return [f"{node.ip}:{self.port + 2}" for node in self.core]

    def front_address(self, node: Node) -> tuple[str, int]:
        """Return the address of a front for clients."""
        return node.ip, self.port

    def ready_address(self, node: Node) -> tuple[str, int]:
        """Return the address of a front for the platform."""
        return node.ip, self.port + 1

    def start(self, nodes: Iterable[Node], cold: bool = False) -> None:
        """Write the settings of these machines and start their processes."""
        for node in nodes:
            role_name, role = self._roles[node.machine_class]
            settings = self.folder / f"{node.name}.toml"
            settings.write_text(self._settings(node, role_name, role["serves"], cold))
            environment = {
                key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
            }
            environment["UMBERMOOR_SETTINGS"] = str(settings)
            environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
            with (self.folder / f"{node.name}.log").open("ab") as log:
                node.process = subprocess.Popen(  # noqa: S603  # the deploy file's command
                    role["run"].split(),
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )
            node.started_at = self.record.now()
            self.record.write(f"start {node.name} {node.ip} pid {node.process.pid}", show=True)

    def signal(self, nodes: Sequence[Node], number: signal.Signals) -> None:
        """Send a signal to the processes of these machines."""
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                os.kill(node.process.pid, number)
        self.record.write(f"{number.name} to {' '.join(node.name for node in nodes)}", show=True)
        if number is signal.SIGKILL:
            for node in nodes:
                if node.process is not None:
                    node.process.wait()

    def own_ends(self) -> list[str]:
        """Return the machines whose processes have ended."""
        return [
            f"{node.name} {node.process.returncode}"
            for node in (*self.core, *self.fronts)
            if node.process is not None and node.process.poll() is not None
        ]

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for node in (*self.core, *self.fronts):
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, node: Node) -> str:
        """Return what a machine's processes have written."""
        return (self.folder / f"{node.name}.log").read_text(errors="replace")

    def _settings(self, node: Node, role: str, serves: list[str], cold: bool) -> str:
        is_core = node.machine_class == CORE
        top: dict[str, Any] = {
            "nodeName": node.name,
            "role": role,
            "machineClass": node.machine_class,
            "serves": serves,
            "ip": node.ip,
            "zone": node.zone,
            "region": REGION,
            "portRange": [self.port + 4, self.port + PORTS - 1],
            "seeds": self.controls,
            "coldStart": cold,
            "quorumMember": is_core,
            "discovery": "registered",
            "entry": "fixed_address",
            "periodS": PERIOD_S,
            "invariants": INVARIANTS,
            "margins": MARGINS,
            "configMode": "highest",
        }
        listen = {"front": f"{node.ip}:{self.port}", "ready": f"{node.ip}:{self.port + 1}"}
        if is_core:
            top["dataDir"] = str(self.folder / f"{node.name}.data")
            listen = {"control": f"{node.ip}:{self.port + 2}"}
        tables: dict[str, dict[str, Any]] = {
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "envelope": {
                "cpuShare": 0.86,
                "cores": 3 if is_core else 1,
                "memoryMb": 296 if is_core else 300,
                "descriptors": 4096 if is_core else 4100,
                "linkMbps": 1000.0,
                "diskMb": 256 if is_core else 0,
            },
            "robustness": {"machines": 1, "zones": 0, "regions": 0},
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for name, table in tables.items():
            lines += [
                f"[{name}]",
                *(f"{key} = {json.dumps(value)}" for key, value in table.items()),
            ]
        return "\n".join(lines) + "\n"


def free_network() -> tuple[str, int]:
    """Return the first three octets of a loopback network, and the first of PORTS free ports."""
    for _ in range(50):
        network = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        port = random.randrange(FIRST_PORT, LAST_PORT, PORTS)
        hosts = (*range(11, 33), *SERVER_HOSTS)
        if all(
            _is_free(f"{network}.{host}", port + step) for host in hosts for step in range(PORTS)
        ):
            return network, port
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
