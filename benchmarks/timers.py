"""The timing wheel against heapq and the reactor's own timers: setting, calling off half of them, and firing the rest.

Usage: python -m benchmarks.timers [--all] [--json FILE]
"""

import heapq
import random
import sys
import time

from twisted.internet.task import Clock

from benchmarks.common import show, spread
from umbermoor.front.lifecycle.timing_wheel import Wheel

SPAN = 10_000_000


def wheel(times: list[int], off: list[int]) -> None:
    made = Wheel(0, 1000)
    timers = [made.set(at, at) for at in times]
    for place in off:
        made.cancel(timers[place])
    for now in range(0, SPAN + 10_001, 10_000):
        made.advance(now)


def heap(times: list[int], off: list[int]) -> None:
    """What is called off is marked and passed over when its time comes."""
    made: list[tuple[int, int]] = []
    gone = set()
    for place, at in enumerate(times):
        heapq.heappush(made, (at, place))
    gone.update(off)
    for now in range(0, SPAN + 10_001, 10_000):
        while made and made[0][0] <= now:
            gone.discard(heapq.heappop(made)[1])


def reactor(times: list[int], off: list[int]) -> None:
    clock = Clock()
    timers = [clock.callLater(at / 1e6, int) for at in times]
    for place in off:
        timers[place].cancel()
    clock.pump([0.01] * (SPAN // 10_000 + 1))


def main(words: list[str]) -> int:
    rows = []
    for count in (
        (100, 1_000, 10_000, 100_000, 1_000_000) if "--all" in words else (100, 1_000, 10_000)
    ):
        for name, run in (("wheel", wheel), ("heapq", heap), ("reactor's", reactor)):
            if name == "reactor's" and count > 1_000:
                continue  # its list is sorted anew with each: quadratic
            found = []
            for seed in range(3 if count < 10**6 else 1):
                chance = random.Random(seed)
                times = [chance.randrange(1, SPAN) for _ in range(count)]
                off = chance.sample(range(count), count // 2)
                started = time.perf_counter()
                run(times, off)
                found.append(1e6 * (time.perf_counter() - started) / count)
            rows.append(
                {"timers": count, "kind": name, "us a timer, median [least, most]": spread(found)}
            )
    show(
        "Timers: set, half called off, the rest fired over 1,000 steps",
        rows,
        words[words.index("--json") + 1] if "--json" in words else None,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
