"""Compares balance and churn of algorithms that assign machines to fronts.

The algorithms are rendezvous hashing, a hash ring and rounds.

Usage: python -m benchmarks.subsets [--json FILE]
"""

import sys
import time
from collections import Counter

from benchmarks.common import show
from umbermoor.front.membership.subsets import Ring, rendezvous, rounds

SIZES = ((2, 10), (10, 100), (100, 100), (100, 1_000), (300, 1_000), (1_000, 1_000), (100, 10_000))
SUBSET = 20


def algorithms(machines: list[str]):
    ring = Ring(machines)
    return {
        "rendezvous": lambda front: rendezvous(f"f{front}", machines, SUBSET),
        "ring": lambda front: ring.of(f"f{front}", SUBSET),
        "rounds": lambda front: rounds(front, machines, SUBSET),
    }


def main(arguments: list[str]) -> int:
    rows = []
    for fronts, count in SIZES:
        machines = [f"m{number}" for number in range(count)]
        for name, assign in algorithms(machines).items():
            started = time.perf_counter()
            before = [assign(front) for front in range(fronts)]
            took = (time.perf_counter() - started) / fronts
            assign_without_first = algorithms(machines[1:])[name]
            after = [assign_without_first(front) for front in range(min(fronts, 20))]
            loads = Counter(machine for assigned in before for machine in assigned)
            mean = sum(loads.values()) / count
            moved = sum(len(set(new) - set(old)) for old, new in zip(before, after)) / len(after)
            rows.append(
                {
                    "fronts": fronts,
                    "machines": count,
                    "way": name,
                    "most over mean": max(loads.values()) / mean,
                    "machines without a front": count - len(loads),
                    "moved a front when one goes": moved,
                    "ms a front": took * 1000,
                }
            )
    show(
        f"Subsets of {SUBSET}",
        rows,
        arguments[arguments.index("--json") + 1] if "--json" in arguments else None,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
