"""Measure the cost of each role as the system grows, and generate docs/CAPACITY.md from it.

Usage: python -m benchmarks.capacity (measure [NAME...] | carry [KIND...] | page | check)

measure  measures the state machines in this process and writes benchmarks/capacity.json;
         takes a few minutes
carry    loads one real core member on loopback with simulated fronts and machines and writes the
         same file; takes about ten minutes
page     generates docs/CAPACITY.md and docs/capacity/*.svg from that file
check    reports whether the page equals what `page` would generate; status 1 if it does not
"""

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
DATA = ROOT / "benchmarks" / "capacity.json"


def load() -> dict[str, Any]:
    return json.loads(DATA.read_text()) if DATA.exists() else {"measures": {}, "carry": []}


def commit() -> str:
    """Return the last commit that changed the measured program."""
    return subprocess.run(
        ["git", "log", "-1", "--format=%h", "--", "umbermoor"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    ).stdout.strip()


def save(data: dict[str, Any]) -> None:
    data["at"], data["python"] = time.strftime("%Y-%m-%d"), ".".join(map(str, sys.version_info[:3]))
    DATA.write_text(json.dumps(data, indent=1) + "\n")


def main(arguments: list[str]) -> int:
    command, names = (arguments[0], arguments[1:]) if arguments else ("", [])
    if command == "measure":
        from benchmarks.capacity import measures

        data = load()
        results = measures.run(names, lambda line: print(line, flush=True))
        data["measures"].update(
            {name: {**result, "commit": commit()} for name, result in results.items()}
        )
        data["limits"], data["said"], data["processes"] = (
            measures.limits(),
            measures.message_sizes(),
            measures.process_memory(),
        )
        save(data)
    elif command == "carry":
        from benchmarks.capacity import hollow

        data = load()
        hollow.run(names, data, commit(), lambda line: print(line, flush=True), lambda: save(data))
    elif command in ("page", "check"):
        from benchmarks.capacity import page

        if command == "page":
            from benchmarks.capacity import plots

            page.write(load())
            plots.draw(load())
        else:
            difference = page.find_difference(load())
            print(difference or "docs/CAPACITY.md matches its data")
            return 1 if difference else 0
    else:
        print(__doc__)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
