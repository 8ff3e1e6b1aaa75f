"""The front's own cost, of two revisions side by side, on loopback: CPU a query, added latency, memory, descriptors.

Usage: python -m benchmarks.front_cost [--base REVISION] [--plays N] [--seconds N] [--json FILE]

The stand-ins answer after work of 1 ms, so that nearly all of a query's time is the front's and the processes' around
it.
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


def main(words: list[str]) -> int:
    def given(name: str, otherwise: str) -> str:
        return words[words.index(name) + 1] if name in words else otherwise

    rows, cpu = [], {}
    with tempfile.TemporaryDirectory() as folder:
        base = work_tree(given("--base", "958c1e4"), Path(folder))
        try:
            found: dict[str, list[dict]] = {base.name: [], "this tree": []}
            for seed in range(
                1, int(given("--plays", "3")) + 1
            ):  # in turn: what else the machine does falls on both
                for name, root in ((base.name, base.root), ("this tree", None)):
                    found[name].append(
                        play_on_sockets(day(float(given("--seconds", "8")), seed), root=root)
                    )
        finally:
            drop_tree(base)
    for name, some in found.items():
        cpu[name] = [one["front_cpu_us_a_try"] for one in some]
        rows.append(
            {
                "revision": name,
                "CPU us a query": spread(cpu[name]),
                **{
                    f"{at} ms": spread([one["profiles"]["lookup"]["ms"][at] for one in some])
                    for at in ("p50", "p99", "p99.9")
                },
                "MB": spread(
                    [
                        round(front["peak_kb"] / 1024, 1)
                        for one in some
                        for front in one["fronts"].values()
                    ]
                ),
                "descriptors": spread(
                    [front["peak_fds"] for one in some for front in one["fronts"].values()]
                ),
            }
        )
    show(
        "The front's own cost, 200 queries/s, stand-ins on loopback",
        rows,
        given("--json", "") or None,
    )
    first, second = cpu.values()
    print(
        f"CPU a query, this tree over {base.name}: {statistics.median(second) / statistics.median(first):.3f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
