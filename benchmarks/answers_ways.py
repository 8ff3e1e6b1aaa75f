"""Long form of the request interleaving test: exhaustive with two faults, random with many.

Usage: python -m benchmarks.answers_ways [--every N] [--drawn SECONDS] [--from SEED] [--plans N]

For each plan of clients and instances, runs all interleavings with up to two faults (with --every,
one in N of those with two). Then runs randomly drawn interleavings, with the byte streams split at
random positions, for the given seconds of processor time. Prints the number of interleavings, how
often each event occurred, and the first violated rule with its interleaving, which
tests.gateway.request_interleavings.play replays. Exits with status 1 if a rule was violated.
"""

import random
import sys
import time
from collections import Counter

from tests.gateway import request_interleavings

PLANS = [
    (("safe", "unsafe"), 2),
    (("unsafe", "unsafe", "late"), 1),
    (("unsafe", "unsafe"), 1),
    (("safe", "unsafe", "late"), 1),
    (("unsafe", "unsafe", "late"), 2),
    (("safe", "safe"), 2),
]


def random_moves(seed: int) -> tuple[list[int], int]:
    """Return random moves, most of them the default move 0, and the seed for splitting bytes."""
    rng = random.Random(seed)
    default_share = rng.choice((0.5, 0.8, 0.9))
    return [0 if rng.random() < default_share else rng.randint(1, 400) for _ in range(80)], seed


def random_splitter(seed: int):
    rng = random.Random(seed)

    def split(data):
        while data:
            size = rng.randint(1, max(1, len(data) // rng.randint(1, 4)))
            yield data[:size]
            data = data[size:]

    return split


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    every, event_counts, started = int(option("--every", "1")), Counter(), time.process_time()
    try:
        for order, instances in PLANS[: int(option("--plans", "6"))]:
            plan_started = time.process_time()
            number, plan_events = request_interleavings.explore(
                request_interleavings.interleavings(2, order, instances, every),
                order,
                None,
                instances,
            )
            event_counts.update(plan_events)
            print(
                f"{' '.join(order)}, {instances} machines: {number} ways "
                f"in {time.process_time() - plan_started:.0f} s",
                flush=True,
            )
        seed, number = int(option("--from", "0")), 0
        until = time.process_time() + float(option("--drawn", "60"))
        while time.process_time() < until:
            order, instances = PLANS[seed % len(PLANS)]
            moves, split_seed = random_moves(seed)
            count, plan_events = request_interleavings.explore(
                [moves], order, random_splitter(split_seed), instances
            )
            event_counts.update(plan_events)
            number, seed = number + count, seed + 1
        print(f"drawn: {number} ways, seeds up to {seed}")
    except request_interleavings.RuleBroken as broken:
        print("BROKEN:", *broken.args)
        return 1
    finally:
        for name, count in sorted(event_counts.items(), key=lambda entry: entry[1]):
            print(f"{count:>9} {name}")
        print(f"{time.process_time() - started:.0f} s of processor time")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
