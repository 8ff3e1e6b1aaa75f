"""Compares the timing wheel with heapq and the reactor's timers: set, cancel half, fire the rest.

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


def wheel(times: list[int], cancelled: list[int]) -> None:
    queue = Wheel(0, 1000)
    timers = [queue.set(at, at) for at in times]
    for index in cancelled:
        queue.cancel(timers[index])
    for now in range(0, SPAN + 10_001, 10_000):
        queue.advance(now)


def heap(times: list[int], cancelled: list[int]) -> None:
    """Run the timers on heapq; cancelled ones are marked and skipped when they are due."""
    queue: list[tuple[int, int]] = []
    cancelled_indices = set()
    for index, at in enumerate(times):
        heapq.heappush(queue, (at, index))
    cancelled_indices.update(cancelled)
    for now in range(0, SPAN + 10_001, 10_000):
        while queue and queue[0][0] <= now:
            cancelled_indices.discard(heapq.heappop(queue)[1])


def reactor(times: list[int], cancelled: list[int]) -> None:
    clock = Clock()
    timers = [clock.callLater(at / 1e6, int) for at in times]
    for index in cancelled:
        timers[index].cancel()
    clock.pump([0.01] * (SPAN // 10_000 + 1))


def main(arguments: list[str]) -> int:
    rows = []
    for count in (
        (100, 1_000, 10_000, 100_000, 1_000_000) if "--all" in arguments else (100, 1_000, 10_000)
    ):
        for name, run in (("wheel", wheel), ("heapq", heap), ("reactor's", reactor)):
            if name == "reactor's" and count > 1_000:
                continue  # quadratic: it sorts its list again for each timer
            microseconds = []
            for seed in range(3 if count < 10**6 else 1):
                rng = random.Random(seed)
                times = [rng.randrange(1, SPAN) for _ in range(count)]
                cancelled = rng.sample(range(count), count // 2)
                started = time.perf_counter()
                run(times, cancelled)
                microseconds.append(1e6 * (time.perf_counter() - started) / count)
            rows.append(
                {
                    "timers": count,
                    "kind": name,
                    "us a timer, median [least, most]": spread(microseconds),
                }
            )
    show(
        "Timers: set, half called off, the rest fired over 1,000 steps",
        rows,
        arguments[arguments.index("--json") + 1] if "--json" in arguments else None,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
