"""Compares HTTP/1.1 and HTTP/2 to machines: the same day on loopback, with and without restarts.

Usage: python -m benchmarks.carriers [--seconds N] [--plays N] [--machines LIST] [--json FILE]
"""

import sys
import tempfile
from pathlib import Path

from benchmarks.common import show, spread
from umbermoor.lab.day import Clients, Day, FaultInjection, Fronts, Group, Load, ProfileRow
from umbermoor.lab.sockets.runner import play_on_sockets

RATE = 200.0


def day(machines: int, seconds: float, restarts: bool, seed: int) -> Day:
    rows = (
        ProfileRow(name="lookup", share=0.6, work_ms=40, cv=0.5),
        ProfileRow(name="booking", share=0.4, repeat="once", work_ms=40, cv=0.5),
    )
    workers = max(1, round(24 / machines))
    faults = (
        tuple(
            FaultInjection(kind="crash", at_s=2 + turn * 2.0, for_s=1, part=0.2)
            for turn in range(int((seconds - 4) / 2))
        )
        if restarts
        else ()
    )
    return Day(
        name="carriers",
        length_s=seconds,
        seed=seed,
        settle_s=1,
        load=Load(rate=RATE),
        clients=Clients(retries=2),
        front=Fronts(count=1, descriptors=1024),
        profile=rows,
        trouble=faults,
        group=(Group(name="a", machines=machines, workers=workers, warm_s=1),),
    )


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    seconds, plays = float(option("--seconds", "12")), int(option("--plays", "3"))
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        sheet = Path(folder) / "h2.kdl"
        sheet.write_text("front {\n  http2\n}\n")
        for machines in map(int, option("--machines", "12,60,200").split(",")):
            for restarts in (False, True):
                for name, path in (("HTTP/1.1", None), ("HTTP/2", str(sheet))):
                    outcomes = [
                        play_on_sockets(day(machines, seconds, restarts, seed), sheet=path)
                        for seed in range(1, plays + 1)
                    ]
                    rows.append(row(name, machines, restarts, outcomes))
    show(
        f"HTTP/1.1 and HTTP/2 to machines, {RATE:g} queries/s, stand-ins on loopback",
        rows,
        option("--json", "") or None,
    )
    return 0


def row(name: str, machines: int, restarts: bool, outcomes: list[dict]) -> dict:
    def latency(percentile: str) -> str:
        return spread([outcome["profiles"]["lookup"]["ms"][percentile] for outcome in outcomes])

    fronts = [front for outcome in outcomes for front in outcome["fronts"].values()]
    return {
        "carrier": name,
        "machines": machines,
        "restarts": restarts,
        "connections": spread([outcome["connections"] for outcome in outcomes]),
        "descriptors": spread([outcome["peak_fds"] for outcome in fronts]),
        "CPU us a try": spread([outcome["front_cpu_us_a_try"] for outcome in outcomes]),
        "p50 ms": latency("p50"),
        "p99 ms": latency("p99"),
        "p99.9 ms": latency("p99.9"),
        "MB": spread([round(outcome["peak_kb"] / 1024, 1) for outcome in fronts]),
        "in time": spread([outcome["in_time"] for outcome in outcomes]),
        "abandoned": sum(
            sum(p["endings"].get("abandoned", 0) for p in outcome["profiles"].values())
            for outcome in outcomes
        ),
        "breaches": sum(outcome["audit"]["breaches"] for outcome in outcomes),
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
