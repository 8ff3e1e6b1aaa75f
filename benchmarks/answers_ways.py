"""The small world of answers in its long form: all ways with two troubles, and ways drawn by chance with many.

Usage: python -m benchmarks.answers_ways [--every N] [--drawn SECONDS] [--from SEED] [--plans N]

Plays, for each plan of clients and machines, all ways with up to two troubles (with --every, one in N of those with
two), then for so many seconds of processor time ways whose moves are drawn, with bytes cut anywhere. Prints how many
ways, how often each event was met, and the first broken rule with its way (tests.gateway.request_interleavings.play plays it again).
Status 1 where a rule was broken.
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


def drawn(seed: int) -> tuple[list[int], int]:
    """Moves, of which a part is the usual one, and a seed for cutting."""
    dice = random.Random(seed)
    usual = dice.choice((0.5, 0.8, 0.9))
    return [0 if dice.random() < usual else dice.randint(1, 400) for _ in range(80)], seed


def cutter(seed: int):
    dice = random.Random(seed)

    def cut(data):
        while data:
            size = dice.randint(1, max(1, len(data) // dice.randint(1, 4)))
            yield data[:size]
            data = data[size:]

    return cut


def main(words: list[str]) -> int:
    def given(name: str, otherwise: str) -> str:
        return words[words.index(name) + 1] if name in words else otherwise

    every, met, began = int(given("--every", "1")), Counter(), time.process_time()
    try:
        for order, many in PLANS[: int(given("--plans", "6"))]:
            at = time.process_time()
            number, some = request_interleavings.explore(
                request_interleavings.interleavings(2, order, many, every), order, None, many
            )
            met.update(some)
            print(
                f"{' '.join(order)}, {many} machines: {number} ways in {time.process_time() - at:.0f} s",
                flush=True,
            )
        seed, number = int(given("--from", "0")), 0
        until = time.process_time() + float(given("--drawn", "60"))
        while time.process_time() < until:
            order, many = PLANS[seed % len(PLANS)]
            picks, cuts = drawn(seed)
            count, some = request_interleavings.explore([picks], order, cutter(cuts), many)
            met.update(some)
            number, seed = number + count, seed + 1
        print(f"drawn: {number} ways, seeds up to {seed}")
    except request_interleavings.RuleBroken as broken:
        print("BROKEN:", *broken.args)
        return 1
    finally:
        for name, count in sorted(met.items(), key=lambda one: one[1]):
            print(f"{count:>9} {name}")
        print(f"{time.process_time() - began:.0f} s of processor time")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
