"""Comparison of two revisions over days and seeds, with common random numbers and in parallel.

A variant is a work tree of this repository and the Python that runs it; each day is played in a
process of its own there. Each result is appended to a file as one line when it arrives, so that a
run that was killed resumes where it stopped.
"""

import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from umbermoor.lab.statistics import Interval, paired

PLAY_TIMEOUT_S = 1800.0


class Variant(NamedTuple):
    """A revision to be compared: a work tree and the Python that runs it."""

    name: str
    root: str  # a work tree
    python: str


class Play(NamedTuple):
    """One run of a day with a seed, by one variant."""

    variant: Variant
    day: str
    seed: int

    @property
    def key(self) -> str:
        """The name of the run in the file of results."""
        return f"{self.variant.name}/{self.day}/{self.seed}"


class Difference(NamedTuple):
    """The means of a figure in both variants, and the interval of their paired difference."""

    figure: str
    day: str
    first: float
    second: float
    change: Interval


def read_results(path: Path) -> dict[str, dict[str, Any]]:
    """Return the outcomes that earlier runs stored, by the runs' keys.

    A truncated last line and lines in another format are skipped.
    """
    outcomes: dict[str, dict[str, Any]] = {}
    if not path.exists():
        return outcomes
    for line in path.read_bytes().splitlines():
        try:
            row = orjson.loads(line)
            outcomes[row["key"]] = row["outcome"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            continue
    return outcomes


def run(
    plays: list[Play],
    results_path: Path,
    workers: int,
    on_progress: Callable[[str, int, int], None],
) -> dict[str, dict[str, Any]]:
    """Run the plays whose outcome is not stored yet; return the outcomes of all by key.

    Args:
        plays: what is to be run.
        results_path: file to which outcomes are appended.
        workers: number of plays that run at once.
        on_progress: called after each play with its key, the number done and the total.

    Raises:
        RuntimeError: a play failed; the message has the end of its standard error.
    """
    outcomes = read_results(results_path)
    todo = [play for play in plays if play.key not in outcomes]
    done = len(plays) - len(todo)
    if not todo:
        return outcomes
    with open(results_path, "ab") as file, ThreadPoolExecutor(workers) as pool:
        if file.tell() and not results_path.read_bytes().endswith(b"\n"):
            file.write(b"\n")
        pending = {pool.submit(_play, play): play for play in todo}
        while pending:
            ready, _ = wait(pending, return_when=FIRST_COMPLETED)
            for future in ready:
                play = pending.pop(future)
                try:
                    outcome = future.result()
                except RuntimeError:
                    for other in pending:
                        other.cancel()
                    raise
                outcomes[play.key] = outcome
                file.write(orjson.dumps({"key": play.key, "outcome": outcome}) + b"\n")
                file.flush()
                done += 1
                on_progress(play.key, done, len(plays))
    return outcomes


def _play(play: Play) -> dict[str, Any]:
    command = [
        play.variant.python,
        "-m",
        "umbermoor",
        "lab",
        "day",
        play.day,
        "--seed",
        str(play.seed),
        "--json",
        "-",
    ]
    completed = subprocess.run(
        command,
        cwd=play.variant.root,
        capture_output=True,
        timeout=PLAY_TIMEOUT_S,
        env=os.environ | {"PYTHONPATH": play.variant.root, "PYTHONHASHSEED": "0"},
    )
    if completed.returncode:
        raise RuntimeError(
            f"{play.key}: exit {completed.returncode}: {completed.stderr.decode(errors='replace').strip()[-400:]}"
        )
    return orjson.loads(completed.stdout)


FIGURES: dict[str, Callable[[dict[str, Any]], float]] = {
    "service": lambda outcome: outcome["service"],
    "in_time": lambda outcome: outcome["in_time"],
    "tries_a_query": lambda outcome: outcome["tries_a_query"],
    "breaches": lambda outcome: outcome["audit"]["breaches"],
    "hand_offs_a_query": lambda outcome: (
        outcome["audit"]["counts"].get("hand-offs", 0) / max(1, outcome["asked"])
    ),
}


def differences(
    outcomes: dict[str, dict[str, Any]],
    first: Variant,
    second: Variant,
    days: list[str],
    seeds: list[int],
) -> Iterator[Difference]:
    """Yield the difference of each figure by day and over all days, paired by day and seed."""
    for name, read in FIGURES.items():
        pairs: dict[str, list[tuple[float, float]]] = {}
        for day in days:
            for seed in seeds:
                first_outcome, second_outcome = (
                    outcomes.get(Play(variant, day, seed).key) for variant in (first, second)
                )
                if first_outcome is not None and second_outcome is not None:
                    pairs.setdefault(day, []).append((read(first_outcome), read(second_outcome)))
        all_pairs = [pair for rows in pairs.values() for pair in rows]
        for day, rows in [*pairs.items(), ("all", all_pairs)]:
            if rows:
                firsts, seconds = [row[0] for row in rows], [row[1] for row in rows]
                yield Difference(
                    name,
                    day,
                    sum(firsts) / len(firsts),
                    sum(seconds) / len(seconds),
                    paired(firsts, seconds),
                )


def work_tree(revision: str, folder: Path) -> Variant:
    """Check out a revision of this repository in a work tree of its own.

    Raises:
        RuntimeError: git failed; the message has its standard error.
    """
    path = folder / revision.replace("/", "_")
    if not path.exists():
        completed = subprocess.run(
            ["git", "worktree", "add", "--detach", str(path), revision], capture_output=True
        )
        if completed.returncode:
            raise RuntimeError(f"{revision}: {completed.stderr.decode(errors='replace').strip()}")
    return Variant(revision, str(path), sys.executable)


def drop_tree(variant: Variant) -> None:
    """Remove a variant's work tree."""
    subprocess.run(["git", "worktree", "remove", "--force", variant.root], capture_output=True)
