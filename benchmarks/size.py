"""Measures the virtual fleet at different sizes: wall time, events per second, memory and growth.

Usage: python -m benchmarks.size [--seconds N] [--profile] [--json FILE]
"""

import cProfile
import pstats
import resource
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks.common import show
from umbermoor.lab.day import Day, Fronts, Group, Load, ProfileRow
from umbermoor.lab.fleet import Fleet
from umbermoor.lab.statistics import growth

SIZES = ((10, 12), (10, 60), (100, 12), (100, 60), (100, 500), (500, 60), (500, 500))
# Queries per second: about half the capacity of 3 workers with 0.18 s of work per query.
RATE_PER_MACHINE = 8.0


def day(fronts: int, machines: int, seconds: float) -> Day:
    rows = (
        ProfileRow(name="lookup", share=0.68, work_ms=180),
        ProfileRow(name="booking", share=0.32, repeat="once", work_ms=180),
    )
    return Day(
        name=f"{fronts}x{machines}",
        length_s=seconds,
        seed=1,
        settle_s=min(2.0, seconds / 2),
        load=Load(rate=RATE_PER_MACHINE * machines),
        front=Fronts(count=fronts),
        profile=rows,
        group=(Group(name="a", machines=machines, workers=3),),
    )


def measure(size: tuple[int, int, float]) -> dict:
    fronts, machines, seconds = size
    started = time.perf_counter()
    fleet = Fleet(day(fronts, machines, seconds)).play()
    wall = time.perf_counter() - started
    return {
        "fronts": fronts,
        "machines": machines,
        "queries": fleet.ledger.counts["taken"],
        "wall s": round(wall, 2),
        "wall s a virtual s": round(wall / seconds, 3),
        "us a query": round(1e6 * wall / fleet.ledger.counts["taken"], 1),
        "events/s": round(fleet.events / wall),
        "MB": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        "in time": fleet.measure.figures()["in_time"],
        "breaches": len(fleet.ledger.breaches),
    }


def main(arguments: list[str]) -> int:
    seconds = (
        float(arguments[arguments.index("--seconds") + 1]) if "--seconds" in arguments else 10.0
    )
    out = arguments[arguments.index("--json") + 1] if "--json" in arguments else None
    if "--profile" in arguments:
        profiler = cProfile.Profile()
        profiler.enable()
        Fleet(day(100, 500, seconds)).play()
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(18)
        return 0
    with ProcessPoolExecutor(4, max_tasks_per_child=1) as pool:
        rows = list(pool.map(measure, [(*size, seconds) for size in SIZES]))
    show(f"The virtual fleet at size, {seconds:g} s of a day", rows, out)
    for name, rows_in_group in (
        ("machines, 100 fronts", [row for row in rows if row["fronts"] == 100]),
        ("fronts, 60 machines", [row for row in rows if row["machines"] == 60]),
    ):
        power = growth(
            [row[name.split(",")[0]] for row in rows_in_group],
            [row["wall s"] for row in rows_in_group],
        )
        print(f"cost grows with {name}: power {power:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
