"""Plays a day on loopback: starts the stand-ins, fronts as operators start them, and the load; then
holds the ledger against what all of them saw. Every process it starts is ended by its id."""

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
from umbermoor.lab.terms import seed_of, settings_of

READY_WITHIN = 20.0  # seconds
LEAD = (
    3.0  # seconds from the start of the stand-ins to the day's beginning, and more for many fronts
)
# microseconds that an answer may be late by the ledger: other processes were on the core
SLACK = 250_000

CROSSING = 5_000  # microseconds by which the notes of two processes may be out of order


class Unplayed(Exception):
    """The day could not be played: one line on what failed."""


class _Front:
    def __init__(
        self, day: Day, name: str, ports: dict[str, Any], folder: Path, root: str, sheet: str | None
    ) -> None:
        self.day, self.name, self._ports, self._folder, self._root = day, name, ports, folder, root
        self._sheet = sheet
        self.port = _free_port()
        self._starts = 0
        self.process: subprocess.Popen | None = None
        self.usage = 0.0
        self.peak_kb = self.peak_fds = 0

    def config(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self._ports['discovery']}",
            "seed": f"{seed_of(self.day, self.name, self._starts):x}",
            "limits": {
                "sockets": self.day.front.descriptors,
                "memory_mb": self.day.front.memory_mb,
            },
            "release_api": {
                "address": f"{LOOPBACK}:{self._ports['platform']}",
                "news": self._ports["news"],
            },
            "known": self._ports["known"],
            "settings": {**settings_of(self.day), "me": int(self.name[1:])},
        }

    def start(self) -> None:
        self._starts += 1
        path = self._folder / f"{self.name}.json"
        path.write_bytes(orjson.dumps(self.config()))
        words = [
            sys.executable,
            "-m",
            "umbermoor",
            "serve",
            "--config",
            str(path),
            "--log",
            "WARNING",
        ]
        words += ["--sheet", self._sheet.replace("NAME", self.name)] if self._sheet else []
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=self._root,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": self._root},
            )

    def up(self) -> bool:
        if self.process.poll() is not None:
            said = (
                (self._folder / f"{self.name}.log")
                .read_text(errors="replace")
                .strip()
                .splitlines()[-1:]
            )
            raise Unplayed(
                f"front {self.name} ended with status {self.process.returncode}: {''.join(said)[:200]}"
            )
        try:
            line = http.client.HTTPConnection(LOOPBACK, self.port, timeout=1)
            line.request("GET", "/up")
            return line.getresponse().status == 200
        except OSError:
            return False

    def look(self) -> None:
        """Its use of the core and its memory, from outside."""
        try:
            with open(f"/proc/{self.process.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            self.usage = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            with open(f"/proc/{self.process.pid}/status") as file:
                self.peak_kb = next(
                    (int(row.split()[1]) for row in file if row.startswith("VmHWM")), self.peak_kb
                )
            self.peak_fds = max(self.peak_fds, len(os.listdir(f"/proc/{self.process.pid}/fd")))
        except (OSError, ValueError, IndexError):
            pass

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.kill()


def _free_port() -> int:
    with socket.socket() as one:
        one.bind((LOOPBACK, 0))
        return one.getsockname()[1]


def play_on_sockets(
    day: Day,
    watch: Callable[[float], None] | None = None,
    given: list[Arrival] | None = None,
    root: str | None = None,
    sheet: str | None = None,
) -> dict[str, Any]:
    """The outcome, in the form of the virtual body's. ``given`` are wishes in place of the day's
    own; ``sheet`` a settings
    sheet for the fronts, NAME in it standing for each one's name. Raises Unplayed."""
    root = root or str(Path(__file__).resolve().parents[3])
    processes: list[subprocess.Popen] = []
    fronts: list[_Front] = []
    with tempfile.TemporaryDirectory(prefix="umbermoor-lab-") as made:
        folder = Path(made)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        wishes = "-"
        if given is not None:
            wishes = str(folder / "wishes.json")
            Path(wishes).write_bytes(orjson.dumps([list(one) for one in given]))
        begin = now() + round((LEAD + 0.3 * day.front.count) * SECOND)
        try:
            stand_ins = _start(
                "stand_ins", folder, str(begin), stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            processes.append(stand_ins)
            line = stand_ins.stdout.readline()
            if not line:
                raise Unplayed("the stand-ins did not start")
            ports = orjson.loads(line)["fronts"]
            fronts = [_Front(day, name, one, folder, root, sheet) for name, one in ports.items()]
            for front in fronts:
                front.start()
            limit = time.monotonic() + READY_WITHIN
            while not all([front.up() for front in fronts]):  # noqa: C419 (each is to be asked)
                if time.monotonic() > limit:
                    raise Unplayed("the fronts were not up in time")
                time.sleep(0.05)
            load = _start(
                "callers", folder, str(begin), wishes, *(str(front.port) for front in fronts)
            )
            processes.append(load)
            dropped = _watch(day, begin, fronts, load, watch)
            for front in fronts:
                front.look()
                front.end()
            stand_ins.stdin.close()
            stand_ins.wait(20)
            if load.returncode or not (folder / "callers.events").exists():
                raise Unplayed(f"the load ended with status {load.returncode}")
            return _outcome(day, begin, folder, fronts, dropped)
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


def stand(day: Day, config: Path, told: Callable[[str], None]) -> int:
    """The stand-ins alone, until they are interrupted, and a front's configuration to start one by
    hand."""
    with tempfile.TemporaryDirectory(prefix="umbermoor-lab-") as made:
        folder = Path(made)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        stand_ins = _start(
            "stand_ins", folder, str(now()), stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        try:
            ports = orjson.loads(stand_ins.stdout.readline())["fronts"]
            front = _Front(day, "n0", ports["n0"], folder, "", None)
            config.write_bytes(orjson.dumps(front.config(), option=orjson.OPT_INDENT_2) + b"\n")
            told(
                f"{len(ports['n0']['known']['hosts'])} machines stand; a front: umbermoor serve --config {config}"
            )
            told(f"its load: umbermoor lab load {day.name} {front.port}")
            stand_ins.wait()
        except KeyboardInterrupt:
            pass
        finally:
            stand_ins.kill()
            stand_ins.wait()
    return 0


def load_only(day: Day, ports: list[int]) -> dict[str, Any] | str:
    """The load against fronts that are there; figures and pace, or what went wrong."""
    with tempfile.TemporaryDirectory(prefix="umbermoor-lab-") as made:
        folder = Path(made)
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


def _start(name: str, folder: Path, *words: str, **pipes: Any) -> subprocess.Popen:
    root = str(Path(__file__).resolve().parents[3])
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            f"umbermoor.lab.sockets.{name}",
            str(folder / "day.json"),
            str(folder / f"{name}.events"),
            *words,
        ],
        cwd=root,
        **pipes,
    )


def _watch(
    day: Day,
    begin: int,
    fronts: list[_Front],
    load: subprocess.Popen,
    watch: Callable[[float], None] | None,
) -> list[list[Any]]:
    """While the load runs: kills, stalls and restarts of fronts. What became of them, as events."""
    chance, due, events = Chance(day.seed), [], []
    for trouble in day.trouble:
        if trouble.kind in ("front-crash", "front-stall"):
            ranked = sorted(
                fronts, key=lambda one, t=trouble: chance.at("struck", t.kind, t.at_s, one.name)
            )
            for front in ranked[: max(1, round(trouble.part * len(ranked)))]:
                at = begin + round(trouble.at_s * SECOND)
                back = at + round(trouble.for_s * SECOND)
                crash = trouble.kind == "front-crash"
                due += [
                    (at, "kill" if crash else "stop", front),
                    (back, "start" if crash else "go", front),
                ]
    due.sort(key=lambda one: one[0])
    while load.poll() is None:
        while due and due[0][0] <= now():
            _, what, front = due.pop(0)
            if what == "kill":
                front.kill()
                events.append([now(), "dropped", front.name])
            elif what == "start":
                front.start()
            elif front.process.poll() is None:
                front.process.send_signal(signal.SIGSTOP if what == "stop" else signal.SIGCONT)
        if watch is not None:
            watch((now() - begin) / SECOND)
        for front in fronts:
            front.look()
        time.sleep(max(0.005, min(0.25, (due[0][0] - now()) / SECOND)) if due else 0.25)
    return events


def _outcome(
    day: Day, begin: int, folder: Path, fronts: list[_Front], dropped: list[list[Any]]
) -> dict[str, Any]:
    load = orjson.loads((folder / "callers.events").read_bytes())
    stand_ins = orjson.loads((folder / "stand_ins.events").read_bytes())
    ledger = Ledger(day, SLACK, CROSSING)
    for at, what, *words in sorted(
        load["events"] + stand_ins["events"] + dropped, key=lambda row: row[0]
    ):
        replay_event(ledger, at, what, words)
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
        "stages": [[round((at - begin) / SECOND, 3), *row] for at, *row in stand_ins["stages"]],
        "audit": {
            "breaches": len(ledger.breaches),
            "by_rule": {str(rule): n for rule, n in by_rule(ledger.breaches).items()},
            "first": [
                [one.rule, one.what, one.query, one.machine, round((one.at - begin) / SECOND, 3)]
                for one in ledger.breaches[:20]
            ],
            "counts": dict(sorted(ledger.counts.items())),
        },
        "machines": stand_ins["machines"],
        "connections": stand_ins["connections"],
        "fronts": {
            front.name: {
                "cpu_s": round(front.usage, 3),
                "peak_kb": front.peak_kb,
                "peak_fds": front.peak_fds,
            }
            for front in fronts
        },
        "front_cpu_us_a_try": round(1e6 * sum(front.usage for front in fronts) / tries, 1),
    }


def replay_event(ledger: Ledger, at: int, what: str, words: list[Any]) -> None:
    """One event of the merged record, as a call on the ledger."""
    match what:
        case "taken":
            ledger.taken(at, *words)
        case "answered":
            ledger.answered(at, *words)
        case "lost" | "gave_up":
            ledger.gave_up(at, words[0])
        case "sent":
            ledger.sent(at, *words)
        case "ran":
            ledger.ran(at, *words)
        case "outcome":
            ledger.outcome(words[0], Ending(words[1]))
        case "told_list":
            ledger.told_list(at, words[0], words[1], Readiness(words[2]))
        case "told_stage":
            ledger.told_stage(at, words[0], words[1], words[2], Phase(words[3]), words[4])
        case "fell":
            ledger.fell(at, words[0])
        case "dropped":
            ledger.dropped(at, words[0])
