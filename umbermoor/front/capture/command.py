"""Captures.

Usage:
  umbermoor capture show FILE [--json]
  umbermoor capture (-h | --help)

Commands:
  show  what a capture holds, by profile; exit status 1 where a part could not be read

Options:
  --json  for programs
"""

import sys
from collections import Counter
from typing import Any

import orjson
from docopt import docopt

from umbermoor.front.capture.files import Capture, Unreadable, describe_damage, read_capture


def main(words: list[str]) -> int:
    given = docopt(__doc__, words)
    try:
        capture = read_capture(given["FILE"])
    except Unreadable as fault:
        print(f"umbermoor: {fault}", file=sys.stderr)
        return 2
    summary = summarise(capture)
    if given["--json"]:
        print(orjson.dumps(summary).decode())
    else:
        print(f"front {summary['front']}: {summary['queries']} queries in {summary['seconds']} s")
        for name, row in summary["profiles"].items():
            print(
                f"  {name}: {row['queries']} ({row['repeated']} repeated), {row['rate']}/s; "
                + ", ".join(f"{kind} {n}" for kind, n in row["endings"].items())
                + f"; p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms"
            )
    for damage in capture.damage:
        print(f"umbermoor: {describe_damage(damage, len(capture.rows))}", file=sys.stderr)
    return 1 if capture.damage else 0


def summarise(capture: Capture) -> dict[str, Any]:
    """Return counts, rates, endings and percentiles by profile."""
    seconds = max(1e-6, capture.span / 1e6)
    profiles = {}
    for place, profile in enumerate(capture.header.profiles):
        rows = [row for row in capture.rows if row.profile == place]
        took = sorted(row.took for row in rows if row.ending == "done")
        profiles[profile["name"]] = {
            "queries": len(rows),
            "repeated": sum(row.repeated for row in rows),
            "rate": round(len(rows) / seconds, 2),
            "endings": dict(sorted(Counter(row.ending for row in rows).items())),
            "p50_ms": _at(took, 0.5),
            "p99_ms": _at(took, 0.99),
        }
    return {
        "front": capture.header.name,
        "queries": len(capture.rows),
        "seconds": round(seconds, 3),
        "machines": len({row.machine.name for row in capture.rows if row.machine}),
        "profiles": profiles,
        "damage": [[path, one.at, one.what] for path, one in capture.damage],
    }


def _at(ordered: list[int], part: float) -> float:
    """Return a quantile of sorted microseconds in milliseconds, 0 if there are none."""
    return (
        round(ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1000, 1)
        if ordered
        else 0.0
    )
