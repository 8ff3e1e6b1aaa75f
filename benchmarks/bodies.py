"""Compares the two runtimes of the lab: the same days in virtual time and on loopback.

Usage: python -m benchmarks.bodies [--json FILE] [DAY ...]
"""

import sys

from benchmarks.common import show
from umbermoor.lab.day import Day, read_day
from umbermoor.lab.fleet import play
from umbermoor.lab.sockets.runner import play_on_sockets

DAYS = ("calm", "lost-group", "failing-build", "burst", "replacement", "killed-fronts")
MAX_GAP = 0.03  # tolerated difference between the shares of requests in time
MAX_LENGTH_S = 30.0


def compare(name: str) -> dict:
    day: Day = read_day(name)
    day = day.changed(
        length_s=min(MAX_LENGTH_S, day.length_s),
        trouble=tuple(fault for fault in day.trouble if fault.at_s < MAX_LENGTH_S),
    )
    virtual, sockets = play(day), play_on_sockets(day)
    gap = sockets["in_time"] - virtual["in_time"]
    return {
        "day": name,
        "virtual in time": virtual["in_time"],
        "loopback in time": sockets["in_time"],
        "gap": round(gap, 4),
        "agrees": abs(gap) <= MAX_GAP,
        "breaches": f"{virtual['audit']['breaches']}/{sockets['audit']['breaches']}",
        "stages": f"{virtual['stages'][-1][1:4]}/{sockets['stages'][-1][1:4]}",
        "honest": sockets["honest"],
    }


def main(arguments: list[str]) -> int:
    out = arguments[arguments.index("--json") + 1] if "--json" in arguments else None
    names = [name for name in arguments if name != "--json" and name != out] or list(DAYS)
    rows = [compare(name) for name in names]
    show("Two bodies, one day", rows, out)
    return 0 if all(row["agrees"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
