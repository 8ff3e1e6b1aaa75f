"""Fleets of fronts in virtual time: how soon they know of starts, ends and healed cuts, mistakes, and what it costs.

Usage: python -m benchmarks.sonde_fleet [--fronts N] [--seeds N] [--loss PART] [--workers N] [--json FILE]
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

from benchmarks.common import show, spread
from tests.gateway.air import SECOND, Air


def word(words: list[str], name: str, default: float) -> float:
    return float(words[words.index(name) + 1]) if name in words else default


def one(seed: int, fronts: int, loss: float) -> dict[str, float]:
    """A cold start, a calm minute, a kill, a join, a restart in place, and a cut in halves that
    heals; seconds."""
    air = Air(seed, fronts, loss, doubled=loss / 2, late=loss / 2)
    names = list(air.places)
    air.start_all()
    found = {"cold start": air.until(air.all_know_all, 60)}
    began, sent = air.now, [(place.sent, place.bytes_sent) for place in air.places.values()]
    air.run(60)
    passed = (air.now - began) / SECOND
    costs = [
        ((place.sent - before) / passed, (place.bytes_sent - size) / passed)
        for place, (before, size) in zip(air.places.values(), sent)
    ]
    found |= {
        "datagrams a second": sum(cost for cost, _ in costs) / fronts,
        "most datagrams a second": max(cost for cost, _ in costs),
        "bytes a second": sum(size for _, size in costs) / fronts,
        "false suspicions": air.sum("incarnation"),
        "false removals": air.sum("removed"),
    }
    gone = names[seed % fronts]
    air.kill(gone)
    found["one left it out"] = air.until(lambda: air.counting(gone) < fronts - 1, 30)
    more = air.until(lambda: air.counting(gone) == 0, 30)
    found["all left it out"] = None if more is None else found["one left it out"] + more
    air.run(5)
    air.start(gone, tuple(name for name in names[:4] if name != gone)[:3])
    found["join known"] = air.until(lambda: air.knowing(gone) == fronts - 1, 30)
    again = names[(seed + 1) % fronts]
    air.run(3)
    before = air.sum("restarted")
    air.kill(again)
    air.run(0.2)
    air.start(again, tuple(name for name in names[:4] if name != again)[:3])
    found["new life known"] = air.until(lambda: air.sum("restarted") - before >= fronts - 1, 30)
    air.run(3)
    half = set(names[::2])
    air.cut = lambda a, b: (a in half) != (b in half)
    air.run(20)
    air.cut = lambda a, b: False
    found["cut healed"] = air.until(air.all_know_all, 60)
    found["largest datagram"] = max(place.largest for place in air.places.values())
    return found


def main(words: list[str]) -> int:
    fronts, seeds = int(word(words, "--fronts", 84)), int(word(words, "--seeds", 50))
    loss, started = word(words, "--loss", 0.05), time.perf_counter()
    with ProcessPoolExecutor(int(word(words, "--workers", 1))) as pool:
        runs = list(pool.map(one, range(seeds), repeat(fronts), repeat(loss)))
    rows = []
    for name in runs[0]:
        values = [run[name] for run in runs if run[name] is not None]
        rows.append(
            {
                "what": name,
                "median [least, most]": spread(values) if values else "-",
                "sum": sum(values),
                "never": len(runs) - len(values),
            }
        )
    show(
        f"{fronts} fronts, {seeds} seeds, loss {loss:g}, {time.perf_counter() - started:.0f} s",
        rows,
        words[words.index("--json") + 1] if "--json" in words else None,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
