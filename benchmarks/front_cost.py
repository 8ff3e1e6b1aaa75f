"""Compares the front's own cost in two revisions: CPU per query, latency, memory and descriptors.

Usage: python -m benchmarks.front_cost [--base REVISION] [--plays N] [--seconds N] [--json FILE]

Runs on loopback. The stand-in machines answer after 1 ms of work, so that nearly all of a query's
time is spent in the front and the processes around it.
"""

import statistics
import sys
import tempfile
from pathlib import Path

from benchmarks.common import show, spread
from umbermoor.lab.compare import drop_tree, work_tree
from umbermoor.lab.day import Clients, Day, Fronts, Group, Load, ProfileRow
from umbermoor.lab.sockets.runner import play_on_sockets


def day(seconds: float, seed: int) -> Day:
    rows = (
        ProfileRow(name="lookup", work_ms=1, spread="fixed", share=0.7),
        ProfileRow(name="booking", work_ms=1, spread="fixed", share=0.3, repeat="once"),
    )
    return Day(
        name="cost",
        length_s=seconds,
        seed=seed,
        settle_s=1,
        load=Load(rate=200),
        clients=Clients(retries=0),
        front=Fronts(count=1),
        profile=rows,
        group=(Group(name="a", machines=10, workers=4),),
    )


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    rows, cpu_per_query = [], {}
    with tempfile.TemporaryDirectory() as folder:
        base = work_tree(option("--base", "958c1e4"), Path(folder))
        try:
            outcomes: dict[str, list[dict]] = {base.name: [], "this tree": []}
            # The revisions alternate, so that other load of the machine affects both.
            for seed in range(1, int(option("--plays", "3")) + 1):
                for name, root in ((base.name, base.root), ("this tree", None)):
                    outcomes[name].append(
                        play_on_sockets(day(float(option("--seconds", "8")), seed), root=root)
                    )
        finally:
            drop_tree(base)
    for name, runs in outcomes.items():
        cpu_per_query[name] = [run["front_cpu_us_a_try"] for run in runs]
        rows.append(
            {
                "revision": name,
                "CPU us a query": spread(cpu_per_query[name]),
                **{
                    f"{percentile} ms": spread(
                        [run["profiles"]["lookup"]["ms"][percentile] for run in runs]
                    )
                    for percentile in ("p50", "p99", "p99.9")
                },
                "MB": spread(
                    [
                        round(front["peak_kb"] / 1024, 1)
                        for run in runs
                        for front in run["fronts"].values()
                    ]
                ),
                "descriptors": spread(
                    [front["peak_fds"] for run in runs for front in run["fronts"].values()]
                ),
            }
        )
    show(
        "The front's own cost, 200 queries/s, stand-ins on loopback",
        rows,
        option("--json", "") or None,
    )
    first, second = cpu_per_query.values()
    print(
        f"CPU a query, this tree over {base.name}: {statistics.median(second) / statistics.median(first):.3f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
