"""Runs two revisions alternately on named days of a bench and compares the scores per day.

Usage: python -m benchmarks.turns OLD NEW --bench PATH [--plays N] [--lock FILE] [--json FILE] DAY [DAY ...]

Each revision runs in a work tree of its own. A DAY holds the arguments of the bench as one shell
word: "replay SITE overload", "SITE --rough churn --seed 7", "score SITE --quick". With a lock, each
run waits for it (flock), so that runs do not overlap. Entries that the bench writes to journal/ are
copied unchanged to the current tree.
"""

import argparse
import re
import shlex
import shutil
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from benchmarks.common import show, spread

ROWS = (
    re.compile(
        r"^(\S+)\s.*?\s\d+x\d+\s+(-?\d+\.\d+)\s+(-?\d+\.\d+)\s"
    ),  # simulated: day, size, G, score
    re.compile(r"^(\S+)\s+G (-?\d+\.\d+)\s.*\bscore (-?\d+\.\d+)"),
)  # on sockets
BROKEN = re.compile(r"\bBROKEN?\b")


class Row(NamedTuple):
    day: str
    g: float
    score: float
    broken: bool


def rows(text: str) -> Iterator[Row]:
    """Parse the days in a bench's report.

    If a broken rule is reported but not on the line of a day, all days count as broken.

    >>> [*rows("overload   shared_slow   1x12  0.394   0.59   -  -0.135    0.670 (0.90)   0.765  19% refused")]
    [Row(day='overload', g=0.394, score=0.59, broken=False)]
    >>> [*rows("churn   G 0.651  floor 0.229  top 0.679  memory 25 of 80 MB  score 0.94  BROKEN: lost 13 times")]
    [Row(day='churn', g=0.651, score=0.94, broken=True)]
    """
    lines = text.splitlines()
    found = [
        (line, match)
        for line in lines
        if (match := next(filter(None, (one.match(line) for one in ROWS)), None))
    ]
    broken_lines = [bool(BROKEN.search(line)) for line, _ in found]
    all_broken = not any(broken_lines) and any(BROKEN.search(line) for line in lines)
    for (_, match), broken in zip(found, broken_lines):
        yield Row(match[1], float(match[2]), float(match[3]), broken or all_broken)


def run_day(tree: Path, bench: str, day: str, why: str, lock: str | None) -> list[Row]:
    command = [*(("flock", lock) if lock else ()), bench, *shlex.split(day), "--why", why]
    result = subprocess.run(command, cwd=tree, capture_output=True, text=True)
    found = [*rows(result.stdout)]
    if not found:
        print(
            f"no figure for {day!r}: status {result.returncode}",
            *result.stdout.splitlines()[-3:],
            *result.stderr.splitlines()[-3:],
            sep="\n  ",
            file=sys.stderr,
        )
    return found


def by_turns(
    trees: list[Path], bench: str, days: list[str], plays: int, why: str, lock: str | None = None
) -> list[dict]:
    """Run the days on all trees `plays` times and return one table row per day.

    The order of the trees alternates, so that other load on the machine affects them equally.
    """
    seen: dict[str, list[list[Row]]] = defaultdict(lambda: [[] for _ in trees])
    for turn in range(plays):
        for day in days:
            for at in sorted(range(len(trees)), reverse=bool(turn % 2)):
                for row in run_day(trees[at], bench, day, why, lock):
                    seen[row.day][at].append(row)
    table = []
    for day, sides in seen.items():
        entry: dict = {"day": day}
        for name, side in zip(("old", "new"), sides):
            entry |= {
                f"{name} score": spread([row.score for row in side]) if side else "-",
                f"{name} G": spread([row.g for row in side]) if side else "-",
                f"{name} plays": len(side),
                f"{name} broken": sum(row.broken for row in side),
            }
        if all(sides):
            old, new = (sum(row.score for row in side) / len(side) for side in sides)
            entry["mean change"] = f"{new - old:+.3f}"
        table.append({"mean change": "-"} | entry if not all(sides) else entry)
    return table


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.turns")
    parser.add_argument("old")
    parser.add_argument("new")
    parser.add_argument("days", nargs="+")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--lock")
    parser.add_argument("--json")
    options = parser.parse_args()
    here = Path(
        subprocess.run(
            ["git", "rev-parse", "--show-toplevel"], check=True, capture_output=True, text=True
        ).stdout.strip()
    )
    bench = str(Path(options.bench).resolve()) if Path(options.bench).exists() else options.bench
    # Paths in a day are relative to the current folder, but the runs have another one.
    days = [
        shlex.join(
            str(Path(word).resolve()) if "/" in word and Path(word).exists() else word
            for word in shlex.split(day)
        )
        for day in options.days
    ]
    with tempfile.TemporaryDirectory(prefix="um") as folder:
        trees = [Path(folder, name) for name in ("old", "new")]
        try:
            for tree, revision in zip(trees, (options.old, options.new)):
                subprocess.run(
                    ["git", "worktree", "add", "-q", "--detach", str(tree), revision],
                    cwd=here,
                    check=True,
                )
                requirements = "requirements.txt"
                if Path(here, ".venv", requirements).exists() and (
                    Path(here, ".venv", requirements).read_bytes()
                    == Path(tree, requirements).read_bytes()
                ):
                    Path(tree, ".venv").symlink_to(Path(here, ".venv"))
            table = by_turns(
                trees,
                bench,
                days,
                options.plays,
                f"By turns: {options.old} against {options.new}"[:119],
                options.lock,
            )
        finally:
            for tree in trees:
                for note in Path(tree, "journal").rglob("*"):
                    kept = here / note.relative_to(tree)
                    if note.is_file() and not kept.exists():
                        kept.parent.mkdir(parents=True, exist_ok=True)
                        shutil.copy2(note, kept)
                subprocess.run(
                    ["git", "worktree", "remove", "--force", str(tree)], cwd=here, check=False
                )
    if table:
        show(f"{options.old} and {options.new}, by turns", table, options.json)
    if not table or any(row["new broken"] for row in table):
        sys.exit(1)


if __name__ == "__main__":
    main()
