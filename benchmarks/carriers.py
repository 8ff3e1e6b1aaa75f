"""HTTP/1.1 against HTTP/2 to machines: the same day on loopback with each, calm and with restarts.

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
    troubles = (
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
        trouble=troubles,
        group=(Group(name="a", machines=machines, workers=workers, warm_s=1),),
    )


def main(words: list[str]) -> int:
    def given(name: str, otherwise: str) -> str:
        return words[words.index(name) + 1] if name in words else otherwise

    seconds, plays = float(given("--seconds", "12")), int(given("--plays", "3"))
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        sheet = Path(folder) / "h2.kdl"
        sheet.write_text("front {\n  http2\n}\n")
        for machines in map(int, given("--machines", "12,60,200").split(",")):
            for restarts in (False, True):
                for name, path in (("HTTP/1.1", None), ("HTTP/2", str(sheet))):
                    found = [
                        play_on_sockets(day(machines, seconds, restarts, seed), sheet=path)
                        for seed in range(1, plays + 1)
                    ]
                    rows.append(row(name, machines, restarts, found))
    show(
        f"HTTP/1.1 and HTTP/2 to machines, {RATE:g} queries/s, stand-ins on loopback",
        rows,
        given("--json", "") or None,
    )
    return 0


def row(name: str, machines: int, restarts: bool, found: list[dict]) -> dict:
    def times(at: str) -> str:
        return spread([one["profiles"]["lookup"]["ms"][at] for one in found])

    fronts = [front for one in found for front in one["fronts"].values()]
    return {
        "carrier": name,
        "machines": machines,
        "restarts": restarts,
        "connections": spread([one["connections"] for one in found]),
        "descriptors": spread([one["peak_fds"] for one in fronts]),
        "CPU us a try": spread([one["front_cpu_us_a_try"] for one in found]),
        "p50 ms": times("p50"),
        "p99 ms": times("p99"),
        "p99.9 ms": times("p99.9"),
        "MB": spread([round(one["peak_kb"] / 1024, 1) for one in fronts]),
        "in time": spread([one["in_time"] for one in found]),
        "abandoned": sum(
            sum(p["endings"].get("abandoned", 0) for p in one["profiles"].values()) for one in found
        ),
        "breaches": sum(one["audit"]["breaches"] for one in found),
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
