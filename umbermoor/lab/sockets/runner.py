"""Plays a day on loopback, with processes for the stand-ins, the fronts and the load.

Fronts are started as operators start them. After the day, the audit checks the merged events of all
processes. Each process that is started is ended by its id.
"""

import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import orjson

from umbermoor.front.interface import Ending, Phase, Readiness
from umbermoor.lab.audit import Ledger, by_rule
from umbermoor.lab.chance import Chance
from umbermoor.lab.day import SECOND, Day
from umbermoor.lab.demand import Arrival
from umbermoor.lab.sockets.common import LOOPBACK, now
from umbermoor.lab.terms import front_seed, start_settings

READY_TIMEOUT_S = 20.0
LEAD_S = 3.0  # from the start of the stand-ins to that of the day; each front adds 0.3 s
# Microseconds an answer may be late in the audit, as other processes share the cores.
SLACK = 250_000

CROSSING = 5_000  # microseconds by which the events of two processes may be out of order


class PlayFailed(Exception):
    """The day could not be played; the message says in one line what failed."""


class _Front:
    """A front as a process, with its configuration and its use of resources."""

    def __init__(
        self, day: Day, name: str, ports: dict[str, Any], folder: Path, root: str, sheet: str | None
    ) -> None:
        self.day, self.name, self._ports, self._folder, self._root = day, name, ports, folder, root
        self._sheet = sheet
        self.port = _free_port()
        self._start_count = 0
        self.process: subprocess.Popen | None = None
        self.cpu_s = 0.0
        self.peak_kb = self.peak_fds = 0

    def config(self) -> dict[str, Any]:
        """Return the front's configuration."""
        return {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self._ports['discovery']}",
            "seed": f"{front_seed(self.day, self.name, self._start_count):x}",
            "limits": {
                "sockets": self.day.front.descriptors,
                "memory_mb": self.day.front.memory_mb,
            },
            "release_api": {
                "address": f"{LOOPBACK}:{self._ports['platform']}",
                "news": self._ports["news"],
            },
            "known": self._ports["known"],
            "settings": {**start_settings(self.day), "me": int(self.name[1:])},
        }

    def start(self) -> None:
        """Write the configuration and start the process."""
        self._start_count += 1
        path = self._folder / f"{self.name}.json"
        path.write_bytes(orjson.dumps(self.config()))
        command = [
            sys.executable,
            "-m",
            "umbermoor",
            "serve",
            "--config",
            str(path),
            "--log",
            "WARNING",
        ]
        command += ["--sheet", self._sheet.replace("NAME", self.name)] if self._sheet else []
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=self._root,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": self._root},
            )

    def is_up(self) -> bool:
        """Whether the front answers its health check.

        Raises:
            PlayFailed: its process has ended.
        """
        if self.process.poll() is not None:
            last_line = (
                (self._folder / f"{self.name}.log")
                .read_text(errors="replace")
                .strip()
                .splitlines()[-1:]
            )
            raise PlayFailed(
                f"front {self.name} ended with status {self.process.returncode}: {''.join(last_line)[:200]}"
            )
        try:
            connection = http.client.HTTPConnection(LOOPBACK, self.port, timeout=1)
            connection.request("GET", "/up")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def read_usage(self) -> None:
        """Read the use of CPU, memory and descriptors from /proc."""
        try:
            with open(f"/proc/{self.process.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            self.cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            with open(f"/proc/{self.process.pid}/status") as file:
                self.peak_kb = next(
                    (int(row.split()[1]) for row in file if row.startswith("VmHWM")), self.peak_kb
                )
            self.peak_fds = max(self.peak_fds, len(os.listdir(f"/proc/{self.process.pid}/fd")))
        except (OSError, ValueError, IndexError):
            pass

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def end(self) -> None:
        """Stop the process with SIGTERM, and kill it if it runs after 10 s."""
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.kill()


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def play_on_sockets(
    day: Day,
    on_progress: Callable[[float], None] | None = None,
    arrivals: list[Arrival] | None = None,
    root: str | None = None,
    sheet: str | None = None,
) -> dict[str, Any]:
    """Play a day on loopback; return its outcome in the form that virtual time gives.

    Args:
        day: what is played.
        on_progress: called several times a second with the seconds since the day's start.
        arrivals: first queries in place of the day's load.
        root: work tree whose fronts are started; None: this one.
        sheet: path of the fronts' settings; NAME in it stands for a front's name.

    Raises:
        PlayFailed: the day could not be played.
    """
    root = root or str(Path(__file__).resolve().parents[3])
    processes: list[subprocess.Popen] = []
    fronts: list[_Front] = []
    with tempfile.TemporaryDirectory(prefix="umbermoor-lab-") as temporary:
        folder = Path(temporary)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        arrivals_path = "-"
        if arrivals is not None:
            arrivals_path = str(folder / "wishes.json")
            Path(arrivals_path).write_bytes(orjson.dumps([list(arrival) for arrival in arrivals]))
        day_start = now() + round((LEAD_S + 0.3 * day.front.count) * SECOND)
        try:
            stand_ins = _start(
                "stand_ins", folder, str(day_start), stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            processes.append(stand_ins)
            line = stand_ins.stdout.readline()
            if not line:
                raise PlayFailed("the stand-ins did not start")
            ports = orjson.loads(line)["fronts"]
            fronts = [
                _Front(day, name, endpoints, folder, root, sheet)
                for name, endpoints in ports.items()
            ]
            for front in fronts:
                front.start()
            limit = time.monotonic() + READY_TIMEOUT_S
            while not all([front.is_up() for front in fronts]):  # noqa: C419 (check each)
                if time.monotonic() > limit:
                    raise PlayFailed("the fronts were not ready in time")
                time.sleep(0.05)
            load = _start(
                "callers",
                folder,
                str(day_start),
                arrivals_path,
                *(str(front.port) for front in fronts),
            )
            processes.append(load)
            dropped = _inject_front_faults(day, day_start, fronts, load, on_progress)
            for front in fronts:
                front.read_usage()
                front.end()
            stand_ins.stdin.close()
            stand_ins.wait(20)
            if load.returncode or not (folder / "callers.events").exists():
                raise PlayFailed(f"the load ended with status {load.returncode}")
            return _outcome(day, day_start, folder, fronts, dropped)
        finally:
            for front in fronts:
                front.kill()
            for process in processes:
                if process.poll() is None:
                    process.kill()
                    process.wait()
                for pipe in (process.stdin, process.stdout):
                    if pipe is not None and not pipe.closed:
                        pipe.close()


def run_stand_ins(day: Day, config: Path, say: Callable[[str], None]) -> int:
    """Run the stand-ins alone until they are interrupted.

    Args:
        day: what they stand for.
        config: where a configuration is written with which a front can be started by hand.
        say: called with lines that say how to start a front and its load.
    """
    with tempfile.TemporaryDirectory(prefix="umbermoor-lab-") as temporary:
        folder = Path(temporary)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        stand_ins = _start(
            "stand_ins", folder, str(now()), stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        try:
            ports = orjson.loads(stand_ins.stdout.readline())["fronts"]
            front = _Front(day, "n0", ports["n0"], folder, "", None)
            config.write_bytes(orjson.dumps(front.config(), option=orjson.OPT_INDENT_2) + b"\n")
            say(
                f"{len(ports['n0']['known']['hosts'])} machines stand; a front: umbermoor serve --config {config}"
            )
            say(f"its load: umbermoor lab load {day.name} {front.port}")
            stand_ins.wait()
        except KeyboardInterrupt:
            pass
        finally:
            stand_ins.kill()
            stand_ins.wait()
    return 0


def load_only(day: Day, ports: list[int]) -> dict[str, Any] | str:
    """Run the load against running fronts; return its figures and pace, or what went wrong."""
    with tempfile.TemporaryDirectory(prefix="umbermoor-lab-") as temporary:
        folder = Path(temporary)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        load = _start("callers", folder, str(now() + SECOND), "-", *map(str, ports))
        try:
            status = load.wait(day.length_s + 120)
        finally:
            load.kill()
            load.wait()
        if status or not (folder / "callers.events").exists():
            return f"the load ended with status {status}"
        return orjson.loads((folder / "callers.events").read_bytes())


def _start(name: str, folder: Path, *arguments: str, **pipes: Any) -> subprocess.Popen:
    root = str(Path(__file__).resolve().parents[3])
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            f"umbermoor.lab.sockets.{name}",
            str(folder / "day.json"),
            str(folder / f"{name}.events"),
            *arguments,
        ],
        cwd=root,
        **pipes,
    )


def _inject_front_faults(
    day: Day,
    day_start: int,
    fronts: list[_Front],
    load: subprocess.Popen,
    on_progress: Callable[[float], None] | None,
) -> list[list[Any]]:
    """Inject the day's faults into fronts until the load ends; return the kills as events."""
    chance, due, events = Chance(day.seed), [], []
    for trouble in day.trouble:
        if trouble.kind in ("front-crash", "front-stall"):
            ranked = sorted(
                fronts, key=lambda front, t=trouble: chance.at("struck", t.kind, t.at_s, front.name)
            )
            for front in ranked[: max(1, round(trouble.part * len(ranked)))]:
                at = day_start + round(trouble.at_s * SECOND)
                back_at = at + round(trouble.for_s * SECOND)
                is_crash = trouble.kind == "front-crash"
                due += [
                    (at, "kill" if is_crash else "stop", front),
                    (back_at, "start" if is_crash else "go", front),
                ]
    due.sort(key=lambda row: row[0])
    while load.poll() is None:
        while due and due[0][0] <= now():
            _, action, front = due.pop(0)
            if action == "kill":
                front.kill()
                events.append([now(), "dropped", front.name])
            elif action == "start":
                front.start()
            elif front.process.poll() is None:
                front.process.send_signal(signal.SIGSTOP if action == "stop" else signal.SIGCONT)
        if on_progress is not None:
            on_progress((now() - day_start) / SECOND)
        for front in fronts:
            front.read_usage()
        time.sleep(max(0.005, min(0.25, (due[0][0] - now()) / SECOND)) if due else 0.25)
    return events


def _outcome(
    day: Day, day_start: int, folder: Path, fronts: list[_Front], dropped: list[list[Any]]
) -> dict[str, Any]:
    load = orjson.loads((folder / "callers.events").read_bytes())
    stand_ins = orjson.loads((folder / "stand_ins.events").read_bytes())
    ledger = Ledger(day, SLACK, CROSSING)
    for at, what, *fields in sorted(
        load["events"] + stand_ins["events"] + dropped, key=lambda row: row[0]
    ):
        replay_event(ledger, at, what, fields)
    ledger.close(now())
    tries = max(1, ledger.counts["taken"])
    return {
        "day": day.name,
        "seed": day.seed,
        "body": "sockets",
        **load["figures"],
        "series": load["series"],
        "honest": load["pace"]["honest"],
        "pace": load["pace"],
        "stages": [[round((at - day_start) / SECOND, 3), *row] for at, *row in stand_ins["stages"]],
        "audit": {
            "breaches": len(ledger.breaches),
            "by_rule": {str(rule): n for rule, n in by_rule(ledger.breaches).items()},
            "first": [
                [
                    breach.rule,
                    breach.description,
                    breach.query,
                    breach.machine,
                    round((breach.at - day_start) / SECOND, 3),
                ]
                for breach in ledger.breaches[:20]
            ],
            "counts": dict(sorted(ledger.counts.items())),
        },
        "machines": stand_ins["machines"],
        "connections": stand_ins["connections"],
        "fronts": {
            front.name: {
                "cpu_s": round(front.cpu_s, 3),
                "peak_kb": front.peak_kb,
                "peak_fds": front.peak_fds,
            }
            for front in fronts
        },
        "front_cpu_us_a_try": round(1e6 * sum(front.cpu_s for front in fronts) / tries, 1),
    }


def replay_event(ledger: Ledger, at: int, what: str, fields: list[Any]) -> None:
    """Pass an event of the merged record to the audit."""
    match what:
        case "taken":
            ledger.taken(at, *fields)
        case "answered":
            ledger.answered(at, *fields)
        case "lost" | "gave_up":
            ledger.gave_up(at, fields[0])
        case "sent":
            ledger.sent(at, *fields)
        case "ran":
            ledger.ran(at, *fields)
        case "outcome":
            ledger.outcome(fields[0], Ending(fields[1]))
        case "told_list":
            ledger.told_list(at, fields[0], fields[1], Readiness(fields[2]))
        case "told_stage":
            ledger.told_stage(at, fields[0], fields[1], fields[2], Phase(fields[3]), fields[4])
        case "fell":
            ledger.fell(at, fields[0])
        case "dropped":
            ledger.dropped(at, fields[0])
